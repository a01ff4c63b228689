#include <criterion/criterion.h>

#include <algorithm>
#include <cstdio>

#include "crash_fleet.h"

using namespace fulmarpoint;

// Guards against rejecting harmless requests after the loss of a failure domain, or of several in
// short succession.
Test(crash_fleet, lost_failure_domains_cause_no_quarantines) {
  CrashFleet fleet;
  Fingerprint next_stream = 1'000'000;
  for (int crash = 0; crash < 1000;) {
    SendTraffic(fleet, std::chrono::seconds(7), next_stream);
    const int others = std::uniform_int_distribution<int>(0, 2)(fleet.Generator());
    const int domain = std::uniform_int_distribution<int>(0, 5)(fleet.Generator());
    for (int index = 0; index <= others; ++index, ++crash) {
      fleet.In(std::chrono::milliseconds(3500 + 700 * index),
               [&fleet, domain, index]() { fleet.CrashDomain((domain + index) % kDomains); });
    }
    fleet.RunUntil(fleet.Now() + std::chrono::seconds(12));
  }
  std::printf("sent %d, refused %d, queries %d, quarantines %d, cleared %d, seed %llu\n",
              fleet.sent, fleet.rejected, fleet.queries, fleet.quarantines, fleet.cleared,
              static_cast<unsigned long long>(kSeed));
  cr_assert_gt(fleet.sent, 100'000);
  cr_assert_leq(fleet.rejected, static_cast<int>(kMaxRejectedShare * fleet.sent));
}

// Guards against a poison request that continues to crash endpoints because each daemon detects
// only a part of the crashes.
Test(crash_fleet, a_poison_request_is_stopped_at_all_daemons) {
  CrashFleet fleet;
  Fingerprint next_stream = 1'000'000;
  int worst = 0;
  for (Fingerprint fingerprint = 500; fingerprint < 550; ++fingerprint) {
    SendTraffic(fleet, std::chrono::seconds(20), next_stream);
    fleet.In(std::chrono::seconds(3), [&fleet]() { fleet.CrashDomain(2); });
    for (int retry = 0; retry < 60; ++retry) {
      fleet.In(std::chrono::milliseconds(300 * retry),
               [&fleet, fingerprint]() { fleet.Send(fingerprint, true, kCallTime); });
    }
    fleet.RunUntil(fleet.Now() + std::chrono::seconds(20));
    cr_assert_geq(fleet.crashes[fingerprint].size(), 3);
    const int late = LateRetries(fleet, fingerprint);
    worst = std::max(worst, late);
    cr_assert_leq(late, kMaxLateRetries, "request %llu: %d late retries",
                  static_cast<unsigned long long>(fingerprint), late);
  }
  std::printf("most late retries %d, seed %llu\n", worst, static_cast<unsigned long long>(kSeed));
  cr_assert_leq(fleet.rejected, static_cast<int>(kMaxRejectedShare * fleet.sent));
}

// Guards against requests that share one poison part of their prompts, each of which crashes
// endpoints anew, and against rejecting the harmless requests that share all their other parts.
Test(crash_fleet, requests_with_a_poison_part_are_stopped_and_others_run) {
  for (std::uint64_t seed = kSeed; seed < kSeed + kPartSeeds; ++seed) {
    for (const double share : {0.05, 0.2, 0.5}) {
      for (const int interval_ms : {25, 100, 750}) {
        for (const bool loses_domains : {false, true}) {
          CrashFleet fleet(seed);
          const int late = LateAttemptsWithPoisonPart(
              fleet, {share, std::chrono::milliseconds(interval_ms), loses_domains});
          std::printf(
              "share %.2f, interval %d ms, domains %d: crashes %zu, late %d, sent %d, rejected %d, "
              "interrupted %d, seed %llu\n",
              share, interval_ms, loses_domains, fleet.part_crashes.size(), late, fleet.sent,
              fleet.rejected, fleet.interrupted, static_cast<unsigned long long>(seed));
          cr_expect_leq(late, kMaxLateRetries);
          cr_expect_leq(fleet.rejected, static_cast<int>(kMaxRejectedShare * fleet.sent));
        }
      }
    }
  }
}

// Guards against a poison part that is never found because all requests with it share a second
// part: each explains the crashes of the other, so that neither is quarantined, or each ends the
// quarantine of the other. Harmless requests with the second part alone, which come later, run.
Test(crash_fleet, a_poison_part_with_a_constant_companion_is_stopped) {
  constexpr Duration kContactTime = std::chrono::seconds(3);
  for (std::uint64_t seed = kSeed; seed < kSeed + kPartSeeds; ++seed) {
    for (const double share : {0.05, 0.2, 0.5}) {
      for (const int interval_ms : {25, 100, 750}) {
        PoisonedPartCase test_case{share, std::chrono::milliseconds(interval_ms)};
        test_case.has_constant_companion = true;
        test_case.harmless_companions_from = std::chrono::seconds(15);
        test_case.grace_period = kContactTime;
        CrashFleet fleet(seed);
        const int late = LateAttemptsWithPoisonPart(fleet, test_case);
        std::printf(
            "constant companion, share %.2f, interval %d ms: crashes %zu, late %d, sent %d, "
            "rejected %d, seed %llu\n",
            share, interval_ms, fleet.part_crashes.size(), late, fleet.sent, fleet.rejected,
            static_cast<unsigned long long>(seed));
        cr_expect_leq(late, kMaxLateRetries);
        cr_expect_leq(fleet.rejected, static_cast<int>(kMaxRejectedShare * fleet.sent));
      }
    }
  }
}

// Guards against attributing the loss of one failure domain to parts of the prompts that ran there.
Test(crash_fleet, a_lost_failure_domain_rejects_no_request_with_a_part_that_ran_there) {
  for (std::uint64_t seed = kSeed; seed < kSeed + kPartSeeds; ++seed) {
    CrashFleet fleet(seed);
    Fingerprint next_stream = 1'000'000;
    SendTraffic(fleet, std::chrono::seconds(20), next_stream);
    fleet.In(std::chrono::seconds(2), [&fleet]() { fleet.CrashDomain(1); });
    fleet.In(std::chrono::seconds(9), [&fleet]() { fleet.CrashDomain(4); });
    fleet.RunUntil(fleet.Now() + std::chrono::seconds(25));
    cr_expect_eq(fleet.rejected, 0, "seed %llu: %d", static_cast<unsigned long long>(seed),
                 fleet.rejected);
    cr_expect_eq(fleet.interrupted, 0);
  }
}

// Guards against a quarantine that ends at other daemons before it ends at the owner of the
// fingerprint: each of them would run the request once more.
Test(crash_fleet, a_quarantine_ends_at_its_owner_first) {
  constexpr Fingerprint kCrashing = 500;
  CrashFleet fleet;
  for (int retry = 0; retry < 1200; ++retry) {
    fleet.In(std::chrono::milliseconds(50 * retry),
             [&fleet]() { fleet.Send(kCrashing, true, kCallTime); });
  }
  fleet.RunUntil(fleet.Now() + std::chrono::minutes(1));
  const int late = LateRetries(fleet, kCrashing);
  std::printf("late retries in a minute %d, seed %llu\n", late,
              static_cast<unsigned long long>(kSeed));
  cr_assert_leq(late, kMaxLateRetries);
}

// Guards against a poison request that crashes one endpoint per daemon each time its quarantine
// ends.
Test(crash_fleet, a_poison_request_retried_for_long_crashes_few_endpoints) {
  constexpr Fingerprint kCrashing = 500;
  CrashFleet fleet;
  for (int retry = 0; retry < 600; ++retry) {
    fleet.In(std::chrono::seconds(2 * retry),
             [&fleet]() { fleet.Send(kCrashing, true, kCallTime); });
  }
  fleet.RunUntil(fleet.Now() + std::chrono::minutes(20));
  cr_assert_geq(fleet.crashes[kCrashing].size(), 3);
  const int late = LateRetries(fleet, kCrashing);
  std::printf("late retries in 20 minutes %d, seed %llu\n", late,
              static_cast<unsigned long long>(kSeed));
  cr_assert_leq(late, kMaxLateRetries);
}
