#include <criterion/criterion.h>

#include "coordination/endpoint_ramp.h"

using namespace fulmarpoint;

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr double kUsual = 1.0;
constexpr double kSlow = 3.0;
constexpr RampConditions kTenDaemons{16, 10, true, 0.0};

TimePoint At(int milliseconds) { return kStart + std::chrono::milliseconds(milliseconds); }

int LimitAt(const EndpointRamp& ramp, int milliseconds,
            const RampConditions& conditions = kTenDaemons) {
  const std::optional<int> limit = ramp.Limit(conditions, At(milliseconds));
  cr_assert(limit.has_value(), "limited after %d ms", milliseconds);
  return *limit;
}

bool IsLimited(const EndpointRamp& ramp, int milliseconds,
               const RampConditions& conditions = kTenDaemons) {
  return ramp.Limit(conditions, At(milliseconds)).has_value();
}

EndpointRamp Started() {
  EndpointRamp ramp;
  ramp.OnStarted(kStart);
  return ramp;
}

}  // namespace

// Guards against limits on endpoints that have neither started nor failed.
Test(endpoint_ramp, a_steady_endpoint_is_not_limited) {
  EndpointRamp ramp;
  ramp.OnReply(kSlow, At(0));
  ramp.OnRejected(At(0));
  cr_assert_not(IsLimited(ramp, 0));
  cr_assert(ramp.MayTake(1000, kTenDaemons, At(0)));
}

// Guards against a limit that stays while replies are good, and one that is full at once.
Test(endpoint_ramp, good_replies_raise_the_limit_until_it_is_the_full_share) {
  EndpointRamp ramp = Started();
  cr_assert_eq(LimitAt(ramp, 0), 1);
  ramp.OnReply(kUsual, At(100));
  cr_assert_eq(LimitAt(ramp, 100), 2);
  ramp.OnReply(kUsual, At(200));
  cr_assert_eq(LimitAt(ramp, 200), 3);
  ramp.OnReply(kUsual, At(210));
  cr_assert_not(IsLimited(ramp, 210), "twice the even share of 16 slots");
  const RampConditions alone{16, 1, true, 0.0};
  cr_assert_eq(LimitAt(ramp, 210, alone), 4);
}

// Guards against more load on an endpoint whose replies show that it has too much.
Test(endpoint_ramp, slow_replies_and_rejections_halve_the_limit) {
  const RampConditions alone{64, 1, true, 0.0};
  EndpointRamp ramp = Started();
  for (int i = 0; i < 7; ++i) ramp.OnReply(kUsual, At(100));
  cr_assert_eq(LimitAt(ramp, 100, alone), 8);
  ramp.OnReply(kSlow, At(200));
  cr_assert_eq(LimitAt(ramp, 200, alone), 4);
  ramp.OnRejected(At(200));
  cr_assert_eq(LimitAt(ramp, 200, alone), 2);
  for (int i = 0; i < 5; ++i) ramp.OnReply(kSlow, At(300));
  cr_assert_eq(LimitAt(ramp, 300, alone), 1);
}

// Guards against a machine of a slower kind that is held back although it has no queue.
Test(endpoint_ramp, an_endpoint_slower_by_its_kind_is_not_overloaded) {
  EndpointRamp ramp = Started();
  ramp.OnReply(1.6, At(100));
  cr_assert_eq(LimitAt(ramp, 100), 2);
}

// Guards against endpoints that answer well and wait longer than 2 s.
Test(endpoint_ramp, the_ramp_ends_in_time_if_most_replies_are_good) {
  const RampConditions alone{64, 1, true, 0.0};
  EndpointRamp ramp = Started();
  ramp.OnReply(kUsual, At(100));
  ramp.OnReply(kSlow, At(900));
  cr_assert(IsLimited(ramp, 1999, alone));
  cr_assert_not(IsLimited(ramp, 2000, alone));
  cr_assert_eq(ramp.Phase(At(2000)), RampPhase::kSteady);
  ramp.OnReply(kSlow, At(2100));
  cr_assert_not(IsLimited(ramp, 2100, alone), "a later slow reply does not restart it");
}

