#pragma once

#include <optional>
#include <vector>

#include "coordination/endpoint_directory.h"
#include "coordination/ring_view.h"
#include "protocol/identifiers.h"
#include "utils/time.h"

namespace fulmarpoint {

/// What the ramps of a service's endpoints depend on besides the endpoints.
struct RampFleet {
  /// All daemons, this one included.
  std::size_t daemons = 1;
  /// Position of this daemon on the hash ring; empty if it exchanges heartbeats with all daemons.
  std::optional<RingView> ring;
  /// Version whose endpoints are not limited because a rollout starts them; empty if none.
  VersionName new_version;
};

/// Returns those of the usable `endpoints` of a service that may take another request of this
/// daemon now; all of them if none may. Thread-safe if the endpoints are not changed.
std::vector<const DirectoryEndpoint*> WithoutRampLimited(
    const std::vector<const DirectoryEndpoint*>& endpoints, const RampFleet& fleet, TimePoint now);

}  // namespace fulmarpoint
