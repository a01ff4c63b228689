#include <criterion/criterion.h>

#include <cstdio>

#include "crash_fleet.h"

using namespace fulmarpoint;

// Guards against requests with a poison part that go on crashing endpoints, from a seed at which
// several of the crashing requests share another part too.
Test(crash_fleet_known_red, requests_with_a_poison_part_are_stopped) {
  constexpr std::uint64_t kFailingSeed = 4151;
  CrashFleet fleet(kFailingSeed);
  const int late = LateAttemptsWithPoisonPart(fleet, {0.2, std::chrono::milliseconds(750), true});
  std::printf("late %d, seed %llu\n", late, static_cast<unsigned long long>(kFailingSeed));
  cr_assert_leq(late, kMaxLateRetries);
}

// Guards against rejecting harmless requests that share the other parts, from a seed at which a
// harmless part is quarantined.
Test(crash_fleet_known_red, harmless_requests_run) {
  constexpr std::uint64_t kFailingSeed = 4167;
  CrashFleet fleet(kFailingSeed);
  LateAttemptsWithPoisonPart(fleet, {0.5, std::chrono::milliseconds(25), true});
  std::printf("rejected %d of %d, seed %llu\n", fleet.rejected, fleet.sent,
              static_cast<unsigned long long>(kFailingSeed));
  cr_assert_leq(fleet.rejected, static_cast<int>(kMaxRejectedShare * fleet.sent));
}
