#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/rollout_controller.h"
#include "coordination/rollout_participant.h"
#include "utils/enum_names.h"
#include "utils/random.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Faults of a new version, and faults that the version does not cause (`kBadEndpoint`,
/// `kBrownOut`).
enum class VersionFault {
  kNone,
  kFailsAtOnce,
  kSlowAtOnce,
  kFailsLater,
  kFailsUnderLoad,
  kFailsOnOneRoute,
  kFailsOnTwoEndpoints,
  kBadEndpoint,
  kBrownOut,
};

inline constexpr std::array<EnumName<VersionFault>, 9> kVersionFaultNames = {{
    {VersionFault::kNone, "none"},
    {VersionFault::kFailsAtOnce, "fails_at_once"},
    {VersionFault::kSlowAtOnce, "slow_at_once"},
    {VersionFault::kFailsLater, "fails_later"},
    {VersionFault::kFailsUnderLoad, "fails_under_load"},
    {VersionFault::kFailsOnOneRoute, "fails_on_one_route"},
    {VersionFault::kFailsOnTwoEndpoints, "fails_on_two_endpoints"},
    {VersionFault::kBadEndpoint, "bad_endpoint"},
    {VersionFault::kBrownOut, "brown_out"},
}};

enum class RolloutPolicy { kFulmarpoint, kFixedSteps, kAllAtOnce };

inline constexpr std::array<EnumName<RolloutPolicy>, 3> kRolloutPolicyNames = {{
    {RolloutPolicy::kFulmarpoint, "fulmarpoint"},
    {RolloutPolicy::kFixedSteps, "fixed_steps"},
    {RolloutPolicy::kAllAtOnce, "all_at_once"},
}};

struct RolloutScenario {
  int daemons = 8;
  int endpoints = 10;
  double requests_per_second = 60;
  /// Error rates without a fault, and of requests that a fault of the new version affects.
  double base_error_rate = 0.002;
  double bad_error_rate = 0.3;
  double slow_factor = 3;
  Duration deadline = std::chrono::minutes(10);
  /// One-way delay of a gossip message between daemons.
  Duration gossip_delay = std::chrono::milliseconds(400);
  Duration message_delay = std::chrono::milliseconds(2);
  VersionFault fault = VersionFault::kNone;
  RolloutPolicy policy = RolloutPolicy::kFulmarpoint;
  std::uint64_t seed = 1;
};

struct RolloutOutcome {
  bool done = false;
  bool rolled_back = false;
  Duration ended_after{};
  std::uint64_t requests = 0;
  std::uint64_t new_version_requests = 0;
  std::uint64_t canary_phase_new_requests = 0;
  std::uint64_t canary_phase_requests = 0;
  /// Requests to the bad version that failed or were slow because of its fault.
  std::uint64_t harmed_requests = 0;
  /// Requests sent to the new version more than 3 s after its fault was first detected.
  std::uint64_t late_requests = 0;
};

/// Simulates one rollout, for its deadline and the watch period after it. Thread-safe.
RolloutOutcome SimulateRollout(const RolloutScenario& scenario);

}  // namespace fulmarpoint
