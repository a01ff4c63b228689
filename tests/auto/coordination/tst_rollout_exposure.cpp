#include <criterion/criterion.h>

#include <cstdio>
#include <optional>
#include <string>
#include <vector>

#include "rollout_fleet.h"

using namespace fulmarpoint;

namespace {

constexpr int kSeeds = 20;

void Print(const Scenario& scenario, std::uint64_t seed, const Result& result) {
  std::printf("%s, seed %llu: %s (%s), %d of %d exposed, %d late\n", scenario.name,
              static_cast<unsigned long long>(seed),
              std::string(NameOf(kRolloutPhaseNames, result.phase)).c_str(), result.reason.c_str(),
              result.exposed, result.requests, result.late);
}

}  // namespace

// Guards against a bad version that gets more requests than allowed, or that is accepted as good.
Test(rollout_exposure, bad_versions_are_rolled_back_within_their_exposure) {
  const std::vector<Scenario> scenarios = {
      {"fails", 195, 150, std::chrono::seconds(30), FailsFrom(Duration::zero(), 0.3)},
      {"fails, small fleet", 8, 40, std::chrono::seconds(25), FailsFrom(Duration::zero(), 0.3)},
      {"fails late", 195, 150, std::chrono::seconds(30), FailsFrom(std::chrono::seconds(12), 0.4)},
      {"slow", 195, 150, std::chrono::seconds(30), SlowFrom(Duration::zero(), 4.0)},
      {"slow late", 195, 150, std::chrono::seconds(30), SlowFrom(std::chrono::seconds(12), 4.0)},
      {"one route", 195, 150, std::chrono::seconds(30), FailsOnOneRoute(0.4)},
      {"one route, small fleet", 8, 40, std::chrono::seconds(25), FailsOnOneRoute(0.4)},
      {"under load", 195, 150, std::chrono::seconds(30), FailsUnderLoad(0.2, 0.4)},
      {"fails late, controller lost", 195, 150, std::chrono::seconds(30),
       FailsFrom(std::chrono::seconds(16), 0.4), std::chrono::seconds(10)},
      {"peak load", 350, 3000, std::chrono::seconds(60), FailsFrom(Duration::zero(), 0.2)},
  };
  for (const Scenario& scenario : scenarios) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      RolloutFleet fleet(scenario, seed);
      const Result result = fleet.Run();
      const double allowed = kExposureShare * result.requests + kExposureSlack;
      const bool holds = result.phase == RolloutPhase::kRolledBack && result.exposed <= allowed &&
                         result.late == 0;
      if (!holds || seed == 1) Print(scenario, seed, result);
      cr_expect(holds, "%s, seed %llu", scenario.name, static_cast<unsigned long long>(seed));
    }
  }
}

// Guards against a good version that is not done by the deadline. The comparison allows one false
// alarm in a hundred.
Test(rollout_exposure, good_versions_are_done_in_time) {
  const std::vector<Scenario> scenarios = {
      {"large fleet", 195, 150, std::chrono::seconds(30), Good()},
      {"small fleet", 8, 40, std::chrono::seconds(25), Good()},
      {"little traffic", 3, 12, std::chrono::seconds(40), Good()},
      {"controller lost in the canary", 195, 150, std::chrono::seconds(25), Good(),
       std::chrono::seconds(7)},
      {"controller lost in the ramp", 195, 150, std::chrono::seconds(25), Good(),
       std::chrono::seconds(14)},
  };
  int unfinished = 0;
  for (const Scenario& scenario : scenarios) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      RolloutFleet fleet(scenario, seed);
      const Result result = fleet.Run();
      const bool is_done = result.phase == RolloutPhase::kDone;
      if (!is_done || seed == 1) Print(scenario, seed, result);
      if (!is_done) ++unfinished;
    }
  }
  const int runs = kSeeds * static_cast<int>(scenarios.size());
  cr_assert_leq(unfinished, 2, "%d of %d", unfinished, runs);
}
