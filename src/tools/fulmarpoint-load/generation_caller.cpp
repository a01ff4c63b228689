#include "generation_caller.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace fulmarpoint::load {

namespace {

constexpr int kMaxAttempts = 8;
constexpr Duration kRetryDelay = std::chrono::milliseconds(50);
constexpr Duration kStallCheckInterval = std::chrono::milliseconds(100);

/// Shared by the reader of a stream and the coroutine that closes the stream when it stalls.
struct StallWatch {
  std::shared_ptr<HttpEventStream> stream;
  TimePoint last_event_time;
  bool reading = true;
};

Task<void> CloseOnStall(std::shared_ptr<StallWatch> watch, Duration limit) {
  while (watch->reading) {
    co_await Sleep(kStallCheckInterval);
    if (watch->reading && SteadyNow() - watch->last_event_time > limit) {
      watch->stream->Close();
      co_return;
    }
  }
}

std::string MakePrompt(const std::string& name, int words) {
  std::string prompt = name;
  for (int i = 1; i < words; ++i) prompt += " word" + std::to_string(i);
  return prompt;
}

}  // namespace

GenerationCaller::GenerationCaller(RunContext& context, const GenerationLoad& load,
                                   std::string name)
    : m_context(context),
      m_load(load),
      m_name(std::move(name)),
      m_api_key(ChooseApiKey(context, load.api_key, load.callers)),
      m_prompt(MakePrompt(m_name, load.prompt_words)) {
  Random& random = context.random;
  // 63 bits, because some JSON parsers only have signed 64-bit integers.
  m_seed = random() >> 1;
  const auto range = static_cast<std::uint64_t>(load.max_tokens - load.min_tokens) + 1;
  m_max_tokens = load.min_tokens + static_cast<int>(random() % range);
  if (random() % 100 < static_cast<std::uint64_t>(load.slow_reader_percent)) {
    m_read_delay = load.slow_reader_delay;
  }
}

HttpClientRequest GenerationCaller::BuildRequest(const std::string& address) const {
  nlohmann::json body = {{"service", m_load.service},
                         {"prompt", m_prompt},
                         {"max_tokens", m_max_tokens},
                         {"seed", m_seed}};
  HttpClientRequest request;
  request.address = address;
  request.method = "POST";
  request.target = "/v1/completions";
  request.headers = {{"Authorization", "Bearer " + m_api_key},
                     {"Content-Type", "application/json"}};
  if (!m_event_id.empty()) {
    request.headers.push_back({"Last-Event-ID", m_event_id});
    if (m_load.sends_tokens_back) body["prefix_tokens"] = m_tokens;
  }
  request.body = body.dump();
  request.timeout = m_load.stall_timeout;
  return request;
}

Task<void> GenerationCaller::Run() {
  m_started = SteadyNow();
  for (m_attempt = 0; m_attempt < kMaxAttempts; ++m_attempt) {
    const LookupAnswer found = co_await m_context.lookup.Find(m_load.service, m_api_key);
    if (found.addresses.empty()) {
      co_await Sleep(kRetryDelay * (m_attempt + 1));
      continue;
    }
    const std::size_t index = static_cast<std::size_t>(m_attempt) % found.addresses.size();
    if (m_attempt > 0) ++m_context.measurements.retries;
    RequestSent sent;
    sent.request = m_name;
    sent.send = m_attempt;
    sent.service = m_load.service;
    sent.model = m_load.model;
    sent.prompt = m_prompt;
    sent.seed = m_seed;
    m_context.Record(std::move(sent));
    const StreamEnd end = co_await Send(found.addresses[index]);
    if (end != StreamEnd::kLost) co_return;
    m_context.lookup.Invalidate(m_load.service, m_api_key);
    co_await Sleep(kRetryDelay);
  }
  ++m_context.measurements.errors["gave_up"];
  m_context.Record(RequestAbandoned{m_name});
}

bool GenerationCaller::MayRetry(const Problem& problem) const {
  const bool other_daemon =
      problem.code == ResultCode::kDraining || problem.code == ResultCode::kStale;
  return other_daemon || (!m_tokens.empty() && problem.execution == Execution::kNotRun);
}

Task<GenerationCaller::StreamEnd> GenerationCaller::Send(std::string address) {
  HttpClientRequest request = BuildRequest(address);
  HttpStreamResult result = co_await m_context.client.OpenStream(std::move(request));
  if (result.error) {
    if (!result.nothing_written) {
      m_context.Record(ConnectionLost{m_name, m_context.DaemonName(address), false});
    }
    co_return StreamEnd::kLost;
  }
  if (result.stream == nullptr) {
    const Problem problem = ParseProblem(result.reply.body);
    RecordProblem(m_context, m_name, m_attempt, problem, address);
    if (!MayRetry(problem)) co_return StreamEnd::kRefused;
    co_await Sleep(problem.retry_after);
    co_return StreamEnd::kLost;
  }
  std::shared_ptr<HttpEventStream> stream = std::move(result.stream);
  co_return co_await ReadStream(std::move(stream), std::move(address));
}

Task<GenerationCaller::StreamEnd> GenerationCaller::ReadStream(
    std::shared_ptr<HttpEventStream> stream, std::string address) {
  const auto watch = std::make_shared<StallWatch>(StallWatch{stream, SteadyNow()});
  const Duration limit = m_load.stall_timeout;
  Spawn(m_context.executor, [watch, limit]() { return CloseOnStall(watch, limit); });
  bool moved = false;
  StreamEnd end = StreamEnd::kLost;
  while (true) {
    const HttpEvent event = co_await stream->Next();
    watch->last_event_time = SteadyNow();
    if (event.error || event.end) break;
    if (event.event == "move") {
      moved = true;
    } else if (event.event == "error") {
      const Problem problem = ParseProblem(event.data);
      RecordProblem(m_context, m_name, m_attempt, problem, address);
      end = StreamEnd::kRefused;
      break;
    } else if (event.event == "done") {
      const nlohmann::json data =
          nlohmann::json::parse(event.data, nullptr, /*allow_exceptions=*/false);
      const std::uint64_t total = data.is_object() ? data.value("total", std::uint64_t{0}) : 0;
      m_context.Record(AnswerReceived{m_name, total, ""});
      ++m_context.measurements.answers;
      end = StreamEnd::kFinished;
      break;
    } else {
      OnToken(event);
      if (m_read_delay > Duration::zero()) {
        co_await Sleep(m_read_delay);
        watch->last_event_time = SteadyNow();
      }
    }
  }
  watch->reading = false;
  if (end == StreamEnd::kLost) {
    m_context.Record(ConnectionLost{m_name, m_context.DaemonName(address), moved});
  }
  co_return end;
}

void GenerationCaller::OnToken(const HttpEvent& event) {
  const nlohmann::json data = nlohmann::json::parse(event.data, nullptr, false);
  if (!data.is_object()) return;
  const std::uint64_t position = data.value("position", std::uint64_t{0});
  const std::string token = data.value("token", std::string());
  m_context.Record(TokenReceived{m_name, position, token});
  const TimePoint now = SteadyNow();
  if (m_tokens.empty()) {
    m_context.measurements.time_to_first_token.push_back(now - m_started);
  } else if (m_read_delay == Duration::zero()) {
    m_context.measurements.inter_token_latency.push_back(now - m_last_token_time);
  }
  m_last_token_time = now;
  if (position == m_tokens.size()) {
    m_tokens.push_back(token);
    ++m_context.measurements.tokens;
  }
  m_event_id = event.id;
}

}  // namespace fulmarpoint::load
