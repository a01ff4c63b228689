#include "relay/call_relay.h"

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "relay/duty_counters.h"
#include "relay/poison_request_detector.h"
#include "relay/slow_reply_watch.h"
#include "utils/logging.h"

namespace fulmarpoint {

namespace {

constexpr std::size_t kMaxReplyBytes = std::size_t{16} * 1024 * 1024;
constexpr Duration kMinConnectTimeout = std::chrono::milliseconds(40);
constexpr Duration kMaxConnectTimeout = std::chrono::milliseconds(150);
// Replies to other requests that are skipped before the expected one, and the body size of each.
constexpr int kMaxStrayReplies = 2;
constexpr std::size_t kMaxStrayBytes = std::size_t{64} * 1024;
// Limit on the endpoints tried, including those that rejected the request or were unreachable.
constexpr int kMaxEndpointTries = 6;
constexpr Duration kRetryAfter = std::chrono::milliseconds(200);
// An idempotent request may be sent to another endpoint after this multiple of its latency
// objective.
constexpr int kSlowReplyFactor = 2;
constexpr Duration kMinSlowReply = std::chrono::milliseconds(250);
// Interval of the requests for a retry while a reply is slow.
constexpr Duration kRetryRequestInterval = std::chrono::milliseconds(200);

enum class TryResult {
  kAnswered,
  /// The endpoint has certainly not run the request.
  kNotRun,
  /// The endpoint may have run the request, but not successfully: there is no valid reply, or a 5xx
  /// reply to an idempotent request that may be retried elsewhere.
  kMayHaveRun,
  /// A pooled connection was closed by the endpoint; the request is sent again on a new one.
  kClosedIdle,
  kCallerGone,
};

/// An endpoint that may take over a call from one that is slow to reply.
struct CallReplacement {
  EndpointRecord endpoint;
  /// Open once the endpoint has accepted it.
  std::shared_ptr<HttpClientExchange> connection;
  bool has_retry = false;
  /// Endpoints that could not be reached.
  std::set<EndpointId> unreachable;
};

/// Takes a retry, if `replacement` has none yet, and connects to `endpoint`. Returns whether both
/// succeeded.
Task<bool> ObtainReplacement(RelayContext& context, std::shared_ptr<CallReplacement> replacement,
                             EndpointRecord endpoint, ServiceName service, Duration timeout) {
  if (!replacement->has_retry) {
    replacement->has_retry = co_await context.TryTakeRetry(std::move(service));
  }
  if (!replacement->has_retry) co_return false;
  const std::shared_ptr<HttpClientExchange> connection =
      std::make_shared<HttpClientExchange>(context.executor, HttpClientExchange::Options());
  const std::error_code error = co_await ConnectEndpoint(context, *connection, endpoint, timeout);
  if (error) {
    context.OnEndpointFailure(endpoint.id);
    replacement->unreachable.insert(endpoint.id);
    co_return false;
  }
  replacement->endpoint = std::move(endpoint);
  replacement->connection = connection;
  co_return true;
}

class CallSession {
 public:
  CallSession(RelayContext& context, EndpointConnectionPool& pool, HttpExchange& exchange,
              RelayedRequest request)
      : m_context(context),
        m_pool(pool),
        m_exchange(exchange),
        m_request(std::move(request)),
        m_connections(context.ConnectionShareOf(*m_request.table, m_request.service)),
        m_memory(context.reply_memory) {}

  Task<void> Run();

 private:
  Task<TryResult> TryEndpoint();
  bool ChecksClosedEndpoint() const;
  void OnCrashedOnKeptConnection();
  Task<bool> Connect();
  void CountBegun();
  void EndWatch();
  Duration ConnectTimeout() const;
  Task<TryResult> Exchange();
  const DirectoryEndpoint* Place(std::set<EndpointId> excluded) const;
  SlowReplyWatch::Options WatchOptions();
  Task<TryResult> ReadReply();
  TryResult ClassifyHead(const EndpointResponseFields& reply_fields);
  void OnEndpointFailed(std::string_view reason);
  void OnAttemptLost(std::string_view step, const std::error_code& error);
  Task<void> Respond(HttpReply reply, RequestOutcome outcome);
  Task<void> RespondWithFailure();
  bool IsIdempotent() const { return m_request.route->retryability == Retryability::kIdempotent; }
  Duration TimeLeft() const { return m_request.deadline - SteadyNow(); }
  bool HasRetry() const { return m_watch && m_watch->HasRetry(); }
  bool MayRunElsewhere() const {
    return IsIdempotent() && m_attempts < m_request.route->max_attempts;
  }

