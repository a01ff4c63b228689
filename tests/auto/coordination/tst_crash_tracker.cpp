#include <criterion/criterion.h>

#include "coordination/crash_tracker.h"
#include "coordination/lost_attempts.h"
#include "coordination/recent_fingerprints.h"

using namespace fulmarpoint;

namespace {

constexpr Fingerprint kRequest = 77;

TimePoint At(int ms) { return TimePoint(std::chrono::hours(1)) + std::chrono::milliseconds(ms); }

CrashTracker::Finding Crash(CrashTracker& tracker, const EndpointId& endpoint, int started_ms,
                            int ended_ms) {
  return tracker.OnCrash({kRequest, endpoint, At(started_ms), At(ended_ms)}, At(ended_ms + 5));
}

}  // namespace

// Guards against a poison request that continues to crash endpoints.
Test(crash_tracker, three_consecutive_crashes_lead_to_one_query_and_one_quarantine) {
  CrashTracker tracker;
  cr_assert_eq(Crash(tracker, "a", 0, 10), CrashTracker::Finding::kNothing);
  cr_assert_eq(Crash(tracker, "b", 20, 30), CrashTracker::Finding::kNothing);
  cr_assert_eq(Crash(tracker, "c", 40, 50), CrashTracker::Finding::kQueryCompletion);
  cr_assert_eq(Crash(tracker, "d", 60, 70), CrashTracker::Finding::kNothing);
  cr_assert(tracker.TakeNewQuarantines(At(100)).empty(), "the daemons have not had time to answer");
  cr_assert_eq(tracker.TakeNewQuarantines(At(600)).size(), 1);
  cr_assert(tracker.TakeNewQuarantines(At(700)).empty());
  cr_assert_eq(Crash(tracker, "e", 800, 810), CrashTracker::Finding::kQuarantined);
}

// Guards against a long quarantine of a request that crashes no endpoints, and against a poison
// request that crashes an endpoint each time its quarantine ends.
Test(crash_tracker, each_quarantine_lasts_longer) {
  CrashTracker tracker;
  Crash(tracker, "a", 0, 10);
  Crash(tracker, "b", 20, 30);
  Crash(tracker, "c", 40, 50);
  tracker.TakeNewQuarantines(At(600));
  cr_assert_eq(tracker.RemainingQuarantine(kRequest, At(600)), std::chrono::seconds(30));
  cr_assert_eq(Crash(tracker, "d", 30'000, 30'010), CrashTracker::Finding::kQuarantined);
  cr_assert_eq(Crash(tracker, "d", 31'000, 31'010), CrashTracker::Finding::kQuarantinedAgain);
  cr_assert_eq(tracker.RemainingQuarantine(kRequest, At(31'015)), std::chrono::minutes(5));
  cr_assert_eq(Crash(tracker, "d", 400'000, 400'010), CrashTracker::Finding::kQuarantinedAgain);
  cr_assert_eq(tracker.RemainingQuarantine(kRequest, At(400'015)), std::chrono::hours(1));
  cr_assert(tracker.OnCompleted(kRequest), "a completion ends the quarantine");
  cr_assert_eq(tracker.RemainingQuarantine(kRequest, At(400'020)), Duration::zero());
}

// Guards against attributing the loss of a failure domain to a request.
Test(crash_tracker, endpoints_that_are_lost_together_count_once) {
  CrashTracker tracker;
  for (const char* endpoint : {"a", "b", "c", "d", "e"}) {
    cr_assert_eq(Crash(tracker, endpoint, 0, 100), CrashTracker::Finding::kNothing, "%s", endpoint);
  }
  cr_assert_eq(Crash(tracker, "f", 110, 120), CrashTracker::Finding::kNothing);
  cr_assert_eq(Crash(tracker, "g", 115, 130), CrashTracker::Finding::kQueryCompletion,
               "the third consecutive crash");
}

// Guards against counting an endpoint that crashes repeatedly as several.
Test(crash_tracker, an_endpoint_counts_once) {
  CrashTracker tracker;
  for (int crash = 0; crash < 5; ++crash) {
    cr_assert_eq(Crash(tracker, "a", crash * 100, crash * 100 + 50),
                 CrashTracker::Finding::kNothing);
  }
}

// Guards against rejecting a request that endpoints complete.
Test(crash_tracker, a_completion_clears_the_fingerprint) {
  CrashTracker tracker;
  Crash(tracker, "a", 0, 10);
  Crash(tracker, "b", 20, 30);
  cr_assert_eq(Crash(tracker, "c", 40, 50), CrashTracker::Finding::kQueryCompletion);
  cr_assert_eq(*tracker.FirstStarted(kRequest), At(0));
  tracker.OnCompleted(kRequest);
  cr_assert(tracker.TakeNewQuarantines(At(900)).empty());
  cr_assert_eq(Crash(tracker, "d", 1000, 1010), CrashTracker::Finding::kNothing);
}

// Guards against memory use that callers control.
Test(crash_tracker, old_fingerprints_are_forgotten) {
  CrashTracker::Options options;
  options.max_fingerprints = 2;
  options.lifetime = std::chrono::seconds(1);
  CrashTracker tracker(options);
  for (Fingerprint fingerprint = 1; fingerprint <= 5; ++fingerprint) {
    tracker.OnCrash({fingerprint, "a", At(0), At(1)}, At(2));
  }
  cr_assert_eq(tracker.Size(), 2);
  tracker.OnCrash({9, "a", At(2000), At(2001)}, At(2002));
  cr_assert_eq(tracker.Size(), 1);
}

// Guards against attributing crashes to attempts whose endpoint still runs or whose endpoint's
// crash was not confirmed.
Test(lost_attempts, only_attempts_at_a_crashed_endpoint_are_reported) {
  LostAttempts attempts;
  cr_assert(attempts.Add({1, "a", At(0), At(10)}));
  cr_assert(attempts.Add({2, "a", At(0), At(10)}));
  cr_assert(attempts.Add({3, "b", At(0), At(10)}));
  cr_assert(attempts.Add({4, "c", At(0), At(10)}));
  cr_assert_not(attempts.Add({5, "a", At(0), At(6000)}), "it ran for too long");
  attempts.OnAlive("b");
  cr_assert_eq(attempts.TakeCrashed("a").size(), 2);
  cr_assert(attempts.TakeCrashed("a").empty());
  cr_assert(attempts.TakeCrashed("b").empty());
  attempts.Forget(At(10 + 15'001));
  cr_assert(attempts.TakeCrashed("c").empty());
}

// Guards against losing a completion because the same request completed again, and against memory
// that grows with traffic.
Test(recent_fingerprints, the_latest_are_kept_for_their_lifetime) {
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
