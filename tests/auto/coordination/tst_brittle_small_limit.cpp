#include <criterion/criterion.h>

#include "brittle_fleet.h"

using namespace fulmarpoint;
using namespace fulmarpoint::brittle;

// Guards against engines with a small limit that crash in series although each daemon keeps to its
// budget.
Test(brittle_small_limit, a_small_limit_is_kept_by_all_daemons_together) {
  const Scenario scenario{8, 4, 2, 1.0};
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    BrittleFleet fleet(scenario, seed);
    fleet.Run();
    cr_expect_leq(fleet.Crashes(), 2, "seed %d: %d crashes", static_cast<int>(seed),
                  fleet.Crashes());
  }
}
