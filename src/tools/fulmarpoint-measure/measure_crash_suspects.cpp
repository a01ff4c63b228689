#include "measure_crash_suspects.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>

#include "crash_simulation.h"
#include "measure.h"

namespace fulmarpoint {

namespace {

using nlohmann::json;

double Quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0.0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

json Summarise(const std::string& name, CrashScenario scenario, int runs) {
  CrashResult total;
  const std::uint64_t first_seed = scenario.seed;
  for (int run = 0; run < runs; ++run) {
    scenario.seed = first_seed + static_cast<std::uint64_t>(run);
    const CrashResult result = CrashSimulation(scenario).Run();
    total.lost.insert(total.lost.end(), result.lost.begin(), result.lost.end());
    total.waits_ms.insert(total.waits_ms.end(), result.waits_ms.begin(), result.waits_ms.end());
    total.own_crashes += result.own_crashes;
    total.innocent_started += result.innocent_started;
    total.innocent_interrupted += result.innocent_interrupted;
    total.innocent_completed += result.innocent_completed;
    total.innocent_refused += result.innocent_refused;
    total.notices += result.notices;
  }
  json row = {{"scenario", name},
              {"daemons", scenario.daemons},
              {"suspicion", scenario.suspicion},
              {"gossip_delay_ms", scenario.gossip_delay.count() / 1000},
              {"runs", runs},
              {"own_crashes", total.own_crashes},
              {"innocent_started", total.innocent_started},
              {"innocent_interrupted", total.innocent_interrupted},
              {"innocent_completed", total.innocent_completed},
              {"innocent_refused", total.innocent_refused},
              {"wait_ms_p50", Quantile(total.waits_ms, 0.5)},
              {"wait_ms_p99", Quantile(total.waits_ms, 0.99)},
              {"wait_ms_max", Quantile(total.waits_ms, 1.0)},
              {"notices", total.notices}};
  json histogram = json::object();
  for (int lost : total.lost) {
    const std::string key = std::to_string(lost);
    histogram[key] = histogram.value(key, 0) + 1;
  }
  row["endpoints_lost_per_crasher"] = histogram;
  return row;
}

}  // namespace

nlohmann::json MeasureCrashSuspects(const MeasureOptions& options) {
  const int runs = options.runs > 0 ? options.runs : 100;
  const std::vector<int> sizes = options.sizes.empty() ? std::vector<int>{1, 6, 64} : options.sizes;
  json rows = json::array();
  for (int daemons : sizes) {
    CrashScenario base;
    base.seed = options.seed;
    base.daemons = daemons;
    base.endpoints = std::max(20, 2 * daemons);
    for (bool suspicion : {false, true}) {
      base.suspicion = suspicion;
      CrashScenario resumed = base;
      rows.push_back(Summarise("daemon resumes", resumed, runs));
      CrashScenario repeated = base;
      repeated.caller_repeats = true;
      rows.push_back(Summarise("caller repeats elsewhere", repeated, runs));
      CrashScenario own = base;
      own.crashers = 0;
      own.own_crash_interval = std::chrono::minutes(20);
      rows.push_back(Summarise("own crashes only", own, runs));
      CrashScenario both = repeated;
      both.own_crash_interval = std::chrono::minutes(20);
      rows.push_back(Summarise("caller repeats, own crashes", both, runs));
    }
    if (daemons == 1) continue;
    CrashScenario slow = base;
    slow.caller_repeats = true;
    slow.gossip_delay = std::chrono::seconds(1);
    rows.push_back(Summarise("caller repeats, slow gossip", slow, runs));
    CrashScenario partitioned = base;
    partitioned.caller_repeats = true;
    partitioned.partitioned = true;
    rows.push_back(Summarise("caller repeats, daemons partitioned", partitioned, runs));
    partitioned.event_ids = true;
    rows.push_back(
        Summarise("caller continues by event id, daemons partitioned", partitioned, runs));
  }
  return {{"measurement", "crash_suspects"}, {"seed", options.seed}, {"rows", rows}};
}

}  // namespace fulmarpoint
