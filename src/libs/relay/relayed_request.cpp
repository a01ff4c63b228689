#include "relay/relayed_request.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>
#include <random>
#include <set>
#include <utility>

#include "http_api/problem_reply.h"
#include "relay/poison_request_detector.h"
#include "relay/relay_rollouts.h"
#include "utils/logging.h"

namespace fulmarpoint {

namespace {

constexpr std::array<std::string_view, 10> kConnectionHeaders = {
    "connection", "keep-alive",        "proxy-connection", "proxy-authenticate", "te",
    "trailer",    "transfer-encoding", "upgrade",          "content-length",     "expect"};

// A connection that was given less time and failed does not show that the endpoint is unreachable.
constexpr Duration kMinConclusiveTimeout = std::chrono::milliseconds(40);
// Other daemons can serve the request at once.
constexpr Duration kRetryAfterIsolated = std::chrono::milliseconds(20);
// What a caller that is rejected is told to wait: until an endpoint takes requests again, if that
// is known, but not for long, because the endpoints may take requests of other daemons meanwhile.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(200);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(1);
// Callers that are rejected together return over a time that is this fraction of their wait.
constexpr int kRetryAfterSpreadDivisor = 2;

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  for (char& c : lower) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return lower;
}

/// Adds the header names that a Connection header lists.
void AddListedNames(std::string_view value, std::set<std::string>& names) {
  while (!value.empty()) {
    const std::size_t comma = value.find(',');
    std::string_view name = value.substr(0, comma);
    while (!name.empty() && name.front() == ' ') name.remove_prefix(1);
    while (!name.empty() && name.back() == ' ') name.remove_suffix(1);
    if (!name.empty()) names.insert(LowerCase(name));
    value = comma == std::string_view::npos ? std::string_view() : value.substr(comma + 1);
  }
}

std::string FormatSeconds(Duration duration) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(duration).count());
  return text.data();
}

std::int64_t Millis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// Passes the outcome of an attempt to the service's rollout, or, if there is none, to what the
/// next rollout compares with.
void CompareVersions(RelayContext& context, RelayedRequest& request, const EndpointRecord& endpoint,
                     bool error, Duration latency, Duration token_interval) {
  VersionOutcome outcome;
  outcome.route = request.route->name;
  outcome.endpoint = endpoint.id;
  outcome.failure_domain = endpoint.failure_domain;
  outcome.error = error;
  outcome.latency = latency;
  outcome.token_interval = token_interval;
  request.version = context.rollouts->OnAttemptEnded(request.service, endpoint.version,
                                                     request.version, std::move(outcome));
}

void ReportRejectionLimit(RelayContext& context, const EndpointRecord& endpoint,
                          const EndpointResponseFields& answer, TimePoint answered_at) {
  const DirectoryEndpoint* known = context.endpoints.Find(endpoint.id);
  if (known == nullptr) return;
  const bool was_brittle = known->rejections.IsBrittle(answered_at);
  context.endpoints.OnRejectionLimit(endpoint, answer.rejection_limit, context.peers.Size() + 1,
                                     answered_at);
  const bool is_brittle = known->rejections.IsBrittle(answered_at);
  if (was_brittle == is_brittle) return;
  Log(LogLevel::kInfo, is_brittle ? "endpoint_brittle" : "endpoint_sound",
      {{"endpoint", endpoint.id}, {"rejections", answer.rejection_limit.value_or(0)}});
}

}  // namespace

Fingerprint FingerprintOf(const RelayedRequest& request) {
  Fingerprint hash = StableHash(request.organisation);
  for (const std::string* part : {&request.method, &request.host, &request.target, &request.body}) {
    hash = StableHash(*part, hash);
  }
  return hash;
}

std::vector<Fingerprint> PartFingerprintsOf(const CallerFields& fields) {
  constexpr std::size_t kMaxParts = 32;
  std::vector<Fingerprint> fingerprints;
  const Fingerprint model = StableHash(fields.model);
  for (const PromptPart& part : fields.prompt) {
    const Fingerprint fingerprint = StableHash(std::to_string(part.id), model);
    const bool is_known =
        std::find(fingerprints.begin(), fingerprints.end(), fingerprint) != fingerprints.end();
    if (!is_known && fingerprints.size() < kMaxParts) fingerprints.push_back(fingerprint);
  }
  return fingerprints;
}

int PriorityLevelOf(const RelayedRequest& request) {
  return request.table->PriorityLevels(request.service) > 1 ? request.priority : 0;
}

bool MayForward(const RelayContext& context, const RelayedRequest& request) {
  return request.organisation.empty() || context.freshness.Permits(request.arrived_boot);
}

HttpClientRequest BuildEndpointRequest(const RelayContext& context, const RelayedRequest& request,
                                       const std::string& address, EndpointFields fields,
                                       TimePoint now) {
  HttpClientRequest sent;
  sent.address = address;
  sent.method = request.method;
  sent.target = request.target;
  sent.host = request.host;
  sent.body = request.body;
  sent.headers = request.headers;
  fields.request_id = request.fields.request_id;
  fields.deadline = request.deadline - now;
  fields.organisation = request.organisation;
  for (HttpHeader& header : context.wire.encode_endpoint(fields)) {
    sent.headers.push_back(std::move(header));
  }
  return sent;
}

