#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coordination/endpoint_health.h"
#include "protocol/identifiers.h"
#include "utils/enum_names.h"
#include "utils/random.h"

namespace fulmarpoint {

/// Priority of a request. Background requests leave some slots of each endpoint free for the
/// others.
enum class Priority { kInteractive, kNormal, kBackground };

inline constexpr std::array<EnumName<Priority>, 3> kPriorityNames = {{
    {Priority::kInteractive, "interactive"},
    {Priority::kNormal, "normal"},
    {Priority::kBackground, "background"},
}};

/// One endpoint of a service as the router sees it.
struct RouteCandidate {
  EndpointId endpoint;
  std::string failure_domain;
  VersionName version;
  EndpointHealthView health;
  /// Requests that this daemon started there since the last load report, and that the report cannot
  /// include.
  int started_since_report = 0;
  /// Unused flow-control credits that this daemon holds for the endpoint; empty if credits do not
  /// apply.
  std::optional<int> free_credits;
  /// Estimated number of prompt tokens in the endpoint's prefix cache. A hint only.
  std::uint32_t cached_prefix_tokens = 0;
};

struct RouteRequest {
  /// Required version; empty for any.
  VersionName version;
  /// Failure domain of this daemon; its endpoints are slightly preferred.
  std::string failure_domain;
  /// Failure domain in which an endpoint just failed during this request; used only if there is no
  /// other. Empty if none.
  std::string avoided_domain;
  std::uint32_t prompt_tokens = 0;
  Priority priority = Priority::kNormal;
  std::vector<EndpointId> excluded;
  /// Whether this request may be sent to a suspect or failed endpoint as a trial. False for work
  /// that must not be executed more than once.
  bool may_try_suspect = true;
};

struct RouteChoice {
  std::size_t index = 0;
  /// The endpoint is suspect or failed; the caller must call `EndpointHealth::BeginTrial`.
  bool trial = false;
};

/// Chooses an endpoint by power of two choices among the best-scored candidates, so that daemons
/// with the same stale load reports do not all choose the same endpoint. A suspect or failed
/// endpoint that is due for a trial is chosen first if the request permits it. Excluded, leaving
/// and full endpoints and other versions are never chosen. Returns `std::nullopt` if no candidate
/// is left. Thread-safe if each thread uses its own `random`.
std::optional<RouteChoice> ChooseEndpoint(const std::vector<RouteCandidate>& candidates,
                                          const RouteRequest& request, Random& random);

/// Returns the score of a candidate, based on load, speed, cached prefix and failure domain; lower
/// is better. Thread-safe.
double RouteScore(const RouteCandidate& candidate, const RouteRequest& request);

}  // namespace fulmarpoint
