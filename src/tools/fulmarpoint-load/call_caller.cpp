#include "call_caller.h"

#include <cstdio>
#include <utility>

#include "verification/token_function.h"

namespace fulmarpoint::load {

namespace {

constexpr int kMaxAttempts = 6;
constexpr Duration kRetryDelay = std::chrono::milliseconds(100);

/// Returns a version 7 UUID, which starts with its creation time.
std::string MakeUuid(Random& random) {
  const auto now = static_cast<unsigned long long>(WallNow());
  const std::uint64_t a = random();
  const std::uint64_t b = random();
  char text[64];
  std::snprintf(text, sizeof text, "%08llx-%04llx-7%03llx-%04llx-%012llx", (now >> 16),
                (now & 0xffff), static_cast<unsigned long long>(a & 0xfff),
                static_cast<unsigned long long>(0x8000 | ((a >> 12) & 0x3fff)),
                static_cast<unsigned long long>(b & 0xffffffffffffULL));
  return text;
}

}  // namespace

CallCaller::CallCaller(RunContext& context, const CallLoad& load, std::string name)
    : m_context(context),
      m_load(load),
      m_name(std::move(name)),
      m_api_key(ChooseApiKey(context, load.api_key, load.callers)),
      m_body(m_name + " ") {
  m_body.resize(std::max(m_body.size(), static_cast<std::size_t>(load.body_bytes)), 'x');
}

void CallCaller::ChooseKey(const LookupAnswer& found) {
  if (!m_key.empty() || m_load.key == KeySource::kNone) return;
  m_key = MakeUuid(m_context.random);
  if (m_load.key == KeySource::kDaemon) m_key = found.key_prefix + "-" + m_name;
}

Task<void> CallCaller::Run() {
  m_started = SteadyNow();
  for (m_attempt = 0; m_attempt < kMaxAttempts; ++m_attempt) {
    const LookupAnswer found = co_await m_context.lookup.Find(m_load.service, m_api_key);
    if (found.addresses.empty()) {
      co_await Sleep(kRetryDelay * (m_attempt + 1));
      continue;
    }
    ChooseKey(found);
    if (m_attempt > 0) ++m_context.measurements.retries;
    RequestSent sent;
    sent.request = m_name;
    sent.send = m_attempt;
    sent.kind = RequestKind::kCall;
    sent.service = m_load.service;
    sent.idempotent = m_load.key == KeySource::kNone;
    sent.expected_answer = AnswerTo(m_load.method, m_load.path, m_body);
    m_context.Record(std::move(sent));
    const std::size_t index = static_cast<std::size_t>(m_attempt) % found.addresses.size();
    if (co_await Send(found.addresses[index])) co_return;
    co_await Sleep(kRetryDelay);
  }
  ++m_context.measurements.errors["gave_up"];
  m_context.Record(RequestAbandoned{m_name});
}

bool CallCaller::MayRetry(const Problem& problem) const {
  if (problem.code == ResultCode::kDraining || problem.code == ResultCode::kStale) return true;
  return problem.execution == Execution::kMayHaveRun && m_attempt + 1 < kMaxAttempts;
}

Task<bool> CallCaller::Send(std::string address) {
  HttpClientRequest request;
  request.address = address;
  request.method = m_load.method;
  request.target = "/v1/services/" + m_load.service + m_load.path;
  request.headers.push_back({"Authorization", "Bearer " + m_api_key});
  if (!m_key.empty()) request.headers.push_back({"Idempotency-Key", m_key});
  request.body = m_body;
  request.timeout = m_load.timeout;
  const HttpResult result = co_await m_context.client.Send(std::move(request));
  if (result.error) {
    if (!result.nothing_written) {
      m_context.Record(ConnectionLost{m_name, m_context.DaemonName(address), false});
    }
    m_context.lookup.Invalidate(m_load.service, m_api_key);
    co_return false;
  }
  if (result.reply.status == 200) {
    m_context.measurements.call.push_back(SteadyNow() - m_started);
    ++m_context.measurements.answers;
    m_context.Record(AnswerReceived{m_name, 0, result.reply.body});
    co_return true;
  }
  const Problem problem = ParseProblem(result.reply.body);
  RecordProblem(m_context, m_name, m_attempt, problem, address);
  co_return !MayRetry(problem);
}

}  // namespace fulmarpoint::load
