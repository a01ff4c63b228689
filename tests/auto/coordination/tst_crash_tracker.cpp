#include <criterion/criterion.h>

#include "coordination/crash_tracker.h"
#include "coordination/lost_attempts.h"
#include "coordination/recent_fingerprints.h"

using namespace fulmarpoint;

namespace {

constexpr Fingerprint kRequest = 77;

TimePoint At(int ms) { return TimePoint(std::chrono::hours(1)) + std::chrono::milliseconds(ms); }

CrashTracker::Finding Crash(CrashTracker& ledger, const EndpointId& endpoint, int started_ms,
                            int ended_ms) {
  return ledger.OnCrash({kRequest, endpoint, At(started_ms), At(ended_ms)}, At(ended_ms + 5));
}

}  // namespace

// Guards against a request that goes on to crash endpoints.
Test(crash_ledger, three_crashes_in_series_lead_to_one_inquiry_and_one_verdict) {
  CrashTracker ledger;
  cr_assert_eq(Crash(ledger, "a", 0, 10), CrashTracker::Finding::kNothing);
  cr_assert_eq(Crash(ledger, "b", 20, 30), CrashTracker::Finding::kNothing);
  cr_assert_eq(Crash(ledger, "c", 40, 50), CrashTracker::Finding::kQueryCompletion);
  cr_assert_eq(Crash(ledger, "d", 60, 70), CrashTracker::Finding::kNothing);
  cr_assert(ledger.TakeNewQuarantines(At(100)).empty(), "the daemons have not had time to answer");
  cr_assert_eq(ledger.TakeNewQuarantines(At(600)).size(), 1);
  cr_assert(ledger.TakeNewQuarantines(At(700)).empty());
  cr_assert_eq(Crash(ledger, "e", 800, 810), CrashTracker::Finding::kQuarantined);
}

// Guards against a request that is refused for long because it was blamed wrongly, and one that
// crashes endpoints each time a verdict ends.
Test(crash_ledger, verdicts_hold_longer_each_time) {
  CrashTracker ledger;
  Crash(ledger, "a", 0, 10);
  Crash(ledger, "b", 20, 30);
  Crash(ledger, "c", 40, 50);
  ledger.TakeNewQuarantines(At(600));
  cr_assert_eq(ledger.RemainingQuarantine(kRequest, At(600)), std::chrono::seconds(30));
  cr_assert_eq(Crash(ledger, "d", 30'000, 30'010), CrashTracker::Finding::kQuarantined);
  cr_assert_eq(Crash(ledger, "d", 31'000, 31'010), CrashTracker::Finding::kQuarantinedAgain);
  cr_assert_eq(ledger.RemainingQuarantine(kRequest, At(31'015)), std::chrono::minutes(5));
  cr_assert_eq(Crash(ledger, "d", 400'000, 400'010), CrashTracker::Finding::kQuarantinedAgain);
  cr_assert_eq(ledger.RemainingQuarantine(kRequest, At(400'015)), std::chrono::hours(1));
  cr_assert(ledger.OnCompleted(kRequest), "a completion refutes it");
  cr_assert_eq(ledger.RemainingQuarantine(kRequest, At(400'020)), Duration::zero());
}

// Guards against a request that is blamed for the loss of a failure domain.
Test(crash_ledger, endpoints_that_are_lost_together_count_once) {
  CrashTracker ledger;
  for (const char* endpoint : {"a", "b", "c", "d", "e"}) {
    cr_assert_eq(Crash(ledger, endpoint, 0, 100), CrashTracker::Finding::kNothing, "%s", endpoint);
  }
  cr_assert_eq(Crash(ledger, "f", 110, 120), CrashTracker::Finding::kNothing);
  cr_assert_eq(Crash(ledger, "g", 115, 130), CrashTracker::Finding::kQueryCompletion,
               "the third in series");
}

// Guards against one endpoint that is counted several times.
Test(crash_ledger, an_endpoint_counts_once) {
  CrashTracker ledger;
  for (int crash = 0; crash < 5; ++crash) {
    cr_assert_eq(Crash(ledger, "a", crash * 100, crash * 100 + 50),
                 CrashTracker::Finding::kNothing);
  }
}

// Guards against a request that is refused although endpoints complete it.
Test(crash_ledger, a_completion_ends_the_series) {
  CrashTracker ledger;
  Crash(ledger, "a", 0, 10);
  Crash(ledger, "b", 20, 30);
  cr_assert_eq(Crash(ledger, "c", 40, 50), CrashTracker::Finding::kQueryCompletion);
  cr_assert_eq(*ledger.FirstStarted(kRequest), At(0));
  ledger.OnCompleted(kRequest);
  cr_assert(ledger.TakeNewQuarantines(At(900)).empty());
  cr_assert_eq(Crash(ledger, "d", 1000, 1010), CrashTracker::Finding::kNothing);
}

// Guards against memory that callers choose.
Test(crash_ledger, old_series_make_room) {
  CrashTracker::Options options;
  options.max_fingerprints = 2;
  options.lifetime = std::chrono::seconds(1);
  CrashTracker ledger(options);
  for (Fingerprint fingerprint = 1; fingerprint <= 5; ++fingerprint) {
    ledger.OnCrash({fingerprint, "a", At(0), At(1)}, At(2));
  }
  cr_assert_eq(ledger.Size(), 2);
  ledger.OnCrash({9, "a", At(2000), At(2001)}, At(2002));
  cr_assert_eq(ledger.Size(), 1);
}

// Guards against runs that are blamed although their endpoint goes on, or without proof.
Test(lost_runs, only_runs_of_a_lost_process_are_reported) {
  LostAttempts runs;
  cr_assert(runs.Add({1, "a", At(0), At(10)}));
  cr_assert(runs.Add({2, "a", At(0), At(10)}));
  cr_assert(runs.Add({3, "b", At(0), At(10)}));
  cr_assert(runs.Add({4, "c", At(0), At(10)}));
  cr_assert_not(runs.Add({5, "a", At(0), At(6000)}), "it ran for too long");
  runs.OnAlive("b");
  cr_assert_eq(runs.TakeCrashed("a").size(), 2);
  cr_assert(runs.TakeCrashed("a").empty());
  cr_assert(runs.TakeCrashed("b").empty());
  runs.Forget(At(10 + 15'001));
  cr_assert(runs.TakeCrashed("c").empty());
}

// Guards against a completion that is forgotten because the request came again, and against memory
// that grows with traffic.
Test(recent_fingerprints, the_latest_are_remembered_for_their_lifetime) {
  RecentFingerprints recent(std::chrono::seconds(1), 3);
  recent.Add(1, At(0));
  recent.Add(1, At(900));
  recent.Add(2, At(950));
  cr_assert_eq(*recent.LastSeen(1, At(1500)), At(900));
  cr_assert_not(recent.LastSeen(1, At(1901)));
  recent.Add(3, At(1000));
  cr_assert(recent.LastSeen(1, At(1000)), "only its older entry made room");
  recent.Add(4, At(1001));
  cr_assert_not(recent.LastSeen(1, At(1001)));
  cr_assert_eq(recent.Size(), 3);
}