Task<std::error_code> ConnectEndpoint(RelayContext& context, HttpClientExchange& connection,
                                      EndpointRecord endpoint, Duration timeout) {
  const std::error_code error = co_await connection.Connect(endpoint.address, timeout);
  context.metrics.Count("endpoint_connections", error ? "failed" : "opened");
  // A request that is about to end leaves too little time for a connection to tell anything.
  const bool is_evidence = !error || timeout >= kMinConclusiveTimeout;
  if (is_evidence) context.OnConnectionEnded(endpoint, error);
  co_return error;
}

void ReportEndpointState(RelayContext& context, const RelayedRequest& request,
                         const EndpointRecord& endpoint, const EndpointResponseFields& answer,
                         TimePoint answered_at) {
  if (answer.misdirected) return;
  const TimePoint now = SteadyNow();
  ReportRejectionLimit(context, endpoint, answer, answered_at);
  if (answer.load) context.endpoints.OnLoad(endpoint, *answer.load, answered_at);
  if (answer.retry_after) {
    context.endpoints.OnRetryAfter(endpoint, now + *answer.retry_after, now);
  }
  if (!answer.is_leaving) return;
  const bool is_known = context.endpoints.IsDraining(endpoint.id);
  context.endpoints.OnLeaving(endpoint, now);
  if (is_known) return;
  Log(LogLevel::kInfo, "endpoint_leaving",
      {{"request", request.fields.request_id}, {"endpoint", endpoint.id}});
}

void ReportEndpointFailure(RelayContext& context, const RelayedRequest& request,
                           const EndpointId& endpoint, std::string_view reason) {
  context.OnEndpointFailure(endpoint);
  Log(LogLevel::kWarning, "endpoint_failure",
      {{"request", request.fields.request_id}, {"endpoint", endpoint}, {"reason", reason}});
}

void ReportCompletedAttempt(RelayContext& context, RelayedRequest& request,
                            const EndpointRecord& endpoint, bool is_failure, Duration latency,
                            Duration token_interval) {
  context.poison_requests->OnSurvived(request, !is_failure);
  CompareVersions(context, request, endpoint, is_failure, latency, token_interval);
}

void ReportLostAttempt(RelayContext& context, RelayedRequest& request,
                       const EndpointRecord& endpoint, const AttemptLossDetails& details) {
  context.poison_requests->OnAttemptLost(request, endpoint, details);
  // The path was lost, which says nothing about the version.
  if (context.reachability.IsIsolated()) return;
  CompareVersions(context, request, endpoint, true, Duration::zero(), Duration::zero());
}

bool IsUnservable(const RelayContext& context, const RelayedRequest& request, TimePoint until) {
  return context.endpoints.IsUnwanted(request.service, until, SteadyNow());
}

Duration RetryAfterOf(RelayContext& context, const RelayedRequest& request) {
  if (context.ShouldRedirect()) return kRetryAfterIsolated;
  const TimePoint now = SteadyNow();
  Duration wait = kMinRetryAfter;
  if (context.endpoints.Usable(request.service, now).empty()) {
    const std::optional<TimePoint> next = context.endpoints.NextCoolDownEnd(request.service, now);
    if (next) wait = std::clamp(*next - now, kMinRetryAfter, kMaxRetryAfter);
  }
  std::uniform_int_distribution<Duration::rep> spread(0, wait.count() / kRetryAfterSpreadDivisor);
  return wait + Duration(spread(context.random));
}

Task<bool> TryTakeRetry(RelayContext& context, const RelayedRequest& request) {
  const bool may_retry = co_await context.TryTakeRetry(request.service);
  if (may_retry) co_return true;
  Log(LogLevel::kWarning, "retry_budget_empty",
      {{"request", request.fields.request_id}, {"service", request.service}});
  co_return false;
}

HttpHeaders EndToEndHeaders(const HttpHeaders& headers) {
  std::set<std::string> dropped(kConnectionHeaders.begin(), kConnectionHeaders.end());
  for (const HttpHeader& header : headers) {
    if (LowerCase(header.name) == "connection") AddListedNames(header.value, dropped);
  }
  HttpHeaders kept;
  for (const HttpHeader& header : headers) {
    if (dropped.count(LowerCase(header.name)) == 0) kept.push_back(header);
  }
  return kept;
}

HttpReply RelayProblem(ResultCode code, const std::string& detail, Duration retry_after) {
  HttpReply reply = ProblemReply(code, detail);
  if (retry_after > Duration::zero()) {
    reply.headers.push_back({"Retry-After", FormatSeconds(retry_after)});
  }
  return reply;
}

void LogRequestEnd(const RelayedRequest& request, RequestOutcome outcome, int status,
                   const std::vector<LogField>& details) {
  const bool is_good =
      outcome == RequestOutcome::kAnswered || outcome == RequestOutcome::kCallerGone;
  std::vector<LogField> fields = {{"request", request.fields.request_id},
                                  {"route", request.route->name},
                                  {"organisation", request.organisation},
                                  {"outcome", NameOf(kRequestOutcomeNames, outcome)},
                                  {"status", status},
                                  {"configuration", request.table->Version()},
                                  {"ms", Millis(SteadyNow() - request.arrived)}};
  fields.insert(fields.end(), details.begin(), details.end());
  Log(is_good ? LogLevel::kInfo : LogLevel::kWarning, "request_end", fields);
}

}  // namespace fulmarpoint
