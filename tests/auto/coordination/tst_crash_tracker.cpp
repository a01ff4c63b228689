#include <criterion/criterion.h>

#include <string>
#include <utility>
#include <vector>

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

constexpr Fingerprint kPoisonPart = 900;
constexpr Fingerprint kSharedPart = 901;

/// Counts a crash of `request`, whose prompt has `part` and `companions`. Its own part is
/// `request`.
CrashTracker::Finding PartCrash(CrashTracker& tracker, Fingerprint part, Fingerprint request,
                                std::vector<Fingerprint> companions, int number) {
  CrashedAttempt attempt;
  attempt.fingerprint = part;
  attempt.endpoint = "e-" + std::to_string(number);
  attempt.started = At(number * 100);
  attempt.ended = At(number * 100 + 50);
  attempt.request = request;
  attempt.companions = std::move(companions);
  attempt.companions.push_back(request);
  return tracker.OnCrash(attempt, At(number * 100 + 55));
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
  cr_assert_eq(*tracker.ClearedSince(kRequest), At(0));
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

// Guards against requests that differ as a whole and share a poison part.
Test(crash_tracker, a_part_that_crashing_requests_have_in_common_is_quarantined) {
  CrashTracker tracker;
  cr_assert_eq(PartCrash(tracker, kPoisonPart, 1, {11}, 0), CrashTracker::Finding::kNothing);
  cr_assert_eq(PartCrash(tracker, kPoisonPart, 1, {11}, 1), CrashTracker::Finding::kNothing);
  cr_assert_eq(PartCrash(tracker, kPoisonPart, 2, {12}, 2), CrashTracker::Finding::kNothing);
  cr_assert_eq(PartCrash(tracker, kPoisonPart, 2, {12}, 3),
               CrashTracker::Finding::kQueryCompletion);
  cr_assert_eq(tracker.QueriedFingerprints(kPoisonPart).size(), 1u, "no part explains the crashes");
  cr_assert_eq(tracker.TakeNewQuarantines(At(1000)).size(), 1u);
}

// Guards against quarantining the parts of a single poison request, which harmless ones share.
Test(crash_tracker, parts_of_a_single_crashing_request_are_not_quarantined) {
  CrashTracker tracker;
  for (int crash = 0; crash < 8; ++crash) {
    cr_assert_eq(PartCrash(tracker, kSharedPart, 1, {11}, crash), CrashTracker::Finding::kNothing);
  }
}

// Guards against quarantining a part that harmless requests share with poison ones.
Test(crash_tracker, a_part_is_not_quarantined_while_another_explains_its_crashes) {
  CrashTracker tracker;
  for (int crash = 0; crash < 3; ++crash) {
    const Fingerprint request = static_cast<Fingerprint>(crash + 1);
    PartCrash(tracker, kSharedPart, request, {kPoisonPart}, crash);
  }
  cr_assert_eq(PartCrash(tracker, kSharedPart, 4, {kPoisonPart}, 3),
               CrashTracker::Finding::kQueryCompletion);
  cr_assert(tracker.QueriedFingerprints(kSharedPart) ==
            std::vector<Fingerprint>({kSharedPart, kPoisonPart}));
  cr_assert(tracker.TakeNewQuarantines(At(1000)).empty(), "either may be the cause");
  cr_assert_eq(PartCrash(tracker, kSharedPart, 5, {kPoisonPart}, 20),
               CrashTracker::Finding::kQueryCompletion);
  tracker.OnCompleted(kPoisonPart);
  cr_assert_eq(tracker.TakeNewQuarantines(At(3000)).size(), 1u, "the other part is harmless");
}

// Guards against two parts that all crashing requests have, neither of which is ever quarantined,
// and against rejecting harmless requests with one of them.
Test(crash_tracker, parts_that_always_come_together_are_quarantined_together) {
  CrashTracker tracker;
  for (int crash = 0; crash < 5; ++crash) {
    const Fingerprint request = static_cast<Fingerprint>(crash + 1);
    PartCrash(tracker, kPoisonPart, request, {kSharedPart}, crash);
  }
  cr_assert_eq(tracker.TakeNewQuarantines(At(1000)).size(), 1u);
  cr_assert(tracker.QuarantineCompanions(kPoisonPart) == std::vector<Fingerprint>({kSharedPart}));
  cr_assert(tracker.OnPoisonFound(kRequest).empty(),
            "another request explains none of the crashes");
}

// Guards against a quarantine that stays limited to requests with a second part although requests
// without it crash endpoints too.
Test(crash_tracker, a_joint_quarantine_widens_when_a_request_without_a_companion_crashes) {
  CrashTracker tracker;
  for (int crash = 0; crash < 5; ++crash) {
    const Fingerprint request = static_cast<Fingerprint>(crash + 1);
    PartCrash(tracker, kPoisonPart, request, {kSharedPart}, crash);
  }
  tracker.TakeNewQuarantines(At(1000));
  for (int crash = 20; crash < 24; ++crash) {
    const Fingerprint request = static_cast<Fingerprint>(crash + 1);
    PartCrash(tracker, kPoisonPart, request, {11}, crash);
  }
  cr_assert(tracker.TakeNewQuarantines(At(3000)).empty(), "the other part may be the cause");
  cr_assert_eq(PartCrash(tracker, kPoisonPart, 30, {11}, 40),
               CrashTracker::Finding::kQueryCompletion);
  cr_assert_eq(tracker.TakeNewQuarantines(At(5000)).size(), 1u);
  cr_assert(tracker.QuarantineCompanions(kPoisonPart).empty(), "no other part is in all series");
}

// Guards against a part that stays quarantined although the cause has been found.
Test(crash_tracker, the_quarantine_of_an_explained_part_ends) {
  CrashTracker tracker;
  for (int crash = 0; crash < 4; ++crash) {
    const Fingerprint request = static_cast<Fingerprint>(crash + 1);
    const bool has_poison = crash % 2 == 0;
    PartCrash(tracker, kSharedPart, request,
              has_poison ? std::vector<Fingerprint>{kPoisonPart} : std::vector<Fingerprint>{},
              crash);
  }
  cr_assert_eq(tracker.TakeNewQuarantines(At(1000)).size(), 1u);
  cr_assert_eq(tracker.OnPoisonFound(kPoisonPart).size(), 1u);
  cr_assert_eq(tracker.RemainingQuarantine(kSharedPart, At(1000)), Duration::zero());
}

// Guards against suspecting streams that were running when another request crashed their engine.
Test(lost_attempts, a_stream_that_has_run_is_no_suspect) {
  LostAttempts attempts;
  LostAttempt attempt;
  attempt.endpoint = "a";
  attempt.started = At(0);
  attempt.ended = At(2000);
  attempt.first_event = At(1500);
  cr_assert(attempts.Add(attempt), "it had just begun to run");
  attempt.first_event = At(900);
  cr_assert_not(attempts.Add(attempt));
}

// Guards against taking a restarted endpoint for the process that crashed.
Test(lost_attempts, attempts_belong_to_one_process) {
  LostAttempts attempts;
  LostAttempt attempt;
  attempt.endpoint = "a";
  attempt.incarnation = 1;
  cr_assert(attempts.Add(attempt));
  attempt.incarnation = 2;
  cr_assert(attempts.Add(attempt));
  cr_assert_eq(attempts.Processes().size(), 2u);
  cr_assert_eq(attempts.TakeCrashed(EndpointProcess{"a", 1}).size(), 1u);
  cr_assert_eq(attempts.Processes().size(), 1u);
}

// Guards against a daemon that becomes the owner of a quarantined request and counts anew.
Test(crash_tracker, a_published_quarantine_is_continued) {
  CrashTracker tracker;
  const QuarantineRecord record =
      QuarantineRecord::Of(kRequest, 1, std::chrono::seconds(30), Duration::zero());
  tracker.OnPublished(record, At(0));
  cr_assert_eq(Crash(tracker, "a", 10'000, 10'010), CrashTracker::Finding::kQuarantined);
  cr_assert_eq(Crash(tracker, "b", 31'000, 31'010), CrashTracker::Finding::kQuarantinedAgain);
  cr_assert_eq(tracker.RemainingQuarantine(kRequest, At(31'015)), std::chrono::minutes(5));
  tracker.OnPublished(record, At(31'020));
  cr_assert_eq(tracker.QuarantineCount(kRequest), 2u, "an earlier one is ignored");
  tracker.OnCleared(kRequest);
  cr_assert_eq(Crash(tracker, "c", 40'000, 40'010), CrashTracker::Finding::kNothing);
}

// Guards against a part that is quarantined again without a query, or with more requests than
// before, by a daemon that has become its owner.
Test(crash_tracker, a_published_quarantine_of_a_part_is_continued) {
  CrashTracker tracker;
  QuarantineRecord record =
      QuarantineRecord::Of(kPoisonPart, 1, std::chrono::seconds(30), Duration::zero());
  record.companions = {kSharedPart};
  tracker.OnPublished(record, At(0));
  cr_assert_eq(PartCrash(tracker, kPoisonPart, 1, {kSharedPart}, 310),
               CrashTracker::Finding::kQueryCompletion);
  cr_assert(tracker.ClearedSince(kPoisonPart) <= At(30'000), "completions since then clear it");
  cr_assert_eq(tracker.TakeNewQuarantines(At(32'000)).size(), 1u);
  cr_assert(tracker.QuarantineCompanions(kPoisonPart) == std::vector<Fingerprint>{kSharedPart});
  cr_assert_eq(tracker.QuarantineCount(kPoisonPart), 2u);
  cr_assert_eq(PartCrash(tracker, kPoisonPart, 2, {}, 330), CrashTracker::Finding::kNothing,
               "a request without the shared part was not in the quarantine");
}
