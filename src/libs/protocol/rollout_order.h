#pragma once

#include <array>
#include <cstdint>

#include "protocol/identifiers.h"
#include "utils/enum_names.h"
#include "utils/time.h"

namespace fulmarpoint {

/// An operator's order, a row of the store, to move a service to the endpoints of another version,
/// which run alongside those of the old one.
struct RolloutOrder {
  ServiceName service;
  VersionName new_version;
  /// Time from the order to the end of the rollout.
  Duration time_limit{};

  bool operator==(const RolloutOrder&) const = default;
};

/// State of a rollout as reported to the operator. Endpoints of other versions are stopped at
/// `kDone`, those of the new version after `kRolledBack`.
enum class RolloutState : std::uint8_t { kRunning, kDone, kRolledBack };

struct RolloutStatus {
  ServiceName service;
  VersionName to;
  RolloutState state = RolloutState::kRunning;
};

}  // namespace fulmarpoint
