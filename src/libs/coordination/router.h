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

/// Priority of a request. Background work leaves room at each endpoint for the others.
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
  /// Requests this daemon started there and that the last load report cannot contain yet.
  int started_since_report = 0;
  /// Unused credits that this daemon holds for the endpoint; nothing if credits do not apply.
  std::optional<int> free_credits;
  /// Prompt tokens that the endpoint probably has cached. A hint only.
  std::uint32_t cached_prefix_tokens = 0;
};

struct RouteRequest {
  /// Only this version; empty for any.
  VersionName version;
  /// Failure domain of this daemon; endpoints there are a little better.
  std::string failure_domain;
  /// Failure domain in which this request just lost an endpoint; avoided if there is another.
  std::string avoided_domain;
  std::uint32_t prompt_tokens = 0;
  Priority priority = Priority::kNormal;
  std::vector<EndpointId> excluded;
  /// Whether this request may be sent to a suspect endpoint: false for work that runs at most once.
  bool may_try_suspect = true;
};

struct RouteChoice {
  std::size_t index = 0;
  /// The endpoint is suspect or failed: call `EndpointHealth::BeginTrial`.
  bool trial = false;
};

/// Chooses an endpoint: the better of two random ones among the best, so that daemons with the same
/// old reports do not all choose the same endpoint. Excluded, leaving and full endpoints and other
/// versions are never chosen. Returns nothing if no candidate is left. Thread-safe for separate
/// `random` objects.
std::optional<RouteChoice> ChooseEndpoint(const std::vector<RouteCandidate>& candidates,
                                          const RouteRequest& request, Random& random);

/// Returns the score of a usable candidate; lower is better.
double RouteScore(const RouteCandidate& candidate, const RouteRequest& request);

}  // namespace fulmarpoint
