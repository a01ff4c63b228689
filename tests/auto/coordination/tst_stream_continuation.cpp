#include <criterion/criterion.h>

#include "coordination/prefill_rate_estimator.h"
#include "coordination/stream_continuation.h"
#include "coordination/stream_registry.h"

using namespace fulmarpoint;

namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};

TimePoint At(int milliseconds) { return kStart + std::chrono::milliseconds(milliseconds); }

StreamContinuation::Limits Limits() {
  return {std::chrono::milliseconds(4500), std::chrono::milliseconds(700), 3, true};
}

StreamContinuation Started() {
  StreamContinuation stream(Limits(), std::nullopt);
  stream.OnAttemptStarted({}, kStart);
  return stream;
}

}  // namespace

// Guards against missing or duplicate events in what the caller receives.
Test(stream_continuation, delivers_each_event_once_and_in_order) {
  StreamContinuation stream = Started();
  cr_assert_eq(stream.OnEvent(1, false, At(10)), EventDisposition::kDeliver);
  cr_assert_eq(stream.OnEvent(2, false, At(20)), EventDisposition::kDeliver);
  cr_assert_eq(stream.OnEvent(2, false, At(30)), EventDisposition::kDuplicate);
  cr_assert_eq(stream.OnEvent(4, false, At(40)), EventDisposition::kGap);
  stream.OnAttemptStarted({}, At(50));
  cr_assert_eq(stream.LastEvent().value_or(0), 2u);
  cr_assert_eq(stream.OnEvent(1, false, At(60)), EventDisposition::kDuplicate);
  cr_assert_eq(stream.OnEvent(3, false, At(70)), EventDisposition::kDeliver);
  cr_assert_eq(stream.LongestGap().count(), Duration(std::chrono::milliseconds(50)).count());
}

// Guards against a resumed stream that repeats events that its caller has.
Test(stream_continuation, continues_after_the_callers_event) {
  StreamContinuation stream(Limits(), 12);
  stream.OnAttemptStarted({}, kStart);
  cr_assert_eq(stream.OnEvent(12, false, At(10)), EventDisposition::kDuplicate);
  cr_assert_eq(stream.OnEvent(13, false, At(10)), EventDisposition::kDeliver);
}

// Guards against an unreachable engine that is detected too late for the route's objective for the
// gap between events.
Test(stream_continuation, a_stalled_attempt_is_abandoned_after_half_the_gap_objective) {
  StreamContinuation stream = Started();
  stream.OnEvent(1, false, At(1000));
  cr_assert_eq(stream.CheckStall({false, true}, At(1349)), StallDecision::kWait);
  cr_assert_eq(stream.CheckStall({false, true}, At(1350)), StallDecision::kAbandon);
  cr_assert(stream.NextStallCheck(At(1000)) == At(1350));
}

// Guards against a stream that ends because no other engine can take it while its engine pauses,
// and against trials to replace the attempt without a pause.
Test(stream_continuation, an_attempt_that_was_not_replaced_goes_on) {
  StreamContinuation stream = Started();
  stream.OnEvent(1, false, At(1000));
  cr_assert_eq(stream.CheckStall({false, true}, At(1350)), StallDecision::kAbandon);
  stream.OnNotReplaced(At(1350));
  cr_assert_neq(stream.CheckStall({false, true}, At(1649)), StallDecision::kAbandon);
  cr_assert_eq(stream.CheckStall({false, true}, At(1650)), StallDecision::kAbandon);
  cr_assert_eq(stream.OnEvent(2, false, At(1700)), EventDisposition::kDeliver);
  stream.OnNotReplaced(At(1700));
  stream.OnAttemptStarted({}, At(1710));
  stream.OnEvent(3, false, At(1720));
  cr_assert_eq(stream.CheckStall({false, true}, At(2070)), StallDecision::kAbandon,
               "the next attempt has its own time");
}

// Guards against an attempt without a backup that is moved because its engine pauses: prefill
// elsewhere takes longer than the pause.
Test(stream_continuation, a_stalled_attempt_without_a_backup_is_probed_first) {
  StreamContinuation stream = Started();
  stream.OnEvent(1, false, At(1000));
  cr_assert_eq(stream.CheckStall({}, At(1400)), StallDecision::kWait);
  cr_assert_eq(stream.CheckStall({true, false}, At(1400)), StallDecision::kProbe);
  cr_assert_eq(stream.CheckStall({}, At(1500)), StallDecision::kProbe);
  stream.OnProbeAnswered(At(1510));
  cr_assert_eq(stream.CheckStall({}, At(1600)), StallDecision::kWait);
  cr_assert_eq(stream.CheckStall({}, At(2400)), StallDecision::kAbandon);
}

