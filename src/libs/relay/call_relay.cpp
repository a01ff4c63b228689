#include "relay/call_relay.h"

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "relay/poison_request_detector.h"
#include "utils/logging.h"

namespace fulmarpoint {

namespace {

constexpr std::size_t kMaxAnswerBytes = std::size_t{16} * 1024 * 1024;
constexpr Duration kShortestConnectTime = std::chrono::milliseconds(40);
constexpr Duration kLongestConnectTime = std::chrono::milliseconds(150);
// Answers to other requests that may come before the one that is expected, and the length of each.
constexpr int kMaxStrayAnswers = 2;
constexpr std::size_t kMaxStrayBytes = std::size_t{64} * 1024;
// Refusals and failed connections before the request is given up.
constexpr int kMaxTries = 6;
constexpr Duration kRetryAfterNoEndpoint = std::chrono::milliseconds(200);
// An answer that is this many times later than the objective is asked for elsewhere.
constexpr int kPatienceFactor = 2;
constexpr Duration kShortestPatience = std::chrono::milliseconds(250);

enum class TryEnd {
  kAnswered,
  /// The endpoint has certainly not run the request.
  kNotRun,
  /// The endpoint may have run it, and there is no valid answer.
  kLost,
  /// A kept connection turned out to be closed; the endpoint gets the request on a new one.
  kClosedIdle,
  kCallerGone,
};

class CallSession {
 public:
  CallSession(RelayContext& context, EndpointPool& pool, HttpExchange& exchange,
              RelayedRequest request)
      : m_context(context),
        m_pool(pool),
        m_exchange(exchange),
        m_request(std::move(request)),
        m_connections(context.Connections(*m_request.table, m_request.service)),
        m_memory(context.answer_memory) {}

  Task<void> Run();

 private:
  Task<TryEnd> TryOnce();
  Task<bool> Connect();
  Task<TryEnd> Exchange();
  Task<TryEnd> ReadAnswer();
  TryEnd JudgeHead(const EndpointResponseFields& answer);
  void OnBroken(std::string_view reason);
  void OnRunLost(std::string_view step, const std::error_code& error);
  Task<void> Answer(HttpReply reply, RequestOutcome outcome);
  Task<void> AnswerFailure();
  bool IsRepeatable() const { return m_request.route->retryability == Retryability::kIdempotent; }
  Duration Left() const { return m_request.deadline - SteadyNow(); }
  Duration Patience() const;

