#include "relay/caller_request_handler.h"

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

#include "http_api/url.h"
#include "relay/call_relay.h"
#include "relay/poison_request_detector.h"
#include "relay/relay_rollouts.h"
#include "relay/stream_relay.h"
#include "utils/logging.h"

namespace fulmarpoint {

namespace {

constexpr Duration kRetryAfterStale = std::chrono::milliseconds(200);

/// Counts a request while it is in progress.
class RequestCount {
 public:
  explicit RequestCount(RelayContext& context) : m_context(context) { Change(1); }
  ~RequestCount() { Change(-1); }
  RequestCount(const RequestCount&) = delete;
  RequestCount& operator=(const RequestCount&) = delete;

 private:
  void Change(int by) {
    m_context.requests += static_cast<std::size_t>(by);
    if (m_context.on_requests_changed) m_context.on_requests_changed();
  }

  RelayContext& m_context;
};

std::size_t CountHeaders(const HttpHeaders& headers, std::string_view name) {
  HttpHeaders::const_iterator it = headers.begin();
  std::size_t count = 0;
  for (; it != headers.end(); ++it) {
    if (FindHeader({*it}, name)) ++count;
  }
  return count;
}

/// Returns whether the framing has only one reading. The server has decoded the body already; a
/// coding besides `chunked` would be lost.
bool HasPlainFraming(const HttpHeaders& headers) {
  const std::optional<std::string_view> coding = FindHeader(headers, "Transfer-Encoding");
  if (!coding) return true;
  const std::string_view chunked = "chunked";
  return std::equal(coding->begin(), coding->end(), chunked.begin(), chunked.end(),
                    [](char a, char b) { return (a | 0x20) == b; });
}

}  // namespace

Task<void> CallerFront::Handle(HttpExchange& exchange) {
  const RequestCount count(m_context);
  Admission admission = Admit(exchange);
  if (admission.refusal) {
    const Refusal& refusal = *admission.refusal;
    m_context.metrics.Count("relay_requests", "not_admitted");
    LogRefusal(admission.request.fields.request_id, refusal);
    co_await exchange.Respond(RelayProblem(refusal.code, refusal.detail, refusal.retry_after));
    co_return;
  }
  if (admission.request.route->retryability == Retryability::kStream) {
    co_await RelayStream(m_context, exchange, std::move(admission.request));
  } else {
    co_await RelayCall(m_context, m_pool, exchange, std::move(admission.request));
  }
}

CallerFront::Admission CallerFront::Admit(HttpExchange& exchange) {
  Admission admission;
  RelayedRequest& request = admission.request;
  request.arrived = SteadyNow();
  request.arrived_boot = BootNow();
  const HttpRequest& received = exchange.Request();
  const std::optional<std::string_view> host = FindHeader(received.headers, "Host");
  const std::optional<CallerFields> fields = m_context.wire.decode_caller(received.headers);
  const bool is_plain = received.target.substr(0, 1) == "/" && HasPlainFraming(received.headers) &&
                        CountHeaders(received.headers, "Host") == 1;
  if (!host || !fields || !is_plain) {
    admission.refusal =
        Refusal{ResultCode::kBadRequest, "a path, one Host and the request's fields are required"};
    return admission;
  }
  request.fields = *fields;
  if (m_context.refusing) {
    admission.refusal = Refusal{ResultCode::kDraining, "use another daemon", kRetryAfterStale};
    return admission;
  }
  if (!m_context.table) {
    admission.refusal =
        Refusal{ResultCode::kStale, "no configuration is known yet", kRetryAfterStale};
    return admission;
  }
  request.table = m_context.table;
  request.route = request.table->FindRoute(*host, PathOf(received.target));
  if (request.route == nullptr) {
    admission.refusal = RefuseUnknown(ResultCode::kUnknownService, "no route has this path");
    return admission;
  }
  admission.refusal = Authorize(request);
  if (admission.refusal) return admission;
  request.service = ChooseService(*request.route, m_context.random);
  const Duration wait =
      std::min(request.fields.deadline.value_or(request.route->timeout), request.route->timeout);
  request.deadline = request.arrived + wait;
  request.method = received.method;
  request.target = received.target;
  request.host = *host;
  for (const HttpHeader& header : EndToEndHeaders(received.headers)) {
    const bool is_host = FindHeader({header}, "Host").has_value();
    if (!is_host && !m_context.wire.is_reserved(header.name)) request.headers.push_back(header);
  }
  request.body = exchange.TakeBody();
  request.fingerprint = FingerprintOf(request);
  if (m_context.crashes->IsBlocked(request.fingerprint)) {
    admission.refusal =
        Refusal{ResultCode::kRefusedCrashing, "such requests have crashed their endpoints"};
    return admission;
  }
  request.version = m_context.rollouts->Choose(request.service);
  return admission;
}

std::optional<CallerFront::Refusal> CallerFront::Authorize(RelayedRequest& request) const {
  request.priority = request.route->priority;
  if (!request.table->Configuration().has_organisations || !request.route->requires_api_key) {
    return std::nullopt;
  }
  const RelayOrganisation* organisation = request.table->FindOrganisation(request.fields.api_key);
  if (organisation == nullptr) {
    return RefuseUnknown(ResultCode::kUnauthorized, "the key is missing or unknown");
  }
  request.organisation = organisation->name;
  request.priority = organisation->priority.value_or(request.priority);
  if (MayRun(m_context, request)) return std::nullopt;
  return Refusal{ResultCode::kStale, "use another daemon", kRetryAfterStale};
}

/// A daemon that may have missed a change does not say that something does not exist.
CallerFront::Refusal CallerFront::RefuseUnknown(ResultCode code, const std::string& detail) const {
  if (m_context.freshness.IsConfirmed(BootNow())) return Refusal{code, detail};
  return Refusal{ResultCode::kStale, "use another daemon", kRetryAfterStale};
}

void CallerFront::LogRefusal(const std::string& request_id, const Refusal& refusal) const {
  const std::optional<Duration> age = m_context.freshness.Age(BootNow());
  const std::int64_t version = m_context.table ? m_context.table->Version() : 0;
  const ResultCodeInfo& info = InfoOf(refusal.code);
  Log(LogLevel::kWarning, "request_refused",
      {{"request", request_id},
       {"status", info.http_status},
       {"code", info.name},
       {"reason", refusal.detail},
       {"configuration", version},
       {"proof_age_ms", age ? std::to_string(age->count() / 1000) : "none"}});
}

HttpReply CallerFront::RejectionReply(HttpRejection rejection) {
  switch (rejection) {
    case HttpRejection::kMalformed: {
      return RelayProblem(ResultCode::kBadRequest, "the request is not valid HTTP/1.1");
    }
    case HttpRejection::kHeadTooLarge: {
      HttpReply reply = RelayProblem(ResultCode::kTooLarge, "the head is too large");
      reply.status = 431;
      return reply;
    }
    case HttpRejection::kUrlTooLong: {
      HttpReply reply = RelayProblem(ResultCode::kTooLarge, "the URL is too long");
      reply.status = 414;
      return reply;
    }
    case HttpRejection::kBodyTooLarge:
      return RelayProblem(ResultCode::kTooLarge, "the body is too large");
    case HttpRejection::kTimeout:
      return RelayProblem(ResultCode::kRequestTimeout, "the request did not arrive in time");
    case HttpRejection::kTooManyConnections:
      return RelayProblem(ResultCode::kOverloaded, "use another daemon", kRetryAfterStale);
    case HttpRejection::kBodyMemoryLimit:
      return RelayProblem(ResultCode::kMemoryLimit, "use another daemon", kRetryAfterStale);
    case HttpRejection::kHandlerFailed:
      break;
  }
  return RelayProblem(ResultCode::kInternal, "the log names the reason");
}

}  // namespace fulmarpoint
