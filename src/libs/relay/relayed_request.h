#pragma once

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "coordination/relay_placement.h"
#include "coordination/relay_table.h"
#include "protocol/relay_messages.h"
#include "protocol/result_code.h"
#include "protocol/suspect_messages.h"
#include "relay/relay_context.h"
#include "transport/http_client.h"
#include "transport/http_client_exchange.h"
#include "transport/http_message.h"
#include "transport/http_server.h"
#include "transport/task.h"
#include "utils/enum_names.h"
#include "utils/log_field.h"

namespace fulmarpoint {

/// A request that has been admitted for a service.
struct RelayedRequest {
  CallerFields fields;
  std::string method;
  std::string target;
  std::string host;
  std::string body;
  /// The caller's headers that are forwarded to the endpoint unchanged.
  HttpHeaders headers;
  /// Keeps `route` alive.
  std::shared_ptr<const RelayTable> table;
  const RelayRoute* route = nullptr;
  ServiceName service;
  /// During a rollout, the versions of the service that may run the request.
  VersionChoice version;
  /// Empty if the route needs no key.
  OrganisationId organisation;
  /// The same for all sends of the same request, also if their request identifiers differ.
  Fingerprint fingerprint = 0;
  /// Fingerprints of the parts of its prompt.
  std::vector<Fingerprint> part_fingerprints;
  int priority = 5;
  TimePoint arrived{};
  /// The same instant on the clock `BootNow()`.
  TimePoint arrived_boot{};
  /// The earlier of the caller's deadline and the route's timeout.
  TimePoint deadline{};
};

/// Returns the hash of everything that determines how an endpoint handles the request.
Fingerprint FingerprintOf(const RelayedRequest& request);

/// Returns the fingerprints of the parts of a prompt, each once. They are the same in all requests
/// for the same model that share the part.
std::vector<Fingerprint> PartFingerprintsOf(const CallerFields& fields);

/// Returns the position of the request's priority among those of the service's streams; 0 is the
/// highest, and the only one unless routes with different priorities lead to the service.
int PriorityLevelOf(const RelayedRequest& request);

/// Returns whether the request may be sent to an endpoint: its key, if any, was confirmed valid
/// when it arrived. The confirmation also covers later attempts of the same request.
bool MayForward(const RelayContext& context, const RelayedRequest& request);

/// Builds the HTTP request for an endpoint at `address`.
HttpClientRequest BuildEndpointRequest(const RelayContext& context, const RelayedRequest& request,
                                       const std::string& address, EndpointFields fields,
                                       TimePoint now);

/// Connects to an endpoint, counts the connection in the metrics and reports it as evidence of
/// reachability.
Task<std::error_code> ConnectEndpoint(RelayContext& context, HttpClientExchange& connection,
                                      EndpointRecord endpoint, Duration timeout);

/// Records what an endpoint states about itself in a reply to the request, which arrived at
/// `answered_at`.
void ReportEndpointState(RelayContext& context, const RelayedRequest& request,
                         const EndpointRecord& endpoint, const EndpointResponseFields& answer,
                         TimePoint answered_at);

/// Records that an endpoint failed a request in the directory, the heartbeats and the log.
void ReportEndpointFailure(RelayContext& context, const RelayedRequest& request,
                           const EndpointId& endpoint, std::string_view reason);

/// Records an attempt that ended with a complete reply. `is_failure` means an error that the
/// endpoint's version may have caused. A zero duration was not measured. May change the versions
/// that the request's next attempt can use.
void ReportCompletedAttempt(RelayContext& context, RelayedRequest& request,
                            const EndpointRecord& endpoint, bool is_failure, Duration latency,
                            Duration token_interval = Duration::zero());

/// How an attempt ended without a complete reply.
struct AttemptLossDetails {
  TimePoint started{};
  /// False if the attempt timed out or stalled.
  bool connection_broken = false;
  /// When the first event of a stream arrived, if any did.
  std::optional<TimePoint> first_event;
};

/// Records an attempt that ended without a complete reply.
void ReportLostAttempt(RelayContext& context, RelayedRequest& request,
                       const EndpointRecord& endpoint, const AttemptLossDetails& details);

/// Returns whether it is known that no endpoint takes the request before `until`.
bool IsUnservable(const RelayContext& context, const RelayedRequest& request, TimePoint until);

/// Returns how long the caller of a request that no endpoint takes should wait before it tries
/// again.
Duration RetryAfterOf(RelayContext& context, const RelayedRequest& request);

/// Takes one retry from the service's quota. Returns whether the request may be sent once more.
Task<bool> TryTakeRetry(RelayContext& context, const RelayedRequest& request);

/// Returns the headers without the hop-by-hop ones.
HttpHeaders EndToEndHeaders(const HttpHeaders& headers);

/// Returns an error reply of this daemon's own. `retry_after` is sent with fractions of a second;
/// zero omits it.
HttpReply RelayProblem(ResultCode code, const std::string& detail,
                       Duration retry_after = Duration::zero());

/// How a relayed request ended.
enum class RequestOutcome {
  kAnswered,
  /// An endpoint's error reply was forwarded.
  kEndpointFailed,
  /// The request may have run, and there is no reply.
  kLost,
  /// A stream was closed before its last event.
  kCut,
  /// No endpoint accepted the request.
  kRefused,
  /// Rejected because the configuration could not be confirmed to be current.
  kStale,
  kCallerGone,
};

inline constexpr std::array<EnumName<RequestOutcome>, 7> kRequestOutcomeNames = {{
    {RequestOutcome::kAnswered, "answered"},
    {RequestOutcome::kEndpointFailed, "endpoint_failed"},
    {RequestOutcome::kLost, "lost"},
    {RequestOutcome::kCut, "cut"},
    {RequestOutcome::kRefused, "refused"},
    {RequestOutcome::kStale, "stale"},
    {RequestOutcome::kCallerGone, "caller_gone"},
}};

/// Writes the log line for the end of a request, with `details` after the common fields.
void LogRequestEnd(const RelayedRequest& request, RequestOutcome outcome, int status,
                   const std::vector<LogField>& details);

}  // namespace fulmarpoint
