#pragma once

#include <array>
#include <memory>
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

/// A request that has been accepted for a service.
struct RelayedRequest {
  CallerFields fields;
  std::string method;
  std::string target;
  std::string host;
  std::string body;
  /// Headers of the caller that the endpoint receives unchanged.
  HttpHeaders headers;
  /// Keeps `route` alive.
  std::shared_ptr<const RelayTable> table;
  const RelayRoute* route = nullptr;
  ServiceName service;
  /// Which of the service's endpoints may run it, during a rollout.
  VersionChoice version;
  /// Empty if the route needs no key.
  OrganisationId organisation;
  /// The same for all sends of a request, whatever their identifiers.
  Fingerprint fingerprint = 0;
  int priority = 5;
  TimePoint arrived{};
  /// The same instant on the clock `BootNow()`.
  TimePoint arrived_boot{};
  /// When the caller or the route's time-out ends the wait.
  TimePoint deadline{};
};

/// Returns the hash of what an endpoint's work on the request depends on.
Fingerprint FingerprintOf(const RelayedRequest& request);

/// Returns whether the request may be handed to an endpoint: its key, if any, was proven valid when
/// it arrived. What was proven once stays so for retries and resumed runs of the same request.
bool MayForward(const RelayContext& context, const RelayedRequest& request);

/// Returns the request as it is sent to an endpoint at `address`.
HttpClientRequest BuildEndpointRequest(const RelayContext& context, const RelayedRequest& request,
                                       const std::string& address, EndpointFields fields,
                                       TimePoint now);

/// Connects to "ip:port" of an endpoint for a request, and counts the connection.
Task<std::error_code> ConnectEndpoint(RelayContext& context, HttpClientExchange& connection,
                                      std::string address, Duration timeout);

/// Reports to the directory and the peers, and logs, that an endpoint failed a request.
void ReportEndpointFailure(RelayContext& context, const RelayedRequest& request,
                           const EndpointId& endpoint, std::string_view reason);

/// An endpoint has ended a run with a complete answer of any kind. `is_failure`: one that its
/// version can have caused. A zero duration was not measured. The request's next run may use other
/// versions.
void ReportCompletedAttempt(RelayContext& context, RelayedRequest& request,
                            const EndpointRecord& endpoint, bool is_failure, Duration latency,
                            Duration token_interval = Duration::zero());

/// A run has ended without one. `connection_broken`: its connection broke.
void ReportLostAttempt(RelayContext& context, RelayedRequest& request,
                       const EndpointRecord& endpoint, TimePoint started, bool connection_broken);

/// Returns whether the request may be sent once more within the fleet's limit, and counts that.
Task<bool> TryTakeRetry(RelayContext& context, const RelayedRequest& request);

/// Returns the headers of an endpoint's reply that the caller receives: all but those that concern
/// one connection.
HttpHeaders EndToEndHeaders(const HttpHeaders& headers);

/// Returns a refusal or failure of this daemon's own. `retry_after` is sent with fractions of a
/// second; zero for none.
HttpReply RelayProblem(ResultCode code, const std::string& detail,
                       Duration retry_after = Duration::zero());

/// How a relayed request ended.
enum class RequestOutcome {
  kAnswered,
  /// An endpoint's own failure was passed on.
  kEndpointFailed,
  /// It may have run, and there is no answer.
  kLost,
  /// A stream ended before its last event.
  kCut,
  kRefused,
  /// Refused because the configuration could not be proven current.
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
