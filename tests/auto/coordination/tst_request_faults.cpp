#include <criterion/criterion.h>

#include <cstdio>
#include <cstdlib>
#include <map>
#include <set>
#include <string>

#include "support/request_plan.h"

using namespace fulmarpoint;

namespace {

/// Reads a number from the environment, so that a run can be repeated or enlarged.
std::uint64_t Setting(const char* name, std::uint64_t standard) {
  const char* text = std::getenv(name);
  return text == nullptr ? standard : std::strtoull(text, nullptr, 10);
}

std::uint64_t FirstSeed() { return Setting("FULMARPOINT_SEED", 1); }

/// Runs a plan and reports its violations; returns the run.
RequestRun RunAndCheck(const RequestPlan& plan, int& failures) {
  RequestRun run = RunRequests(plan);
  for (const Violation& violation : run.violations) {
    ++failures;
    if (failures > 5) break;
    std::fprintf(stderr, "%s: %s\n", Describe(plan).c_str(),
                 Describe(violation, run.history).c_str());
  }
  return run;
}

/// Why a fault cannot strike at a step; nothing if it can.
const char* UnreachableReason(ScenarioKind kind, Fault, Step step) {
  const bool stream_step =
      step == Step::kFirstToken || step == Step::kMidStream || step == Step::kLastToken;
  if (IsGeneration(kind)) {
    if (step == Step::kClaim) return "a generation makes no claim";
    if (step == Step::kOutcome) return "a generation records no outcome";
    return nullptr;
  }
  if (stream_step) return "a call has one answer and no stream";
  if (step == Step::kClaim && kind == ScenarioKind::kCallIssued) {
    return "a daemon-issued key makes no claim";
  }
  if (kind != ScenarioKind::kCallIdempotent) return nullptr;
  if (step == Step::kClaim) return "an idempotent call makes no claim";
  if (step == Step::kOutcome) return "an idempotent call records no outcome";
  return nullptr;
}

void PrintTable(const std::map<std::pair<Fault, Step>, std::set<std::string>>& cells,
                ScenarioKind kind) {
  std::printf("\n%s\n", std::string(NameOf(kScenarioNames, kind)).c_str());
  for (const EnumName<Fault>& fault : kFaultNames) {
    for (const EnumName<Step>& step : kStepNames) {
      std::printf("  %-20s %-12s", std::string(fault.name).c_str(), std::string(step.name).c_str());
      if (const char* reason = UnreachableReason(kind, fault.value, step.value)) {
        std::printf(" - (%s)", reason);
      }
      const auto cell = cells.find({fault.value, step.value});
      if (cell != cells.end()) {
        for (const std::string& result : cell->second) std::printf(" %s", result.c_str());
      }
      std::printf("\n");
    }
  }
}

/// Runs every fault at every step that the kind of request has.
void RunSingles(ScenarioKind kind, std::uint64_t runs) {
  const std::uint64_t first = FirstSeed();
  int failures = 0;
  std::map<std::pair<Fault, Step>, std::set<std::string>> cells;
  for (const EnumName<Fault>& fault : kFaultNames) {
    for (const EnumName<Step>& step : kStepNames) {
      if (UnreachableReason(kind, fault.value, step.value) != nullptr) continue;
      for (std::uint64_t seed = first; seed < first + runs; ++seed) {
        const RequestPlan plan{kind, {{fault.value, step.value}}, seed};
        const RequestRun run = RunAndCheck(plan, failures);
        cr_expect(run.struck[0], "%s: the fault did not strike", Describe(plan).c_str());
        cells[{fault.value, step.value}].insert(run.result);
      }
    }
  }
  if (Setting("FULMARPOINT_TABLE", 0) != 0) PrintTable(cells, kind);
  cr_assert_eq(failures, 0, "%d violations from seed %llu", failures,
               static_cast<unsigned long long>(first));
}

}  // namespace

Test(request_faults, singles_generation_resource) {
  RunSingles(ScenarioKind::kGenerationResource, Setting("FULMARPOINT_RUNS", 10));
}

Test(request_faults, singles_generation_latency) {
  RunSingles(ScenarioKind::kGenerationLatency, Setting("FULMARPOINT_RUNS", 10));
}

Test(request_faults, singles_generation_version_gone) {
  RunSingles(ScenarioKind::kGenerationVersionGone, Setting("FULMARPOINT_RUNS", 10));
}

Test(request_faults, singles_call_claimed) {
  RunSingles(ScenarioKind::kCallClaimed, Setting("FULMARPOINT_RUNS", 10));
}

Test(request_faults, singles_call_issued) {
  RunSingles(ScenarioKind::kCallIssued, Setting("FULMARPOINT_RUNS", 10));
}

Test(request_faults, singles_call_idempotent) {
  RunSingles(ScenarioKind::kCallIdempotent, Setting("FULMARPOINT_RUNS", 10));
}