// Guards against the full share for an endpoint that has not replied, and against a limit on a
// daemon that had no request for the endpoint in time.
Test(endpoint_ramp, an_unanswered_request_keeps_the_limit) {
  EndpointRamp ramp = Started();
  ramp.OnSent(At(100));
  cr_assert_eq(LimitAt(ramp, 60'000), 1);
  ramp.OnReply(kUsual, At(60'000));
  cr_assert_not(IsLimited(ramp, 60'000));
  EndpointRamp untried = Started();
  cr_assert_not(IsLimited(untried, 2000));
  untried.OnSent(At(2000));
  cr_assert_not(IsLimited(untried, 2001));
}

// Guards against a slow endpoint that is limited for ever.
Test(endpoint_ramp, the_ramp_ends_at_an_endpoint_that_stays_slow) {
  EndpointRamp ramp = Started();
  for (int at = 100; at < 10'000; at += 100) ramp.OnReply(kSlow, At(at));
  cr_assert_eq(LimitAt(ramp, 9'999), 1);
  cr_assert_not(IsLimited(ramp, 10'000));
}

// Guards against an early slow time that outweighs later good replies.
Test(endpoint_ramp, replies_are_judged_anew_after_a_slow_time) {
  const RampConditions alone{64, 1, true, 0.0};
  EndpointRamp ramp = Started();
  for (int at = 100; at < 2'000; at += 100) ramp.OnReply(kSlow, At(at));
  for (int at = 2'000; at < 4'000; at += 500) ramp.OnReply(kUsual, At(at));
  cr_assert(IsLimited(ramp, 3'999, alone));
  cr_assert_not(IsLimited(ramp, 4'000, alone));
}

// Guards against several requests, or none, at an endpoint that may still be down.
Test(endpoint_ramp, a_failed_endpoint_gets_single_probes) {
  EndpointRamp ramp;
  ramp.OnFailed(At(0));
  ramp.OnFailed(At(10));
  cr_assert_eq(LimitAt(ramp, 199), 0);
  cr_assert(ramp.MayProbe(At(200)), "requests that fail together count as one failure");
  cr_assert(ramp.MayTake(5, kTenDaemons, At(200)), "earlier requests do not delay the probe");
  ramp.OnSent(At(200));
  cr_assert_not(ramp.MayProbe(At(201)));
  cr_assert(ramp.MayProbe(At(2200)), "a probe without a result does not block the next");
  ramp.OnFailed(At(300));
  cr_assert_not(ramp.MayProbe(At(699)));
  cr_assert(ramp.MayProbe(At(700)));
  ramp.OnSent(At(700));
  ramp.OnReply(kUsual, At(800));
  cr_assert_eq(ramp.Phase(At(800)), RampPhase::kRamping);
  cr_assert_eq(LimitAt(ramp, 800), 2);
  cr_assert_not(ramp.MayTake(2, kTenDaemons, At(800)));
}

// Guards against ever longer pauses, and against a flapping endpoint that counts as recovered.
Test(endpoint_ramp, probes_are_delayed_more_until_a_ramp_has_ended) {
  EndpointRamp ramp;
  int at = 0;
  for (const int delay : {200, 400, 800, 1600, 1600}) {
    ramp.OnFailed(At(at));
    cr_assert_not(ramp.MayProbe(At(at + delay - 1)));
    cr_assert(ramp.MayProbe(At(at + delay)));
    at += delay;
    ramp.OnSent(At(at));
    ramp.OnReply(kUsual, At(at));
  }
  at += 2'000;
  ramp.OnFailed(At(at));
  cr_assert(ramp.MayProbe(At(at + 200)));
}

// Guards against idle endpoints after most of them have returned together.
Test(endpoint_ramp, the_limit_does_not_apply_if_most_endpoints_have_returned) {
  const RampConditions half{16, 10, true, 0.5};
  const RampConditions most{16, 10, true, 0.6};
  EndpointRamp ramp = Started();
  cr_assert_eq(LimitAt(ramp, 0, half), 1);
  cr_assert_not(IsLimited(ramp, 0, most));
  ramp.OnFailed(At(0));
  cr_assert_eq(LimitAt(ramp, 1, half), 0);
  cr_assert_eq(LimitAt(ramp, 1, most), 1);
  ramp.OnSent(At(1));
  cr_assert_eq(LimitAt(ramp, 2, most), 0);
}

// Guards against a start that is tested by all daemons of a large fleet at once.
Test(endpoint_ramp, daemons_far_from_the_endpoint_wait) {
  const RampConditions far{16, 10, false, 0.0};
  EndpointRamp ramp = Started();
  cr_assert_eq(LimitAt(ramp, 1'999, far), 0);
  cr_assert_eq(LimitAt(ramp, 2'000, far), 1);
  ramp.OnSent(At(2'000));
  ramp.OnReply(kUsual, At(2'100));
  cr_assert_not(IsLimited(ramp, 2'100, far));
}
