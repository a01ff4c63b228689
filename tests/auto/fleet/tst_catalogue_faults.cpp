#include <criterion/criterion.h>

#include "fault_scenario.h"

using namespace fulmarpoint;

namespace {

constexpr std::uint64_t kSeed = 9000;
constexpr int kPairs = 250;

std::vector<Injection> AllInjections() {
  std::vector<Injection> all;
  for (const EnumName<Fault>& fault : kFaultNames) {
    for (const EnumName<ChangeStep>& step : kChangeStepNames) {
      all.push_back({fault.value, step.value});
    }
  }
  return all;
}

void ExpectNoFailures(const std::vector<Injection>& injections, std::uint64_t seed) {
  const std::vector<std::string> failures = FaultCase(injections, seed).Run();
  cr_expect(failures.empty(), "seed %lu, %s: %zu failures, the first: %s", seed,
            Describe(injections).c_str(), failures.size(),
            failures.empty() ? "" : failures.front().c_str());
}

/// Returns the first case, single faults first, in which the checks notice the mutation.
std::string FindDetection(const Fleet::Options& options) {
  std::vector<std::vector<Injection>> cases = {{}};
  for (const Injection& injection : AllInjections()) cases.push_back({injection});
  for (const std::vector<Injection>& injections : cases) {
    const std::vector<std::string> failures = FaultCase(injections, kSeed, options).Run();
    if (!failures.empty()) return Describe(injections) + failures.front();
  }
  return "";
}

}  // namespace

// Guards against a fault at any step of a change that breaks P9, a false answer to an operator, or
// a fleet that does not recover.
Test(catalogue_faults, every_fault_at_every_step) {
  std::uint64_t seed = kSeed;
  for (const Injection& injection : AllInjections()) ExpectNoFailures({injection}, seed++);
}

Test(catalogue_faults, pairs_of_faults) {
  const std::vector<Injection> all = AllInjections();
  Random random(kSeed);
  for (int i = 0; i < kPairs; ++i) {
    const Injection first = all[random() % all.size()];
    const Injection second = all[random() % all.size()];
    ExpectNoFailures({first, second}, kSeed + static_cast<std::uint64_t>(i));
  }
}

// The checks notice each broken rule.
Test(catalogue_faults, mutation_accept_lower_revision) {
  Fleet::Options options;
  options.control.replica.mutate_accept_lower_revision = true;
  cr_assert_neq(FindDetection(options), std::string());
}

Test(catalogue_faults, mutation_skip_fencing) {
  Fleet::Options options;
  options.control.replica.mutate_skip_fencing = true;
  cr_assert_neq(FindDetection(options), std::string());
}

Test(catalogue_faults, mutation_accept_without_majority) {
  Fleet::Options options;
  options.control.writer.mutate_accept_without_majority = true;
  options.control.writer.mutate_report_all_in_effect = true;
  cr_assert_neq(FindDetection(options), std::string());
}

Test(catalogue_faults, mutation_report_all_in_effect) {
  Fleet::Options options;
  options.control.writer.mutate_report_all_in_effect = true;
  cr_assert_neq(FindDetection(options), std::string());
}

Test(catalogue_faults, mutation_trust_lost_answer) {
  Fleet::Options options;
  options.control.writer.mutate_trust_lost_answer = true;
  cr_assert_neq(FindDetection(options), std::string());
}
