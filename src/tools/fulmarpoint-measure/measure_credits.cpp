#include "measure_credits.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>

#include "credit_simulation.h"
#include "measure.h"

namespace fulmarpoint {

namespace {

using nlohmann::json;

json Summarise(CreditScenario scenario, int runs) {
  CreditResult total;
  std::vector<int> overshoots;
  const std::uint64_t first_seed = scenario.seed;
  for (int run = 0; run < runs; ++run) {
    scenario.seed = first_seed + static_cast<std::uint64_t>(run);
    const CreditResult result = CreditSimulation(scenario).Run();
    overshoots.push_back(result.max_overshoot);
    total.overshoot_time_share += result.overshoot_time_share / runs;
    total.utilization += result.utilization / runs;
    total.arrived += result.arrived;
    total.rejected += result.rejected;
    total.messages_per_second += result.messages_per_second / runs;
    total.bytes_per_second += result.bytes_per_second / runs;
    total.max_bytes_per_second = std::max(total.max_bytes_per_second, result.max_bytes_per_second);
  }
  std::sort(overshoots.begin(), overshoots.end());
  return {{"mode", NameOf(kLimitModeNames, scenario.mode)},
          {"fault", NameOf(kCreditFaultNames, scenario.fault)},
          {"daemons", scenario.daemons},
          {"endpoints", scenario.endpoints},
          {"slots", scenario.slots},
          {"load", scenario.load},
          {"report_age_ms", scenario.report_age.count() / 1000},
          {"runs", runs},
          {"overshoot_median", overshoots[overshoots.size() / 2]},
          {"overshoot_worst", overshoots.back()},
          {"overshoot_time_share", total.overshoot_time_share},
          {"utilization_last_30_s", total.utilization},
          {"arrived", total.arrived},
          {"refused", total.rejected},
          {"messages_per_second_per_daemon", total.messages_per_second},
          {"bytes_per_second_per_daemon", total.bytes_per_second},
          {"bytes_per_second_worst_daemon", total.max_bytes_per_second}};
}

}  // namespace

nlohmann::json MeasureCreditFaults(const MeasureOptions& options) {
  const int runs = options.runs > 0 ? options.runs : 10;
  json rows = json::array();
  for (const EnumName<LimitMode>& mode : kLimitModeNames) {
    for (const EnumName<CreditFault>& fault : kCreditFaultNames) {
      for (int age_seconds : {1, 5}) {
        CreditScenario scenario;
        scenario.seed = options.seed;
        scenario.mode = mode.value;
        scenario.fault = fault.value;
        scenario.report_age = std::chrono::seconds(age_seconds);
        if (!options.sizes.empty()) scenario.daemons = options.sizes.front();
        rows.push_back(Summarise(scenario, runs));
      }
    }
  }
  return {{"measurement", "credit_faults"}, {"seed", options.seed}, {"rows", rows}};
}

nlohmann::json MeasureCreditTraffic(const MeasureOptions& options) {
  const int runs = options.runs > 0 ? options.runs : 1;
  const std::vector<int> sizes =
      options.sizes.empty() ? std::vector<int>{8, 64, 350} : options.sizes;
  json rows = json::array();
  for (int daemons : sizes) {
    for (double load : {0.7, 1.4}) {
      CreditScenario scenario;
      scenario.seed = options.seed;
      scenario.daemons = daemons;
      scenario.endpoints = 640;
      scenario.load = load;
      rows.push_back(Summarise(scenario, runs));
    }
  }
  return {{"measurement", "credit_traffic"}, {"seed", options.seed}, {"rows", rows}};
}

}  // namespace fulmarpoint