  RelayContext& m_context;
  EndpointPool& m_pool;
  HttpExchange& m_exchange;
  RelayedRequest m_request;
  const ConnectionShare m_connections;
  std::set<EndpointId> m_excluded;
  std::shared_ptr<HttpClientExchange> m_connection;
  EndpointRecord m_endpoint;
  TimePoint m_run_started{};
  bool m_is_reused = false;
  HttpReply m_reply;
  /// What the body of `m_reply` takes of the memory for answers.
  HeldBytes m_memory;
  /// An endpoint's failure that is passed on if no other endpoint does better.
  std::optional<HttpReply> m_failure;
  int m_tries = 0;
  /// Endpoints that may have received the request, and those of them that may have run it.
  int m_arrivals = 0;
  int m_runs = 0;
  bool m_use_idle = true;
  bool m_may_have_run = false;
  bool m_stale = false;
};

Task<void> CallSession::Run() {
  m_context.OnFirstAttempt(m_request.service);
  m_exchange.OnClientDisconnect([this]() {
    if (m_connection) m_connection->Close();
  });
  while (m_tries++ < kMaxTries && Left() > Duration::zero() && !m_exchange.ClientDisconnected()) {
    const std::vector<const DirectoryEndpoint*> usable =
        m_context.UsableFor(m_request.service, m_request.version);
    PlacementRequest placement;
    placement.failure_domain = m_context.settings.failure_domain;
    placement.now = SteadyNow();
    placement.excluded = m_excluded;
    placement.max_requests = m_connections.requests;
    const DirectoryEndpoint* endpoint = PlaceCall(usable, placement, m_context.random);
    if (endpoint == nullptr) break;
    m_endpoint = endpoint->record;
    const EndpointUse use{m_endpoint.id};
    m_context.endpoints.AddUse(use);
    const TryEnd end = co_await TryOnce();
    m_context.endpoints.RemoveUse(use);
    m_connection.reset();
    if (end == TryEnd::kCallerGone) break;
    if (end == TryEnd::kAnswered) co_return;
    if (m_stale) break;
    if (end == TryEnd::kClosedIdle) continue;
    m_excluded.insert(m_endpoint.id);
    if (end == TryEnd::kLost) m_may_have_run = true;
    if (end == TryEnd::kLost && !IsRepeatable()) break;
    if (m_runs >= m_request.route->max_attempts) break;
    if (m_arrivals == 0) continue;
    if (m_context.crashes->IsBlocked(m_request.fingerprint)) break;
    const bool may_repeat = co_await TryRepeat(m_context, m_request);
    if (!may_repeat) break;
  }
  m_exchange.OnClientDisconnect(nullptr);
  if (m_exchange.ClientDisconnected()) {
    LogRequestEnd(m_request, RequestOutcome::kCallerGone, 0, {{"runs", m_runs}});
    co_return;
  }
  co_await AnswerFailure();
}

Task<TryEnd> CallSession::TryOnce() {
  // On a kept connection a close by the endpoint could be taken for the loss of a request that ran.
  if (IsRepeatable() && m_use_idle) m_connection = m_pool.TakeIdle(m_endpoint.id, SteadyNow());
  m_is_reused = m_connection != nullptr;
  if (!m_is_reused && !co_await Connect()) co_return TryEnd::kNotRun;
  if (m_exchange.ClientDisconnected()) co_return TryEnd::kCallerGone;
  if (!MayRun(m_context, m_request)) {
    m_stale = true;
    co_return TryEnd::kNotRun;
  }
  const TryEnd end = co_await Exchange();
  if (m_exchange.ClientDisconnected()) co_return TryEnd::kCallerGone;
  co_return end;
}

Task<bool> CallSession::Connect() {
  m_connection =
      std::make_shared<HttpClientExchange>(m_context.executor, HttpClientExchange::Options());
  const Duration limit =
      std::clamp(m_request.route->latency_objective / 2, kShortestConnectTime, kLongestConnectTime);
  const std::error_code error = co_await ConnectEndpoint(
      m_context, *m_connection, m_endpoint.address, std::min(limit, Left()));
  if (!error) co_return true;
  if (!m_exchange.ClientDisconnected()) OnBroken("connect: " + error.message());
  co_return false;
}

Task<TryEnd> CallSession::Exchange() {
  EndpointFields fields;
  fields.endpoint = m_endpoint.id;
  m_connection->Start(BuildEndpointRequest(m_context, m_request, m_endpoint.address,
                                           std::move(fields), SteadyNow()));
  m_run_started = SteadyNow();
  ++m_arrivals;
  ++m_runs;
  const TryEnd end = co_await ReadAnswer();
  if (end == TryEnd::kNotRun || end == TryEnd::kClosedIdle) --m_runs;
  co_return end;
}

Task<TryEnd> CallSession::ReadAnswer() {
  for (int stray = 0; stray <= kMaxStrayAnswers; ++stray) {
    std::error_code error = co_await m_connection->ReadHead(m_reply, Patience());
    if (error) {
      const bool was_closed = m_is_reused && error != std::errc::timed_out;
      m_use_idle = m_use_idle && !was_closed;
      if (was_closed) co_return TryEnd::kClosedIdle;
      OnRunLost("answer", error);
      co_return TryEnd::kLost;
    }
    const EndpointResponseFields answer =
        m_context.wire.decode_answer(m_reply.status, m_reply.headers);
    const bool is_own = answer.request_id == m_request.fields.request_id ||
                        (answer.request_id.empty() && !m_is_reused);
    if (!is_own) {
      Log(LogLevel::kWarning, "stray_answer",
          {{"request", m_request.fields.request_id},
           {"endpoint", m_endpoint.id},
           {"answer_to", answer.request_id}});
      error = co_await m_connection->ReadBody(m_reply.body, kMaxStrayBytes, Patience());
      if (!error) continue;
      OnBroken("stray answer: " + error.message());
      co_return TryEnd::kLost;
    }
    const TryEnd end = JudgeHead(answer);
    if (end != TryEnd::kAnswered) co_return end;
    m_memory.Release();
    error = co_await m_connection->ReadBody(m_reply.body, kMaxAnswerBytes, Patience(), &m_memory);
    if (error) {
      OnRunLost("body", error);
      co_return TryEnd::kLost;
    }
    m_context.endpoints.OnSuccess(m_endpoint.id);
    if (answer.load) m_context.endpoints.OnLoad(m_endpoint.id, *answer.load);
    ReportCompletedRun(m_context, m_request, m_endpoint, m_reply.status >= 500,
                       SteadyNow() - m_run_started);
    m_pool.PutIdle(m_endpoint.id, std::move(m_connection), m_reply, m_connections.idle,
                   SteadyNow());
    const bool try_elsewhere =
        m_reply.status >= 500 && IsRepeatable() && m_runs < m_request.route->max_attempts;
    if (try_elsewhere) {
      m_failure = std::move(m_reply);
      co_return TryEnd::kLost;
    }
    co_await Answer(std::move(m_reply), RequestOutcome::kAnswered);
    co_return TryEnd::kAnswered;
  }
  OnBroken("only stray answers");
  co_return TryEnd::kLost;
}

/// Returns `kAnswered` if the answer is the endpoint's own.
TryEnd CallSession::JudgeHead(const EndpointResponseFields& answer) {
  if (answer.misdirected) {
    m_context.endpoints.OnMisdirected(m_endpoint.id, SteadyNow());
    return TryEnd::kNotRun;
  }
  if (answer.not_run) {
    m_context.endpoints.OnRejected(m_endpoint.id, SteadyNow());
    return TryEnd::kNotRun;
  }
  const bool is_encoded = FindHeader(m_reply.headers, "Content-Encoding").has_value();
  if (!answer.is_from_endpoint || is_encoded) {
    OnBroken("answer is not the endpoint's");
    return TryEnd::kLost;
  }
  return TryEnd::kAnswered;
}

void CallSession::OnBroken(std::string_view reason) {
  if (m_exchange.ClientDisconnected()) return;
  ReportEndpointFailure(m_context, m_request, m_endpoint.id, reason);
}

void CallSession::OnRunLost(std::string_view step, const std::error_code& error) {
  OnBroken(std::string(step) + ": " + error.message());
  if (m_exchange.ClientDisconnected()) return;
  ReportLostRun(m_context, m_request, m_endpoint, m_run_started, error != std::errc::timed_out);
}

Task<void> CallSession::Answer(HttpReply reply, RequestOutcome outcome) {
  const int status = reply.status;
  reply.headers = EndToEndHeaders(reply.headers);
  m_context.metrics.Count("relay_requests", NameOf(kRequestOutcomeNames, outcome));
  m_context.metrics.Observe("relay_call", NameOf(kRetryabilityNames, m_request.route->retryability),
                            SteadyNow() - m_request.arrived);
  co_await m_exchange.Respond(std::move(reply));
  LogRequestEnd(m_request, outcome, status, {{"endpoint", m_endpoint.id}, {"runs", m_runs}});
}

Task<void> CallSession::AnswerFailure() {
  if (m_failure) {
    co_await Answer(std::move(*m_failure), RequestOutcome::kEndpointFailed);
    co_return;
  }
  const bool late = Left() <= Duration::zero();
  if (m_may_have_run || m_runs > 0) {
    co_await Answer(RelayProblem(late ? ResultCode::kOutcomeUnknown : ResultCode::kEndpointFailed,
                                 "the request was sent to an endpoint and its answer was lost"),
                    RequestOutcome::kLost);
  } else if (m_stale) {
    co_await Answer(RelayProblem(ResultCode::kStale, "use another daemon", kRetryAfterNoEndpoint),
                    RequestOutcome::kStale);
  } else {
    co_await Answer(RelayProblem(ResultCode::kNoEndpoint, "no endpoint has taken the request",
                                 kRetryAfterNoEndpoint),
                    RequestOutcome::kRefused);
  }
}

Duration CallSession::Patience() const {
  const bool other_run_left = m_runs < m_request.route->max_attempts;
  if (!IsRepeatable() || !other_run_left) return Left();
  return std::min(
      Left(), std::max(kShortestPatience, m_request.route->latency_objective * kPatienceFactor));
}

}  // namespace

Task<void> RelayCall(RelayContext& context, EndpointPool& pool, HttpExchange& exchange,
                     RelayedRequest request) {
  CallSession session(context, pool, exchange, std::move(request));
  co_await session.Run();
}

}  // namespace fulmarpoint