// Guards against a repeated prefill because a healthy engine is slower than most: in a large fleet
// each of these costs a retry, and the second attempt is late as well.
Test(stream_continuation, an_attempt_continues_while_another_could_meet_the_objective) {
  StreamContinuation stream(Limits(), std::nullopt);
  const Duration expected = std::chrono::milliseconds(1000);
  stream.OnAttemptStarted({false, expected, expected}, kStart);
  stream.OnProbeAnswered(At(3200));
  cr_assert_eq(stream.CheckStall({}, At(3249)), StallDecision::kWait);
  cr_assert_eq(stream.CheckStall({}, At(3250)), StallDecision::kAbandon);
  cr_assert_eq(stream.CheckStall({true, false}, At(1900)), StallDecision::kAbandon,
               "others have failed there");
}

// Guards against an attempt that is moved, with a second prefill, because its engine is busy.
Test(stream_continuation, the_first_event_timeout_follows_the_estimate) {
  StreamContinuation stream(Limits(), std::nullopt);
  stream.OnAttemptStarted({false, Duration(std::chrono::milliseconds(2500))}, kStart);
  stream.OnProbeAnswered(At(4200));
  cr_assert_eq(stream.CheckStall({}, At(4250)), StallDecision::kWait);
  cr_assert_eq(stream.CheckStall({}, At(4300)), StallDecision::kAbandon);
  StreamContinuation quick(Limits(), std::nullopt);
  quick.OnAttemptStarted({false, Duration(std::chrono::milliseconds(100))}, kStart);
  quick.OnProbeAnswered(At(1750));
  cr_assert_eq(quick.CheckStall({}, At(1790)), StallDecision::kWait);
  cr_assert_eq(quick.CheckStall({}, At(1800)), StallDecision::kAbandon);
}

// Guards against an unreachable engine that is mistaken for one that processes a long prompt.
Test(stream_continuation, a_stall_before_the_first_event_is_probed) {
  StreamContinuation stream = Started();
  cr_assert_eq(stream.CheckStall({}, At(499)), StallDecision::kWait);
  cr_assert_eq(stream.CheckStall({true, false}, At(100)), StallDecision::kProbe);
  cr_assert_eq(stream.CheckStall({}, At(500)), StallDecision::kProbe);
  stream.OnProbeAnswered(At(510));
  cr_assert_eq(stream.CheckStall({}, At(1000)), StallDecision::kWait);
}

// Guards against more attempts than the route allows, and against abandoning the last one.
Test(stream_continuation, the_last_attempt_is_kept) {
  StreamContinuation stream = Started();
  stream.OnAttemptStarted({}, At(0));
  cr_assert(stream.MayStartAttempt());
  stream.OnAttemptStarted({}, At(0));
  cr_assert_not(stream.MayStartAttempt());
  stream.OnEvent(1, false, At(0));
  cr_assert_eq(stream.CheckStall({}, At(20000)), StallDecision::kWait);
  stream.OnAttemptRejected();
  cr_assert(stream.MayStartAttempt(), "an attempt that was refused did not run");
}

// Guards against a stream that may not be resumed and runs twice, or is assembled from two
// attempts.
Test(stream_continuation, only_resumable_streams_have_another_attempt) {
  StreamContinuation::Limits limits = Limits();
  limits.can_resume = false;
  StreamContinuation stream(limits, std::nullopt);
  cr_assert(stream.MayStartAttempt());
  stream.OnAttemptStarted({}, kStart);
  cr_assert_not(stream.MayStartAttempt(), "nothing was delivered, but it may have run");
  cr_assert_eq(stream.CheckStall({true, true}, At(9000)), StallDecision::kWait);
  stream.OnEvent(1, false, At(10));
  cr_assert_not(stream.MayStartAttempt());
  cr_assert_eq(stream.CheckStall({}, At(9000)), StallDecision::kWait);
}

// Guards against a stream that is refused because an engine that has not run it rejected it.
Test(stream_continuation, a_rejected_attempt_may_be_followed_by_another) {
  StreamContinuation::Limits limits = Limits();
  limits.can_resume = false;
  StreamContinuation stream(limits, std::nullopt);
  for (int rejected = 0; rejected < 5; ++rejected) {
    stream.OnAttemptStarted({}, kStart);
    stream.OnAttemptRejected();
    cr_assert(stream.MayStartAttempt());
  }
}

