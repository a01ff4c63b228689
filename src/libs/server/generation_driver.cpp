#include "server/generation_driver.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

#include "http_api/problem_reply.h"
#include "server/endpoint_registry.h"
#include "server/request_checks.h"
#include "server/request_drivers.h"
#include "server/request_log.h"
#include "transport/http_client.h"
#include "utils/metrics.h"
#include "utils/overloaded.h"

namespace fulmarpoint {

namespace {

using Json = nlohmann::json;

// The module's own timers decide earlier; this only bounds what a lost connection keeps in memory.
constexpr Duration kHeadTimeout = std::chrono::seconds(30);
constexpr Duration kCancelTimeout = std::chrono::seconds(2);
constexpr std::size_t kPromptBytesPerToken = 4;

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

GenerationConfig MakeConfig(const GenerationRequest& request) {
  GenerationConfig config;
  config.request = request.id;
  config.service_class = request.entry->service_class;
  config.model = request.entry->model;
  config.adapter = request.adapter;
  config.seed = request.seed;
  config.max_tokens = request.max_tokens;
  config.request_hash =
      GenerationRequestHash(config.model, config.adapter, request.prompt, config.max_tokens);
  config.prefix_tokens = request.prefix_tokens;
  config.resume = request.resume;
  return config;
}

Random MakeRandom() {
  const RequestId seed = NewRequestId();
  return Random(seed.high ^ seed.low);
}

std::string StreamTarget(const std::string& stream) { return "/v1/streams/" + stream; }

DispatchEnd EndOf(AttemptFailure failure, bool leaving) {
  switch (failure) {
    case AttemptFailure::kNotConnected:
      return DispatchEnd::kNotConnected;
    case AttemptFailure::kRefused:
      return leaving ? DispatchEnd::kRefusedLeaving : DispatchEnd::kRefused;
    case AttemptFailure::kConnectionLost:
    case AttemptFailure::kStreamNotHeld:
      return DispatchEnd::kLost;
    case AttemptFailure::kBadAnswer:
      return DispatchEnd::kFailed;
  }
  return DispatchEnd::kLost;
}

Task<void> SendCancel(HttpClient& http, HttpClientRequest request) {
  co_await http.Send(std::move(request));
}

}  // namespace

GenerationDriver::GenerationDriver(Services& services, GenerationRequest request,
                                   HttpExchange& exchange, const Executor& strand)
    : m_services(services),
      m_request(std::move(request)),
      m_exchange(exchange),
      m_strand(strand),
      m_generation(MakeConfig(m_request), MakeRandom()),
      m_caller(exchange, strand, [this](std::size_t bytes) { OnWritten(bytes); }),
      m_wake(strand),
      m_started(SteadyNow()),
      m_self(std::make_shared<GenerationDriver*>(this)) {}

GenerationDriver::~GenerationDriver() { EndAll(); }

Task<SessionResult> GenerationDriver::Run() {
  const std::weak_ptr<GenerationDriver*> weak = m_self;
  const auto push_later = [weak](const Generation::Event& event) {
    return [weak, event]() {
      if (const auto self = weak.lock()) (*self)->Push(event);
    };
  };
  m_exchange.OnClientDisconnect(push_later(generation::CallerGone{}));
  if (m_request.running != nullptr) {
    m_request.running->OnHandOff(m_strand, push_later(generation::HandOff{}));
  }
  m_buffer = m_services.drivers.buffers.Open(m_request.organisation, m_generation.CanRegenerate(),
                                             m_strand, [weak](const CallerBuffersAction& action) {
                                               if (const auto self = weak.lock())
                                                 (*self)->OnBuffer(action);
                                             });
  Feed(generation::Start{});
  while (!m_generation.Ended()) {
    if (!m_events.empty()) {
      const Generation::Event event = std::move(m_events.front());
      m_events.pop_front();
      Feed(event);
      continue;
    }
    const Duration wait = FeedTimers();
    if (m_events.empty() && !m_generation.Ended()) co_await m_wake.WaitFor(wait);
  }
  m_result.caller_gone = m_exchange.ClientDisconnected();
  co_await SendLastReply();
  EndAll();
  co_return m_result;
}

void GenerationDriver::Push(Generation::Event event) {
  m_events.push_back(std::move(event));
  m_wake.Notify();
}

void GenerationDriver::Feed(const Generation::Event& event) {
  Note(event);
  std::vector<Generation::Action> actions;
  m_generation.Handle(event, SteadyNow(), actions);
  for (const Generation::Action& action : actions) {
    std::visit([this](const auto& specific) { Do(specific); }, action);
  }
}

void GenerationDriver::Note(const Generation::Event& event) {
  const auto* failed = std::get_if<generation::AttemptFailed>(&event);
  if (failed == nullptr) return;
  const auto run = m_runs.find(failed->attempt);
  if (run == m_runs.end()) return;
  run->second.failure = failed->failure;
  const auto link = m_links.find(failed->connection);
  if (link != m_links.end()) run->second.refused_leaving = link->second->RefusedLeaving();
}

Duration GenerationDriver::FeedTimers() {
  const TimePoint now = SteadyNow();
  TimePoint next = m_request.deadline;
  std::vector<std::uint32_t> due;
  for (const auto& [id, at] : m_timers) {
    if (at <= now) {
      due.push_back(id);
    } else {
      next = std::min(next, at);
    }
  }
  for (const std::uint32_t id : due) m_timers.erase(id);
  for (const std::uint32_t id : due) {
    const EngineActivity activity =
        m_services.drivers.activity.Others(m_generation.Point().endpoint, m_buffer, now);
    Feed(generation::TimerFired{id, activity});
  }
  if (now >= m_request.deadline) Feed(generation::DeadlinePassed{});
  // The timers that were set while feeding are looked at before waiting.
  return due.empty() ? std::max(next - now, Duration::zero()) : Duration::zero();
}

void GenerationDriver::Do(const generation::SelectEndpoint& action) {
  DispatchRequest wanted;
  wanted.id = m_request.id;
  wanted.organisation = m_request.organisation;
  wanted.entry = m_request.entry;
  wanted.fingerprint = m_request.fingerprint;
  wanted.route = m_request.adapter;
  wanted.version = action.version;
  wanted.excluded = action.excluded;
  wanted.repeated = action.resumption;
  wanted.prompt_tokens = static_cast<std::uint32_t>(m_request.prompt.size() / kPromptBytesPerToken +
                                                    m_generation.NextPosition());
  if (action.preference == EndpointPreference::kCachedPrefix) wanted.prompt = m_request.prompt;
  const DispatchResult result = m_services.dispatcher.Choose(wanted);
  if (const DispatchRefusal* refusal = std::get_if<DispatchRefusal>(&result)) {
    Push(generation::NoEndpoint{action.selection, refusal->version_gone, refusal->code,
                                refusal->retry_after});
    return;
  }
  const DispatchChoice& choice = std::get<DispatchChoice>(result);
  m_choices.push_back(choice);
  Push(generation::EndpointSelected{action.selection, choice.endpoint, choice.version,
                                    choice.predicted_wait, choice.not_before});
}

void GenerationDriver::Do(const generation::OpenAttempt& action) {
  AttemptRun& run = m_runs[action.attempt];
  run.opened = SteadyNow();
  const auto choice = std::find_if(
      m_choices.begin(), m_choices.end(),
      [&](const DispatchChoice& candidate) { return candidate.endpoint == action.endpoint; });
  if (choice != m_choices.end()) {
    run.address = choice->address;
    run.choice = std::move(*choice);
    m_choices.erase(choice);
  }
  const Json body = {{"stream", action.stream},    {"model", action.model},
                     {"version", action.version},  {"adapter", action.adapter},
                     {"prompt", m_request.prompt}, {"prefix_tokens", action.prefix_tokens},
                     {"seed", action.seed},        {"max_tokens", action.max_tokens},
                     {"priority", "normal"}};
  HttpClientRequest open;
  open.address = AddressOf(action.attempt, action.endpoint);
  open.method = "POST";
  open.target = "/v1/streams";
  open.headers.push_back({"Content-Type", "application/json"});
  open.body = Dump(body);
  OpenLink(action.attempt, action.connection, std::move(open), false);
}

void GenerationDriver::Do(const generation::ReconnectAttempt& action) {
  HttpClientRequest open;
  open.address = AddressOf(action.attempt, action.endpoint);
  open.target = StreamTarget(action.stream) + "?from=" + std::to_string(action.from);
  OpenLink(action.attempt, action.connection, std::move(open), true);
}

void GenerationDriver::OpenLink(std::uint32_t attempt, std::uint32_t connection,
                                HttpClientRequest request, bool reconnects) {
  if (request.address.empty()) {
    // The endpoint of an event id has left the instance list.
    Push(generation::AttemptFailed{attempt, connection, AttemptFailure::kNotConnected});
    return;
  }
  request.timeout = kHeadTimeout;
  request.new_connection = true;
  const auto link =
      std::make_shared<EngineLink>(m_services.http, m_strand, attempt, connection,
                                   [this](Generation::Event event) { Push(std::move(event)); });
  m_links[connection] = link;
  link->Start(std::move(request), reconnects);
}

std::string GenerationDriver::AddressOf(std::uint32_t attempt, const EndpointId& endpoint) {
  std::string& address = m_runs[attempt].address;
  if (!address.empty()) return address;
  const std::optional<EndpointRecord> record = m_services.endpoints.Find(endpoint);
  if (record) address = record->address;
  return address;
}

void GenerationDriver::Do(const generation::CloseConnection& action) {
  const auto link = m_links.find(action.connection);
  if (link == m_links.end()) return;
  link->second->Close();
  m_links.erase(link);
}

void GenerationDriver::CloseLinks(std::uint32_t attempt) {
  std::erase_if(m_links, [attempt](const auto& entry) {
    if (entry.second->Attempt() != attempt) return false;
    entry.second->Close();
    return true;
  });
}

void GenerationDriver::Do(const generation::CancelAttempt& action) {
  const std::string address = AddressOf(action.attempt, action.endpoint);
  const AttemptRun& run = m_runs[action.attempt];
  DispatchEnd end = DispatchEnd::kCancelled;
  if (run.failure) end = EndOf(*run.failure, run.refused_leaving);
  if (action.stalled) end = DispatchEnd::kLost;
  CloseLinks(action.attempt);
  EndRun(action.attempt, end);
  if (!action.at_engine || address.empty()) return;
  HttpClientRequest cancel;
  cancel.address = address;
  cancel.method = "DELETE";
  cancel.target = StreamTarget(action.stream);
  cancel.timeout = kCancelTimeout;
  cancel.new_connection = true;
  Spawn(MakeStrand(m_services.executor),
        [&http = m_services.http, cancel]() { return SendCancel(http, cancel); });
}

void GenerationDriver::EndRun(std::uint32_t attempt, DispatchEnd end) {
  const auto found = m_runs.find(attempt);
  if (found == m_runs.end()) return;
  const AttemptRun run = std::move(found->second);
  m_runs.erase(found);
  if (!run.choice) return;
  RunResult result;
  result.end = end;
  if (run.tokens > 0) result.latency = run.first_token - run.opened;
  if (run.tokens > 1) {
    result.token_interval =
        (run.last_token - run.first_token) / static_cast<Duration::rep>(run.tokens - 1);
  }
  m_services.dispatcher.Ended(run.choice->run, result);
}

void GenerationDriver::Do(const generation::PauseReading& action) {
  for (const auto& [connection, link] : m_links) {
    if (link->Attempt() == action.attempt) link->PauseReading();
  }
}

void GenerationDriver::Do(const generation::ResumeReading& action) {
  for (const auto& [connection, link] : m_links) {
    if (link->Attempt() == action.attempt) link->ResumeReading();
  }
}

void GenerationDriver::NoteToken(const ResumePoint& point) {
  const TimePoint now = SteadyNow();
  AttemptRun& run = m_runs[point.attempt];
  run.failure.reset();
  if (run.tokens++ == 0) run.first_token = now;
  run.last_token = now;
  if (m_active_engine != point.endpoint) {
    m_services.drivers.activity.Forget(m_active_engine, m_buffer);
    m_active_engine = point.endpoint;
  }
  m_active_attempt = point.attempt;
  m_services.drivers.activity.Note(point.endpoint, m_buffer, now);
  m_services.metrics.CountToken();
  if (m_tokens++ == 0) {
    m_result.first_token = now - m_started;
    m_first_token = now;
  } else if (m_resuming) {
    m_result.longest_resume = std::max(m_result.longest_resume, now - m_last_token);
  }
  m_resuming = false;
  m_last_token = now;
  if (m_tokens > 1) {
    m_result.token_interval = (now - m_first_token) / static_cast<Duration::rep>(m_tokens - 1);
  }
  m_result.version = point.version;
  m_result.endpoint = point.endpoint;
  if (run.choice) m_result.failure_domain = run.choice->failure_domain;
}

void GenerationDriver::Do(const generation::DeliverToken& action) {
  NoteToken(action.point);
  const Json data = {{"position", action.position}, {"token", action.token}};
  std::string text = "id: " + m_services.event_ids.Encode(action.point, m_request.organisation) +
                     "\ndata: " + Dump(data) + "\n\n";
  const std::size_t bytes = text.size();
  m_caller.AppendToken(action.position, std::move(text));
  m_services.drivers.buffers.Handle(StreamAppended{m_buffer, bytes});
}

void GenerationDriver::Do(const generation::Finish& action) {
  EndRun(m_active_attempt, DispatchEnd::kCompleted);
  m_services.drivers.buffers.Handle(StreamEnded{m_buffer});
  m_caller.Append("event: done\ndata: " + Dump(Json{{"total", action.total}}) + "\n\n");
}

void GenerationDriver::Do(const generation::Fail& action) {
  m_failure = action;
  m_result.code = action.code;
}

void GenerationDriver::Do(const generation::Move&) {
  m_services.request_log.Add(m_request.id, "moved", "this daemon stops");
  m_caller.Append("event: move\ndata: {}\n\n");
  m_exchange.CloseAfterReply();
}

void GenerationDriver::Do(const generation::SetTimer& action) { m_timers[action.id] = action.at; }

void GenerationDriver::Do(const generation::Decided& action) {
  const std::string_view name = NameOf(kGenerationDecisionNames, action.decision);
  m_resuming = m_resuming || action.decision == GenerationDecision::kReconnect ||
               action.decision == GenerationDecision::kOtherEngine;
  m_services.metrics.Count("generation_decisions", name);
  m_services.request_log.Add(m_request.id, std::string(name),
                             "attempt=" + std::to_string(action.attempt) + " endpoint=" +
                                 action.endpoint + " position=" + std::to_string(action.position));
}

void GenerationDriver::OnBuffer(const CallerBuffersAction& action) {
  if (m_generation.Ended()) return;
  std::visit(Overloaded{[this](const PauseReading&) { Push(generation::CallerBufferFull{}); },
                        [this](const ContinueReading&) { Push(generation::CallerBufferDrained{}); },
                        [this](const ResumeStream&) { Push(generation::CallerBufferDrained{}); },
                        [this](const DropBuffer&) { DropTokens(); },
                        [this](const ReleaseStream& release) {
                          if (release.drop_buffer) return DropTokens();
                          Feed(generation::SlotReleased{m_generation.NextPosition()});
                          if (m_caller.Idle()) OnWritten(0);
                        }},
             action);
}

void GenerationDriver::DropTokens() {
  const std::optional<std::uint64_t> first = m_caller.DropTokens();
  Feed(generation::SlotReleased{first.value_or(m_generation.NextPosition())});
  // Without a write under way, nothing else would tell the table that the buffer is empty.
  if (m_caller.Idle()) m_services.drivers.buffers.Handle(StreamDrained{m_buffer, 0});
}

void GenerationDriver::OnWritten(std::size_t bytes) {
  if (m_caller.Failed()) return Push(generation::CallerGone{});
  m_services.drivers.buffers.Handle(StreamDrained{m_buffer, bytes});
}

Task<void> GenerationDriver::SendLastReply() {
  if (m_failure && !m_caller.Started()) {
    HttpReply reply =
        ProblemReply(m_failure->code, "the generation was not completed", m_failure->retry_after);
    co_await m_exchange.Respond(std::move(reply));
    co_return;
  }
  if (m_failure) {
    m_caller.Append("event: error\ndata: " +
                    ProblemDocument(m_failure->code, "the generation was not completed",
                                    m_failure->retry_after) +
                    "\n\n");
  }
  co_await m_caller.Finish();
}

void GenerationDriver::EndAll() {
  for (const auto& [connection, link] : m_links) link->Close();
  m_links.clear();
  while (!m_runs.empty()) EndRun(m_runs.begin()->first, DispatchEnd::kCancelled);
  for (const DispatchChoice& choice : m_choices) {
    m_services.dispatcher.Ended(choice.run, RunResult{DispatchEnd::kCancelled});
  }
  m_choices.clear();
  if (m_buffer != 0) {
    m_services.drivers.activity.Forget(m_active_engine, m_buffer);
    m_services.drivers.buffers.Close(m_buffer);
  }
  m_buffer = 0;
}

}  // namespace fulmarpoint
