#include "measure_resume.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>

#include "resume_simulation.h"

namespace fulmarpoint {

namespace {

using Json = nlohmann::json;

constexpr int kDefaultRuns = 50;
constexpr double kTargetMs = 3000;

double Quantile(const std::vector<double>& sorted, double share) {
  if (sorted.empty()) return 0;
  const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
  return sorted[index];
}

Json Latencies(std::vector<double> latencies) {
  std::sort(latencies.begin(), latencies.end());
  const auto within = std::upper_bound(latencies.begin(), latencies.end(), kTargetMs);
  const double count = std::max<double>(1, static_cast<double>(latencies.size()));
  return Json{{"resumed", latencies.size()},
              {"p50_ms", Quantile(latencies, 0.5)},
              {"p95_ms", Quantile(latencies, 0.95)},
              {"p99_ms", Quantile(latencies, 0.99)},
              {"max_ms", Quantile(latencies, 1.0)},
              {"share_within_3s", static_cast<double>(within - latencies.begin()) / count}};
}

Json Report(const ResumeTotals& totals) {
  std::vector<double> all;
  Json faults;
  for (const EnumName<EngineFault>& fault : kEngineFaultNames) {
    const auto found = totals.latencies_ms.find(fault.value);
    if (found == totals.latencies_ms.end()) continue;
    faults[std::string(fault.name)] = Latencies(found->second);
    all.insert(all.end(), found->second.begin(), found->second.end());
  }
  const double count = std::max<double>(1, static_cast<double>(all.size()));
  return Json{{"interrupted_streams", totals.interrupted},
              {"completed", totals.completed},
              {"not_completed", totals.failed},
              {"resume", Latencies(std::move(all))},
              {"resume_by_fault", faults},
              {"extra_generated_per_resumption",
               static_cast<double>(totals.generated - totals.delivered) / count},
              {"prefilled_per_resumption", static_cast<double>(totals.prefilled) / count}};
}

}  // namespace

Json MeasureResume(const MeasureOptions& options) {
  const int runs = options.runs > 0 ? options.runs : kDefaultRuns;
  Json report = {{"seed", options.seed}, {"runs", runs}};
  for (const EnumName<ResumePolicy>& policy : kResumePolicyNames) {
    ResumeTotals totals;
    for (int run = 0; run < runs; ++run) {
      ResumeSimulation(policy.value, options.seed + static_cast<std::uint64_t>(run)).Run(totals);
    }
    report[std::string(policy.name)] = Report(totals);
  }
  return report;
}

}  // namespace fulmarpoint
