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

// Guards against a poison part that is found late because requests with it wait long at their
// endpoints: many more crash endpoints while the next crash that counts is awaited.
Test(crash_fleet_known_red, a_poison_part_of_waiting_requests_is_stopped) {
  for (std::uint64_t seed = kSeed; seed < kSeed + kPartSeeds; ++seed) {
    for (const int wait_ms : {1300, 2000}) {
      for (const int interval_ms : {100, 250}) {
        for (const bool loses_domains : {false, true}) {
          PoisonedPartCase test_case{0.5, std::chrono::milliseconds(interval_ms), loses_domains};
          test_case.has_constant_companion = true;
          test_case.time_to_crash = std::chrono::milliseconds(wait_ms);
          test_case.grace_period = std::chrono::seconds(3);
          CrashFleet fleet(seed);
          const int late = LateAttemptsWithPoisonPart(fleet, test_case);
          std::printf(
              "waiting %d ms, interval %d ms, domains %d: crashes %zu, late %d, sent %d, "
              "rejected %d, seed %llu\n",
              wait_ms, interval_ms, loses_domains, fleet.part_crashes.size(), late, fleet.sent,
              fleet.rejected, static_cast<unsigned long long>(seed));
          cr_expect_leq(late, kMaxLateRetries);
          cr_expect_leq(fleet.rejected, static_cast<int>(kMaxRejectedShare * fleet.sent));
        }
      }
    }
  }
}
