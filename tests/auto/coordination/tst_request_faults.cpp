#include <criterion/criterion.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <set>
#include <string>

#include "support/request_plan.h"
#include "utils/random.h"

using namespace fulmarpoint;

namespace {

/// Reads a number from the environment, so that a test can be reproduced or extended.
std::uint64_t EnvironmentNumber(const char* name, std::uint64_t default_value) {
  const char* text = std::getenv(name);
  return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

std::uint64_t FirstSeed() { return EnvironmentNumber("FULMARPOINT_SEED", 1); }

/// Runs a plan, prints its violations, and returns the run.
RequestSimulationResult RunAndCheck(const RequestPlan& plan, int& failures) {
  RequestSimulationResult run = SimulateRequests(plan);
  for (const Violation& violation : run.violations) {
    ++failures;
    if (failures > 5) break;
    std::fprintf(stderr, "%s: %s\n", Describe(plan).c_str(),
                 Describe(violation, run.history).c_str());
  }
  return run;
}

/// Returns why a request of this kind has no such step, whatever the fault; null if it has one.
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

struct FaultResults {
  std::set<std::string> results;
  Duration longest_gap = Duration::zero();
};

/// Results of all faults at all steps.
using FaultMatrix = std::map<std::pair<Fault, Step>, FaultResults>;

void PrintTable(const FaultMatrix& matrix, ScenarioKind kind) {
  std::printf("\n%s\n", std::string(NameOf(kScenarioNames, kind)).c_str());
  for (const EnumName<Fault>& fault : kFaultNames) {
    for (const EnumName<Step>& step : kStepNames) {
      std::printf("  %-20s %-12s", std::string(fault.name).c_str(), std::string(step.name).c_str());
      if (const char* reason = UnreachableReason(kind, fault.value, step.value)) {
        std::printf(" - (%s)", reason);
      }
      const auto fault_results = matrix.find({fault.value, step.value});
      if (fault_results != matrix.end()) {
        for (const std::string& result : fault_results->second.results)
          std::printf(" %s", result.c_str());
        const double gap_ms = static_cast<double>(fault_results->second.longest_gap.count()) / 1000;
        if (IsGeneration(kind)) std::printf(" (longest pause %.0f ms)", gap_ms);
      }
      std::printf("\n");
    }
  }
}

/// Checks that a generation completes despite a single fault, without a long gap between tokens.
void ExpectCompletion(const RequestPlan& plan, const RequestSimulationResult& run) {
  if (plan.kind == ScenarioKind::kGenerationVersionGone) return;
  const Fault fault = plan.faults[0].fault;
  if (fault == Fault::kCallerGone) return;
  // If the first daemon cancels the stream, a caller that turned to another daemon without its
  // tokens gets an explicit error.
  const bool may_fail = fault == Fault::kCallerSwitchesDaemon && run.result == "cannot_continue";
  cr_expect(run.result == "answer" || may_fail, "%s: %s", Describe(plan).c_str(),
            run.result.c_str());
  // The caller waits 4 s for a paused daemon, a slow caller pauses for 5 s, and answers are lost
  // for 3 s.
  const bool has_longer_limit =
      fault == Fault::kDaemonPause || fault == Fault::kCallerSlow || fault == Fault::kAnswerLost;
  const Duration limit = has_longer_limit ? std::chrono::seconds(6) : std::chrono::seconds(3);
  cr_expect(run.longest_gap <= limit, "%s: longest gap between tokens %lld us",
            Describe(plan).c_str(), static_cast<long long>(run.longest_gap.count()));
}

/// Runs every fault at every step that the kind of request has.
void RunSingles(ScenarioKind kind, std::uint64_t runs) {
  const std::uint64_t first = FirstSeed();
  int failures = 0;
  FaultMatrix matrix;
  for (const EnumName<Fault>& fault : kFaultNames) {
    for (const EnumName<Step>& step : kStepNames) {
      if (UnreachableReason(kind, fault.value, step.value) != nullptr) continue;
      for (std::uint64_t seed = first; seed < first + runs; ++seed) {
        const RequestPlan plan{kind, {{fault.value, step.value}}, seed};
        const RequestSimulationResult run = RunAndCheck(plan, failures);
        cr_expect(run.injected[0], "%s: the fault did not occur", Describe(plan).c_str());
        if (IsGeneration(kind)) ExpectCompletion(plan, run);
        FaultResults& fault_results = matrix[{fault.value, step.value}];
        fault_results.results.insert(run.result);
        fault_results.longest_gap = std::max(fault_results.longest_gap, run.longest_gap);
      }
    }
  }
  if (EnvironmentNumber("FULMARPOINT_TABLE", 0) != 0) PrintTable(matrix, kind);
  cr_assert_eq(failures, 0, "%d violations from seed %llu", failures,
               static_cast<unsigned long long>(first));
}

}  // namespace

Test(request_faults, singles_generation_resource) {
  RunSingles(ScenarioKind::kGenerationResource, EnvironmentNumber("FULMARPOINT_RUNS", 10));
}

Test(request_faults, singles_generation_latency) {
  RunSingles(ScenarioKind::kGenerationLatency, EnvironmentNumber("FULMARPOINT_RUNS", 10));
}

Test(request_faults, singles_generation_version_gone) {
  RunSingles(ScenarioKind::kGenerationVersionGone, EnvironmentNumber("FULMARPOINT_RUNS", 10));
}

Test(request_faults, singles_call_claimed) {
  RunSingles(ScenarioKind::kCallClaimed, EnvironmentNumber("FULMARPOINT_RUNS", 10));
}

Test(request_faults, singles_call_issued) {
  RunSingles(ScenarioKind::kCallIssued, EnvironmentNumber("FULMARPOINT_RUNS", 10));
}

Test(request_faults, singles_call_idempotent) {
  RunSingles(ScenarioKind::kCallIdempotent, EnvironmentNumber("FULMARPOINT_RUNS", 10));
}

namespace {

RequestPlan DrawPair(std::uint64_t seed) {
  Random random(seed);
  const auto draw = [&random](std::size_t limit) { return random() % limit; };
  RequestPlan plan;
  plan.kind = kScenarioNames[draw(kScenarioNames.size())].value;
  plan.seed = seed;
  while (plan.faults.size() < 2) {
    const PlannedFault fault{kFaultNames[draw(kFaultNames.size())].value,
                             kStepNames[draw(kStepNames.size())].value};
    if (UnreachableReason(plan.kind, fault.fault, fault.step) == nullptr) {
      plan.faults.push_back(fault);
    }
  }
  return plan;
}

}  // namespace

// Guards against guarantees that hold under one fault but not when a second one occurs during the
// recovery from the first. All pairs of the matrix are drawn with equal probability.
Test(request_faults, pairs) {
  const std::uint64_t first = FirstSeed();
  const std::uint64_t runs = EnvironmentNumber("FULMARPOINT_PAIRS", 20000);
  int failures = 0;
  std::uint64_t both = 0;
  for (std::uint64_t seed = first; seed < first + runs; ++seed) {
    const RequestSimulationResult run = RunAndCheck(DrawPair(seed), failures);
    if (run.injected[0] && run.injected[1]) ++both;
  }
  std::fprintf(stderr, "pairs: seeds %llu to %llu, both faults struck in %llu\n",
               static_cast<unsigned long long>(first),
               static_cast<unsigned long long>(first + runs - 1),
               static_cast<unsigned long long>(both));
  cr_assert_eq(failures, 0);
  cr_assert_gt(both, runs / 2);
}

namespace {

/// Runs the matrix of single faults with a mutation until a run has a violation. Returns its
/// description; empty if there was none in `max_runs` runs.
std::string FirstViolation(Mutation mutation, std::uint64_t max_runs, std::uint64_t& runs) {
  while (runs < max_runs) {
    for (const EnumName<ScenarioKind>& kind : kScenarioNames) {
      for (const EnumName<Fault>& fault : kFaultNames) {
        for (const EnumName<Step>& step : kStepNames) {
          if (UnreachableReason(kind.value, fault.value, step.value) != nullptr) continue;
          const RequestPlan plan{
              kind.value, {{fault.value, step.value}}, FirstSeed() + runs, mutation};
          const RequestSimulationResult run = SimulateRequests(plan);
          ++runs;
          if (run.violations.empty()) continue;
          return Describe(plan) + ": " + run.violations[0].detail;
        }
      }
    }
  }
  return {};
}

}  // namespace

// Guards against a matrix that does not detect defects: with each mutation, some fault at some
// step must cause a violation.
Test(request_faults, every_mutation_is_caught) {
  const std::uint64_t max_runs = EnvironmentNumber("FULMARPOINT_MUTATION_RUNS", 10000);
  for (const EnumName<Mutation>& mutation : kMutationNames) {
    if (mutation.value == Mutation::kNone) continue;
    std::uint64_t runs = 0;
    const std::string caught = FirstViolation(mutation.value, max_runs, runs);
    std::fprintf(stderr, "caught after %llu runs: %s\n", static_cast<unsigned long long>(runs),
                 caught.c_str());
    cr_expect(not caught.empty(), "%s is not caught", std::string(mutation.name).c_str());
  }
}