// Guards against estimates without samples, and against short prompts that distort them.
Test(prefill_rate_estimator, learns_from_first_events) {
  PrefillRateEstimator estimator;
  cr_assert_not(estimator.EstimateTimeToFirstEvent(5000).has_value());
  estimator.Observe(10, std::chrono::milliseconds(500));
  cr_assert_not(estimator.EstimateTimeToFirstEvent(5000).has_value());
  for (int sample = 0; sample < 50; ++sample)
    estimator.Observe(5000, std::chrono::milliseconds(1000));
  const Duration expected = estimator.EstimateTimeToFirstEvent(10000).value_or(Duration::zero());
  cr_assert_eq(expected.count(), Duration(std::chrono::milliseconds(2000)).count());
}

// Guards against attempts that send bytes without end but no new events, and against attempts that
// are abandoned because of a comment or a duplicate event.
Test(stream_continuation, unnumbered_and_duplicate_events_are_limited) {
  StreamContinuation continuation(Limits(), std::nullopt);
  continuation.OnAttemptStarted({}, kStart);
  cr_assert_eq(continuation.OnEvent(1, false, At(10)), EventDisposition::kDeliver);
  cr_assert_eq(continuation.OnEvent(1, false, At(700)), EventDisposition::kDuplicate);
  cr_assert_eq(continuation.CheckStall({false, true}, At(710)), StallDecision::kAbandon);
  for (int event = 2; event < 100; ++event) {
    cr_assert_eq(continuation.OnUnnumberedEvent(1000), EventDisposition::kHold);
    cr_assert_eq(continuation.OnEvent(static_cast<std::uint64_t>(event), false, At(event * 10)),
                 EventDisposition::kDeliver);
  }
  int comments = 0;
  while (continuation.OnUnnumberedEvent(100) == EventDisposition::kHold) ++comments;
  cr_assert_lt(comments, 1000);
  int repeated = 0;
  while (continuation.OnEvent(5, false, At(1000)) == EventDisposition::kDuplicate) ++repeated;
  cr_assert_lt(repeated, 1000);
}

// Guards against an event that is delivered although its endpoint broke off within it, and against
// a sound one that is lost because it was held.
Test(stream_continuation, a_doubtful_event_is_delivered_with_the_next) {
  StreamContinuation stream = Started();
  cr_assert_eq(stream.OnEvent(1, false, At(10)), EventDisposition::kDeliver);
  cr_assert_eq(stream.OnEvent(2, true, At(20)), EventDisposition::kDeliverHeld);
  cr_assert_eq(stream.LastEvent().value_or(0), 1u);
  cr_assert_eq(stream.OnEvent(2, false, At(30)), EventDisposition::kDuplicate);
  cr_assert_eq(stream.OnEvent(4, false, At(40)), EventDisposition::kGap);
  stream.OnAttemptStarted({}, At(50));
  cr_assert_eq(stream.OnEvent(2, true, At(60)), EventDisposition::kDeliverHeld);
  cr_assert_eq(stream.OnEvent(3, true, At(70)), EventDisposition::kDeliverHeld);
  cr_assert_eq(stream.LastEvent().value_or(0), 2u);
  stream.OnHeldEventDelivered(At(80));
  cr_assert_eq(stream.LastEvent().value_or(0), 3u);
}

// Guards against a stream that lacks its beginning.
Test(stream_continuation, a_stream_begins_with_event_0_or_1) {
  for (const std::uint64_t first : {0, 1, 2, 500}) {
    StreamContinuation stream = Started();
    const bool is_delivered = stream.OnEvent(first, false, At(10)) == EventDisposition::kDeliver;
    cr_assert_eq(is_delivered, first <= 1);
  }
}

// Guards against a resumed stream that is not placed on the engine that has its prompt cached.
Test(stream_registry, remembers_which_engine_has_a_prompt_cached) {
  StreamRegistry registry;
  const std::uint64_t id = registry.NextId();
  registry.Set(id, {"e1", "e2", 77, 0, 0}, kStart);
  registry.OnPeerStreams({{"e3", "", 78, 0, 0}}, kStart);
  registry.Remove(id);
  cr_assert(registry.FindPromptHolder(77, At(9000)) == "e1");
  cr_assert(registry.FindPromptHolder(78, At(9000)) == "e3");
  cr_assert(registry.FindPromptHolder(79, kStart).empty());
  registry.Forget(At(10000));
  cr_assert(registry.FindPromptHolder(77, At(10000)).empty());
}

// Guards against attempts without a backup that all repeat their prefill at the engine that had no
// room for their backups.
Test(stream_registry, an_engine_without_the_prompt_is_forgotten) {
  StreamRegistry registry;
  registry.Set(registry.NextId(), {"e1", "e2", 77, 0, 0}, kStart);
  registry.ForgetHolder(77, "e2");
  cr_assert(registry.FindPromptHolder(77, At(1)) == "e1");
  registry.ForgetHolder(77, "e1");
  cr_assert(registry.FindPromptHolder(77, At(1)).empty());
}
