#include "measure_rollout.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>

#include "measure.h"
#include "rollout_simulation.h"

namespace fulmarpoint {

namespace {

constexpr int kDefaultRuns = 100;

bool IsBadVersion(VersionFault fault) {
  return fault != VersionFault::kNone && fault != VersionFault::kBadEndpoint &&
         fault != VersionFault::kBrownOut;
}

nlohmann::json MeasureCell(VersionFault fault, RolloutPolicy policy, int runs, std::uint64_t seed) {
  int done = 0;
  int rolled_back = 0;
  std::uint64_t harmed = 0;
  std::uint64_t late_requests = 0;
  double canary_phase_share = 0;
  double minutes = 0;
  for (int run = 0; run < runs; ++run) {
    RolloutScenario scenario;
    scenario.fault = fault;
    scenario.policy = policy;
    scenario.seed = seed + static_cast<std::uint64_t>(run);
    const RolloutOutcome outcome = SimulateRollout(scenario);
    done += outcome.done && !outcome.rolled_back ? 1 : 0;
    rolled_back += outcome.rolled_back ? 1 : 0;
    harmed += outcome.harmed_requests;
    late_requests += outcome.late_requests;
    const double requests =
        static_cast<double>(std::max<std::uint64_t>(1, outcome.canary_phase_requests));
    canary_phase_share = std::max(
        canary_phase_share, static_cast<double>(outcome.canary_phase_new_requests) / requests);
    minutes += std::chrono::duration<double, std::ratio<60>>(outcome.ended_after).count();
  }
  return {
      {"fault", NameOf(kVersionFaultNames, fault)},
      {"policy", NameOf(kRolloutPolicyNames, policy)},
      {"bad_version", IsBadVersion(fault)},
      {"runs", runs},
      {"done", done},
      {"rolled_back", rolled_back},
      {"harmed_requests_per_run", static_cast<double>(harmed) / runs},
      {"new_requests_later_than_3s_after_found_per_run", static_cast<double>(late_requests) / runs},
      {"largest_share_while_unproven", canary_phase_share},
      {"mean_minutes_to_end", minutes / runs}};
}

}  // namespace

nlohmann::json MeasureRollout(const MeasureOptions& options) {
  const int runs = options.runs > 0 ? options.runs : kDefaultRuns;
  nlohmann::json cells = nlohmann::json::array();
  for (const EnumName<VersionFault>& fault : kVersionFaultNames) {
    for (const EnumName<RolloutPolicy>& policy : kRolloutPolicyNames) {
      cells.push_back(MeasureCell(fault.value, policy.value, runs, options.seed));
    }
  }
  return {{"measurement", "rollout"}, {"seed", options.seed}, {"cells", cells}};
}

}  // namespace fulmarpoint