  RelayContext& m_context;
  EndpointConnectionPool& m_pool;
  HttpExchange& m_exchange;
  RelayedRequest m_request;
  const ConnectionShare m_connections;
  std::set<EndpointId> m_excluded;
  std::shared_ptr<HttpClientExchange> m_connection;
  /// Exists while an attempt may be replaced by one at another endpoint.
  std::unique_ptr<SlowReplyWatch> m_watch;
  /// Shared with the watch.
  std::shared_ptr<CallReplacement> m_replacement;
  EndpointRecord m_endpoint;
  TimePoint m_attempt_started{};
  bool m_is_reused = false;
  HttpReply m_reply;
  /// The share of `RelayContext::reply_memory` that the body of `m_reply` uses.
  ByteReservation m_memory;
  /// An endpoint's error reply, forwarded if no other endpoint succeeds.
  std::optional<HttpReply> m_failure;
  int m_endpoint_tries = 0;
  /// How often the request was sent, and how many of those endpoints may have run it.
  int m_sends = 0;
  int m_attempts = 0;
  /// A retry was taken from the quota for the next attempt.
  bool m_has_retry = false;
  bool m_use_idle = true;
  /// The endpoint has closed the kept connection on which the request was sent.
  bool m_was_closed = false;
  bool m_may_have_run = false;
  bool m_stale = false;
  /// The request was counted as begun.
  bool m_is_counted = false;
};

Task<void> CallSession::Run() {
  m_context.OnFirstAttempt(m_request.service);
  m_exchange.OnClientDisconnect([this]() {
    if (m_connection) m_connection->Close();
  });
  while (m_endpoint_tries++ < kMaxEndpointTries && TimeLeft() > Duration::zero() &&
         !m_exchange.ClientDisconnected() && !m_context.ShouldRedirect()) {
    if (m_replacement) {
      m_endpoint = m_replacement->endpoint;
    } else if (!ChecksClosedEndpoint()) {
      const DirectoryEndpoint* endpoint = Place(m_excluded);
      if (endpoint == nullptr) break;
      m_endpoint = endpoint->record;
    }
    const EndpointUse use{m_endpoint.id};
    m_context.endpoints.AddUse(use);
    const TryResult end = co_await TryEndpoint();
    m_context.endpoints.RemoveUse(use);
    m_connection.reset();
    if (end == TryResult::kMayHaveRun || end == TryResult::kCallerGone) CountBegun();
    if (end == TryResult::kCallerGone) break;
    if (end == TryResult::kAnswered) co_return;
    if (m_stale) break;
    m_was_closed = end == TryResult::kClosedIdle;
    if (m_was_closed) {
      m_may_have_run = true;
      continue;
    }
    m_excluded.insert(m_endpoint.id);
    if (end == TryResult::kMayHaveRun) m_may_have_run = true;
    if (end == TryResult::kMayHaveRun && !IsIdempotent()) break;
    if (m_attempts >= m_request.route->max_attempts) break;
    if (m_sends == 0) continue;
    if (m_context.poison_requests->IsQuarantined(m_request)) break;
    if (!m_has_retry) m_has_retry = co_await TryTakeRetry(m_context, m_request);
    if (!m_has_retry) break;
  }
  m_exchange.OnClientDisconnect(nullptr);
  if (m_exchange.ClientDisconnected()) {
    LogRequestEnd(m_request, RequestOutcome::kCallerGone, 0, {{"runs", m_attempts}});
    co_return;
  }
  co_await RespondWithFailure();
}

/// Counts the request once, as begun when its first attempt that may have run was sent.
void CallSession::CountBegun() {
  const bool is_counted = m_context.duty_counters != nullptr && m_attempts > 0 && !m_is_counted;
  if (!is_counted) return;
  m_is_counted = true;
  m_context.duty_counters->OnBegun(m_request.organisation, SteadyNow() - m_attempt_started);
}

/// Returns an endpoint that may receive the request; null if there is none.
const DirectoryEndpoint* CallSession::Place(std::set<EndpointId> excluded) const {
  const std::vector<const DirectoryEndpoint*> usable =
      m_context.UsableFor(m_request.service, m_request.version);
  PlacementRequest placement;
  placement.daemon = m_context.settings.name;
  placement.failure_domain = m_context.settings.failure_domain;
  placement.now = SteadyNow();
  placement.excluded = std::move(excluded);
  placement.max_requests = m_connections.requests;
  return PlaceCall(usable, placement, m_context.random);
}

Task<TryResult> CallSession::TryEndpoint() {
  // If the endpoint closed an idle connection meanwhile, a request sent on it could not be told
  // from one that ran and lost its reply, so only idempotent requests use idle connections.
  const std::shared_ptr<CallReplacement> replacement = std::exchange(m_replacement, nullptr);
  if (replacement) m_connection = replacement->connection;
  const bool may_reuse = !replacement && IsIdempotent() && m_use_idle;
  if (may_reuse) m_connection = m_pool.TakeIdle(m_endpoint.id, SteadyNow());
  m_is_reused = may_reuse && m_connection != nullptr;
  if (!m_connection && !co_await Connect()) {
    if (!m_was_closed) co_return TryResult::kNotRun;
    OnCrashedOnKeptConnection();
    co_return TryResult::kMayHaveRun;
  }
  if (m_exchange.ClientDisconnected()) co_return TryResult::kCallerGone;
  if (!MayForward(m_context, m_request)) {
    m_stale = true;
    co_return TryResult::kNotRun;
  }
  const TryResult end = co_await Exchange();
  if (m_exchange.ClientDisconnected()) co_return TryResult::kCallerGone;
  co_return end;
}

/// A kept connection that ends before a reply was idle and closed by the endpoint, or the endpoint
/// has crashed. Whether it accepts another connection tells which, so the request goes there again,
/// unless the endpoint takes no more requests.
bool CallSession::ChecksClosedEndpoint() const {
  const DirectoryEndpoint* known = m_context.endpoints.Find(m_endpoint.id);
  const TimePoint now = SteadyNow();
  return m_was_closed && known != nullptr && !known->IsDraining() && !known->HasEnded(now) &&
         known->wanted_from <= now;
}

/// Counts the attempt on the kept connection, which did not count when the connection ended.
void CallSession::OnCrashedOnKeptConnection() {
  ++m_attempts;
  if (m_exchange.ClientDisconnected()) return;
  AttemptLossDetails details;
  details.started = m_attempt_started;
  details.connection_broken = true;
  ReportLostAttempt(m_context, m_request, m_endpoint, details);
}

Task<bool> CallSession::Connect() {
  m_connection =
      std::make_shared<HttpClientExchange>(m_context.executor, HttpClientExchange::Options());
  const std::error_code error =
      co_await ConnectEndpoint(m_context, *m_connection, m_endpoint, ConnectTimeout());
  if (!error) co_return true;
  if (!m_exchange.ClientDisconnected()) OnEndpointFailed("connect: " + error.message());
  co_return false;
}

Duration CallSession::ConnectTimeout() const {
  const Duration limit =
      std::clamp(m_request.route->latency_objective / 2, kMinConnectTimeout, kMaxConnectTimeout);
  return std::min(limit, TimeLeft());
}

/// Keeps the endpoint and the retry that the watch has obtained. The connection may be used for
/// another request afterwards.
void CallSession::EndWatch() {
  if (!m_watch) return;
  m_has_retry = m_replacement->has_retry;
  if (!m_watch->HasRetry()) m_replacement.reset();
  m_watch.reset();
}

Task<TryResult> CallSession::Exchange() {
  EndpointFields fields;
  fields.endpoint = m_endpoint.id;
  m_connection->Start(BuildEndpointRequest(m_context, m_request, m_endpoint.address,
                                           std::move(fields), SteadyNow()));
  m_attempt_started = SteadyNow();
  ++m_sends;
  ++m_attempts;
  m_has_retry = false;
  if (MayRunElsewhere()) {
    m_replacement = std::make_shared<CallReplacement>();
    m_watch = std::make_unique<SlowReplyWatch>(m_context.executor, m_connection, WatchOptions());
  }
  const TryResult end = co_await ReadReply();
  EndWatch();
  if (end == TryResult::kNotRun || end == TryResult::kClosedIdle) --m_attempts;
  co_return end;
}

/// Returns the options of the watch over an attempt that may be replaced.
SlowReplyWatch::Options CallSession::WatchOptions() {
  SlowReplyWatch::Options options;
  options.patience = std::max(kMinSlowReply, m_request.route->latency_objective * kSlowReplyFactor);
  options.interval = kRetryRequestInterval;
  // The session may end during the suspensions, so it is used only before the first.
  options.take_retry = [this, &context = m_context, replacement = m_replacement]() -> Task<bool> {
    const bool may_retry = m_endpoint_tries < kMaxEndpointTries &&
                           MayForward(m_context, m_request) &&
                           !m_context.poison_requests->IsQuarantined(m_request);
    std::set<EndpointId> excluded = m_excluded;
    excluded.insert(m_endpoint.id);
    excluded.insert(replacement->unreachable.begin(), replacement->unreachable.end());
    const DirectoryEndpoint* endpoint = may_retry ? Place(std::move(excluded)) : nullptr;
    if (endpoint == nullptr) co_return false;
    co_return co_await ObtainReplacement(context, replacement, endpoint->record, m_request.service,
                                         ConnectTimeout());
  };
  return options;
}

Task<TryResult> CallSession::ReadReply() {
  for (int stray = 0; stray <= kMaxStrayReplies; ++stray) {
    std::error_code error = co_await m_connection->ReadHead(m_reply, TimeLeft());
    if (error && HasRetry()) error = std::make_error_code(std::errc::timed_out);
    if (error) {
      const bool was_closed =
          m_is_reused && error != std::errc::timed_out && !m_connection->HasReplyBegun();
      m_use_idle = m_use_idle && !was_closed;
      if (was_closed) co_return TryResult::kClosedIdle;
      OnAttemptLost("answer", error);
      co_return TryResult::kMayHaveRun;
    }
    const EndpointResponseFields reply_fields =
        m_context.wire.decode_answer(m_reply.status, m_reply.headers);
    const bool is_own = reply_fields.request_id == m_request.fields.request_id ||
                        (reply_fields.request_id.empty() && !m_is_reused);
    if (!is_own) {
      Log(LogLevel::kWarning, "stray_answer",
          {{"request", m_request.fields.request_id},
           {"endpoint", m_endpoint.id},
           {"answer_to", reply_fields.request_id}});
      error = co_await m_connection->ReadBody(m_reply.body, kMaxStrayBytes, TimeLeft());
      if (!error) continue;
      OnEndpointFailed("stray answer: " + error.message());
      co_return TryResult::kMayHaveRun;
    }
    ReportEndpointState(m_context, m_request, m_endpoint, reply_fields, SteadyNow());
    const TryResult end = ClassifyHead(reply_fields);
    if (end != TryResult::kAnswered) co_return end;
    CountBegun();
    if (m_watch) m_watch->OnProgress();
    m_memory.Release();
    error = co_await m_connection->ReadBody(m_reply.body, kMaxReplyBytes, TimeLeft(), &m_memory);
    if (error && HasRetry()) error = std::make_error_code(std::errc::timed_out);
    if (error) {
      OnAttemptLost("body", error);
      co_return TryResult::kMayHaveRun;
    }
    EndWatch();
    m_context.endpoints.OnSuccess(m_endpoint.id);
    ReportCompletedAttempt(m_context, m_request, m_endpoint, m_reply.status >= 500,
                           SteadyNow() - m_attempt_started);
    m_pool.PutIdle(m_endpoint.id, std::move(m_connection), m_reply, m_connections.idle,
                   SteadyNow());
    const bool retry_elsewhere =
        m_reply.status >= 500 && IsIdempotent() && m_attempts < m_request.route->max_attempts;
    if (retry_elsewhere) {
      m_failure = std::move(m_reply);
      co_return TryResult::kMayHaveRun;
    }
    co_await Respond(std::move(m_reply), RequestOutcome::kAnswered);
    co_return TryResult::kAnswered;
  }
  OnEndpointFailed("only stray answers");
  co_return TryResult::kMayHaveRun;
}

/// Returns `kAnswered` if the reply carries the seal, the header by which an endpoint identifies
/// its own replies, and has no content coding.
TryResult CallSession::ClassifyHead(const EndpointResponseFields& reply_fields) {
  if (reply_fields.misdirected) {
    m_context.endpoints.OnMisdirected(m_endpoint.id, SteadyNow());
    return TryResult::kNotRun;
  }
  if (reply_fields.not_run) {
    m_context.endpoints.OnRejected(m_endpoint.id, SteadyNow());
    return TryResult::kNotRun;
  }
  const bool is_encoded = FindHeader(m_reply.headers, "Content-Encoding").has_value();
  if (!reply_fields.is_from_endpoint || is_encoded) {
    OnEndpointFailed("answer lacks the endpoint's seal or has a content coding");
    return TryResult::kMayHaveRun;
  }
  return TryResult::kAnswered;
}

void CallSession::OnEndpointFailed(std::string_view reason) {
  if (m_exchange.ClientDisconnected()) return;
  ReportEndpointFailure(m_context, m_request, m_endpoint.id, reason);
}

void CallSession::OnAttemptLost(std::string_view step, const std::error_code& error) {
  OnEndpointFailed(std::string(step) + ": " + error.message());
  if (m_exchange.ClientDisconnected()) return;
  AttemptLossDetails details;
  details.started = m_attempt_started;
  details.connection_broken = error != std::errc::timed_out;
  ReportLostAttempt(m_context, m_request, m_endpoint, details);
}

Task<void> CallSession::Respond(HttpReply reply, RequestOutcome outcome) {
  const int status = reply.status;
  reply.headers = EndToEndHeaders(reply.headers);
  m_context.metrics.Count("relay_requests", NameOf(kRequestOutcomeNames, outcome));
  m_context.metrics.Observe("relay_call", NameOf(kRetryabilityNames, m_request.route->retryability),
                            SteadyNow() - m_request.arrived);
  co_await m_exchange.Respond(std::move(reply));
  LogRequestEnd(m_request, outcome, status, {{"endpoint", m_endpoint.id}, {"runs", m_attempts}});
}

Task<void> CallSession::RespondWithFailure() {
  if (m_failure) {
    co_await Respond(std::move(*m_failure), RequestOutcome::kEndpointFailed);
    co_return;
  }
  if (m_context.ShouldRedirect()) m_exchange.CloseAfterReply();
  const bool late = TimeLeft() <= Duration::zero();
  if (m_may_have_run || m_attempts > 0) {
    co_await Respond(RelayProblem(late ? ResultCode::kOutcomeUnknown : ResultCode::kEndpointFailed,
                                  "the request was sent to an endpoint and its answer was lost"),
                     RequestOutcome::kLost);
  } else if (m_stale) {
    co_await Respond(RelayProblem(ResultCode::kStale, "use another daemon", kRetryAfter),
                     RequestOutcome::kStale);
  } else {
    co_await Respond(RelayProblem(ResultCode::kNoEndpoint, "no endpoint has taken the request",
                                  RetryAfterOf(m_context, m_request)),
                     RequestOutcome::kRefused);
  }
}

}  // namespace

Task<void> RelayCall(RelayContext& context, EndpointConnectionPool& pool, HttpExchange& exchange,
                     RelayedRequest request) {
  CallSession session(context, pool, exchange, std::move(request));
  co_await session.Run();
}

}  // namespace fulmarpoint
