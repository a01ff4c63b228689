#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>

#include "brittle_fleet.h"

using namespace fulmarpoint;
using namespace fulmarpoint::brittle;

// Guards against brittle engines that crash in series because daemons go on sending what these have
// no room for, and against daemons that leave them idle instead.
Test(brittle_endpoints, overload_does_not_crash_them_in_series) {
  for (const Scenario& scenario :
       {Scenario{8, 4, 8, 3.0}, Scenario{8, 4, 20, 3.0}, Scenario{3, 4, 5, 2.0},
        Scenario{8, 18, 8, 2.0}, Scenario{30, 12, 20, 3.0}, Scenario{6, 4, 8, 1.0}}) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      BrittleFleet fleet(scenario, seed);
      fleet.Run();
      const int allowed = 2 + scenario.engines / 10;
      const double capacity = scenario.engines * kSlots *
                              std::chrono::duration<double>(kRun).count() /
                              std::chrono::duration<double>(kWork).count();
      const double share = fleet.Served() / (std::min(1.0, scenario.load) * capacity);
      cr_expect_leq(fleet.Crashes(), allowed,
                    "%d daemons, %d engines, limit %d, load %.1f, seed %d: %d crashes",
                    scenario.daemons, scenario.engines, scenario.limit, scenario.load,
                    static_cast<int>(seed), fleet.Crashes());
      cr_expect_geq(share, 0.6, "%d daemons, %d engines, limit %d, load %.1f, seed %d: share %.2f",
                    scenario.daemons, scenario.engines, scenario.limit, scenario.load,
                    static_cast<int>(seed), share);
    }
  }
}

// Guards against an engine that counts as brittle for good, and against one that is spared although
// its replies do not say that it is brittle.
Test(brittle_endpoints, a_reply_without_the_statement_ends_it) {
  const auto at = [](int milliseconds) {
    return TimePoint{std::chrono::seconds(1)} + std::chrono::milliseconds(milliseconds);
  };
  RejectionBudget budget;
  cr_assert_not(budget.IsBrittle(at(0)));
  cr_assert(budget.Admits(100, 0, at(0)));
  cr_assert(budget.OnStatement({8, 16, 8, 0}, at(0)));
  cr_assert(budget.IsBrittle(at(0)));
  cr_assert(budget.Admits(1, 0, at(0)), "its share of the slots is two");
  cr_assert_not(budget.Admits(2, 0, at(0)));
  cr_assert(budget.PauseAfterRejection(at(0)) == std::chrono::seconds(2));
  cr_assert_not(budget.OnStatement({std::nullopt, 16, 8, 0}, at(0)), "of the same reply");
  cr_assert_not(budget.OnStatement({std::nullopt, 16, 8, 0}, TimePoint{}), "of no reply yet");
  cr_assert(budget.IsBrittle(at(0)));
  cr_assert(budget.OnStatement({std::nullopt, 16, 8, 0}, at(1)));
  cr_assert_not(budget.IsBrittle(at(1)));
  cr_assert(budget.PauseAfterRejection(at(1)) == Duration::zero());
  cr_assert(budget.OnStatement({0, 16, 8, 0}, at(2)));
  cr_assert(budget.PauseAfterRejection(at(2)) == std::chrono::seconds(5));
  cr_assert_not(budget.IsBrittle(at(5002)), "the statement is old");
}
