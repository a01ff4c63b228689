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

/// Counts a request as in progress for the lifetime of the object.
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

int PriorityOf(const RelayedRequest& request) {
  const RelayOrganisation* organisation =
      request.organisation.empty() ? nullptr
                                   : request.table->FindOrganisation(request.fields.api_key);
  return request.table->PriorityOf(*request.route, organisation, request.service);
}

std::size_t CountHeaders(const HttpHeaders& headers, std::string_view name) {
  HttpHeaders::const_iterator it = headers.begin();
  std::size_t count = 0;
  for (; it != headers.end(); ++it) {
    if (FindHeader({*it}, name)) ++count;
  }
  return count;
}

}  // namespace

Task<void> CallerRequestHandler::Handle(HttpExchange& exchange) {
  const RequestCount count(m_context);
  Admission admission = Admit(exchange);
  if (admission.rejection) {
    const Rejection& rejection = *admission.rejection;
    m_context.metrics.Count("relay_requests", "not_admitted");
    LogRejection(admission.request.fields.request_id, rejection);
    if (m_context.ShouldRedirect()) exchange.CloseAfterReply();
    co_await exchange.Respond(
        RelayProblem(rejection.code, rejection.detail, rejection.retry_after));
    co_return;
  }
  if (admission.request.route->retryability == Retryability::kStream) {
    co_await RelayStream(m_context, exchange, std::move(admission.request));
  } else {
    co_await RelayCall(m_context, m_pool, exchange, std::move(admission.request));
  }
}

CallerRequestHandler::Admission CallerRequestHandler::Admit(HttpExchange& exchange) {
  Admission admission;
  RelayedRequest& request = admission.request;
  request.arrived = SteadyNow();
  request.arrived_boot = BootNow();
  const HttpRequest& received = exchange.Request();
  const std::optional<std::string_view> host = FindHeader(received.headers, "Host");
  const std::optional<CallerFields> fields = m_context.wire.decode_caller(received.headers);
  const bool is_plain =
      received.target.substr(0, 1) == "/" && CountHeaders(received.headers, "Host") == 1;
  if (!host || !fields || !is_plain) {
    admission.rejection = Rejection{ResultCode::kBadRequest,
                                    "a path, one Host and the request's fields are required"};
    return admission;
  }
  request.fields = *fields;
  if (!m_context.table) {
    admission.rejection =
        Rejection{ResultCode::kStale, "no configuration is known yet", kRetryAfterStale};
    return admission;
  }
  request.table = m_context.table;
  request.route = request.table->FindRoute(*host, PathOf(received.target));
  if (request.route == nullptr) {
    admission.rejection = RejectUnknown(ResultCode::kUnknownService, "no route has this path");
    return admission;
  }
  admission.rejection = Authorize(request);
  if (admission.rejection) return admission;
  request.service = ChooseService(*request.route, m_context.random);
  if (m_context.ShouldRedirect()) {
    admission.rejection =
        Rejection{ResultCode::kNoEndpoint, "use another daemon", RetryAfterOf(m_context, request)};
    return admission;
  }
  request.priority = PriorityOf(request);
  const Duration wait =
      std::min(request.fields.deadline.value_or(request.route->timeout), request.route->timeout);
  request.deadline = request.arrived + wait;
  if (m_context.cut_at && request.deadline > *m_context.cut_at) {
    admission.rejection = Rejection{ResultCode::kDraining, "use another daemon", kRetryAfterStale};
    return admission;
  }
  request.method = received.method;
  request.target = received.target;
  request.host = *host;
  for (const HttpHeader& header : EndToEndHeaders(received.headers)) {
    const bool is_host = FindHeader({header}, "Host").has_value();
    if (!is_host && !m_context.wire.is_reserved(header.name)) request.headers.push_back(header);
  }
  request.body = exchange.TakeBody();
  request.fingerprint = FingerprintOf(request);
  request.part_fingerprints = PartFingerprintsOf(request.fields);
  if (m_context.poison_requests->IsQuarantined(request)) {
    admission.rejection =
        Rejection{ResultCode::kRefusedCrashing, "such requests have crashed their endpoints"};
    return admission;
  }
  request.version = m_context.rollouts->Choose(request.service);
  return admission;
}

std::optional<CallerRequestHandler::Rejection> CallerRequestHandler::Authorize(
    RelayedRequest& request) const {
  if (!request.table->Configuration().has_organisations || !request.route->requires_api_key) {
    return std::nullopt;
  }
  const RelayOrganisation* organisation = request.table->FindOrganisation(request.fields.api_key);
  if (organisation == nullptr) {
    return RejectUnknown(ResultCode::kUnauthorized, "the key is missing or unknown");
  }
  request.organisation = organisation->name;
  if (MayForward(m_context, request)) return std::nullopt;
  return Rejection{ResultCode::kStale, "use another daemon", kRetryAfterStale};
}

/// Rejects a request for something unknown. A daemon whose configuration may be out of date sends
/// the caller to another daemon instead.
CallerRequestHandler::Rejection CallerRequestHandler::RejectUnknown(
    ResultCode code, const std::string& detail) const {
  if (m_context.freshness.IsConfirmed(BootNow())) return Rejection{code, detail};
  return Rejection{ResultCode::kStale, "use another daemon", kRetryAfterStale};
}

void CallerRequestHandler::LogRejection(const std::string& request_id,
                                        const Rejection& rejection) const {
  const std::optional<Duration> age = m_context.freshness.Age(BootNow());
  const std::int64_t version = m_context.table ? m_context.table->Version() : 0;
  const ResultCodeInfo& info = InfoOf(rejection.code);
  Log(LogLevel::kWarning, "request_refused",
      {{"request", request_id},
       {"status", info.http_status},
       {"code", info.name},
       {"reason", rejection.detail},
       {"configuration", version},
       {"proof_age_ms", age ? std::to_string(age->count() / 1000) : "none"}});
}

HttpReply CallerRequestHandler::RejectionReply(HttpRejection rejection) {
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
