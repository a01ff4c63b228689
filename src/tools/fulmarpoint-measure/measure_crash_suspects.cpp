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
    total.endpoints_lost.insert(total.endpoints_lost.end(), result.endpoints_lost.begin(),
                                result.endpoints_lost.end());
    total.retry_waits_ms.insert(total.retry_waits_ms.end(), result.retry_waits_ms.begin(),
                                result.retry_waits_ms.end());
    total.spontaneous_crashes += result.spontaneous_crashes;
    total.harmless_started += result.harmless_started;
    total.harmless_interrupted += result.harmless_interrupted;
    total.harmless_completed += result.harmless_completed;
    total.harmless_rejected += result.harmless_rejected;
    total.gossip_messages += result.gossip_messages;
  }
  json row = {{"scenario", name},
              {"daemons", scenario.daemons},
              {"suspicion", scenario.suspicion},
              {"gossip_delay_ms", scenario.gossip_delay.count() / 1000},
              {"runs", runs},
              {"own_crashes", total.spontaneous_crashes},
              {"innocent_started", total.harmless_started},
              {"innocent_interrupted", total.harmless_interrupted},
              {"innocent_completed", total.harmless_completed},
              {"innocent_refused", total.harmless_rejected},
              {"wait_ms_p50", Quantile(total.retry_waits_ms, 0.5)},
              {"wait_ms_p99", Quantile(total.retry_waits_ms, 0.99)},
              {"wait_ms_max", Quantile(total.retry_waits_ms, 1.0)},
              {"notices", total.gossip_messages}};
  json histogram = json::object();
  for (int lost : total.endpoints_lost) {
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
      CrashScenario retried = base;
      retried.caller_retries = true;
      rows.push_back(Summarise("caller repeats elsewhere", retried, runs));
      CrashScenario own = base;
      own.poison_requests = 0;
      own.spontaneous_crash_interval = std::chrono::minutes(20);
      rows.push_back(Summarise("own crashes only", own, runs));
      CrashScenario both = retried;
      both.spontaneous_crash_interval = std::chrono::minutes(20);
      rows.push_back(Summarise("caller repeats, own crashes", both, runs));
    }
    if (daemons == 1) continue;
    CrashScenario slow = base;
    slow.caller_retries = true;
    slow.gossip_delay = std::chrono::seconds(1);
    rows.push_back(Summarise("caller repeats, slow gossip", slow, runs));
    CrashScenario partitioned = base;
    partitioned.caller_retries = true;
    partitioned.partitioned = true;
    rows.push_back(Summarise("caller repeats, daemons partitioned", partitioned, runs));
    partitioned.event_ids = true;
    rows.push_back(
        Summarise("caller continues by event id, daemons partitioned", partitioned, runs));
  }
  return {{"measurement", "crash_suspects"}, {"seed", options.seed}, {"rows", rows}};
}

}  // namespace fulmarpoint
