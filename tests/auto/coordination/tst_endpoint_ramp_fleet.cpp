#include <criterion/criterion.h>
#include <criterion/logging.h>

#include <algorithm>
#include <array>
#include <string>

#include "ramp_fleet.h"

using namespace fulmarpoint;

namespace {

constexpr std::uint64_t kSeeds = 40;
constexpr Duration kOutageStart = std::chrono::seconds(1);
constexpr Duration kOutageEnd = std::chrono::seconds(3);

enum class Policy { kNone, kFixed, kDoubling, kGradient, kRamp, kRampWithoutExemption };

inline constexpr std::array<EnumName<Policy>, 6> kPolicyNames = {{
    {Policy::kNone, "none"},
    {Policy::kFixed, "fixed"},
    {Policy::kDoubling, "doubling"},
    {Policy::kGradient, "gradient"},
    {Policy::kRamp, "ramp"},
    {Policy::kRampWithoutExemption, "ramp without exemption"},
}};

RampPolicy Make(Policy policy) {
  switch (policy) {
    case Policy::kNone:
      return NoRamp();
    case Policy::kFixed:
      return FixedRamp();
    case Policy::kDoubling:
      return DoublingRamp();
    case Policy::kGradient:
      return GradientRamp();
    case Policy::kRamp:
      return EndpointRamp();
    case Policy::kRampWithoutExemption:
      break;
  }
  EndpointRamp::Options options;
  options.max_returned_share = 1.0;
  return EndpointRamp(options);
}

/// Returns the sum over all seeds, and the highest `unproven` and `last_limited_after` of a seed.
RampFleetResult Run(RampFleetOptions options, Policy policy, const char* scenario) {
  options.policy = Make(policy);
  RampFleetResult sum;
  for (options.seed = 1; options.seed <= kSeeds; ++options.seed) {
    const RampFleetResult result = RunRampFleet(options);
    sum.requests += result.requests;
    sum.on_time += result.on_time;
    sum.late += result.late;
    sum.failed += result.failed;
    sum.first_engine_on_time += result.first_engine_on_time;
    sum.unproven = std::max(sum.unproven, result.unproven);
    sum.last_limited_after = std::max(sum.last_limited_after, result.last_limited_after);
  }
  const std::string name(NameOf(kPolicyNames, policy));
  cr_log_info(
      "%s, %s: %d requests, %d on time, %d late, %d failed, %d on time at engine 0, %d unproven, "
      "last limited after %lld ms",
      scenario, name.c_str(), sum.requests, sum.on_time, sum.late, sum.failed,
      sum.first_engine_on_time, sum.unproven,
      static_cast<long long>(sum.last_limited_after.count() / 1000));
  return sum;
}

bool IsOutage(Duration at) { return at >= kOutageStart && at < kOutageEnd; }

/// Engine 0 is down for some time and returns in good condition.
RampFleetOptions Restart() {
  RampFleetOptions options;
  options.condition = [](int engine, Duration at) {
    return EngineCondition{!(engine == 0 && IsOutage(at)), 1.0, false};
  };
  return options;
}

/// As `Restart`, with engines fast enough that all replies are good.
RampFleetOptions GoodRestart() {
  RampFleetOptions options;
  options.condition = [](int engine, Duration at) {
    return EngineCondition{!(engine == 0 && IsOutage(at)), 0.3, false};
  };
  return options;
}

/// Engine 0 takes 1.6 times as long as usual for 10 s after its start.
RampFleetOptions SlowStart() {
  RampFleetOptions options;
  options.length = std::chrono::seconds(14);
  options.condition = [](int engine, Duration at) {
    const bool is_slow =
        engine == 0 && at >= kOutageEnd && at < kOutageEnd + std::chrono::seconds(10);
    return EngineCondition{!(engine == 0 && IsOutage(at)), is_slow ? 1.6 : 1.0, false};
  };
  return options;
}

/// Engine 0 crashes and returns with an empty cache.
RampFleetOptions ColdCache() {
  RampFleetOptions options = Restart();
  options.cold_prompts = 40;
  return options;
}

/// Engine 0 is unreachable every other second.
RampFleetOptions Flap() {
  RampFleetOptions options;
  options.restarts = false;
  options.condition = [](int engine, Duration at) {
    const bool is_down = engine == 0 && at / std::chrono::seconds(1) % 2 == 1;
    return EngineCondition{!is_down, 1.0, false};
  };
  return options;
}

/// Engine 0 can be reached but replies to everything with errors.
RampFleetOptions ErrorReplies() {
  RampFleetOptions options;
  options.condition = [](int engine, Duration at) {
    const bool has_returned = engine == 0 && at >= kOutageEnd;
    return EngineCondition{!(engine == 0 && IsOutage(at)), 1.0, has_returned};
  };
  return options;
}

/// Nine tenths of the engines return together.
RampFleetOptions MostReturn(int daemons, bool restarts) {
  RampFleetOptions options;
  options.daemons = daemons;
  options.engines = 20;
  options.requests_per_second = 200;
  options.restarts = restarts;
  options.condition = [](int engine, Duration at) {
    return EngineCondition{!(engine < 18 && IsOutage(at)), 1.0, false};
  };
  return options;
}

}  // namespace

// Guards against callers that queue at an engine which is slow after its start, and against a limit
// that leaves it idle.
Test(endpoint_ramp_fleet, an_engine_that_starts_slowly_gets_what_it_can_process) {
  const RampFleetResult none = Run(SlowStart(), Policy::kNone, "slow start");
  const RampFleetResult ramp = Run(SlowStart(), Policy::kRamp, "slow start");
  const RampFleetResult fixed = Run(SlowStart(), Policy::kFixed, "slow start");
  Run(SlowStart(), Policy::kDoubling, "slow start");
  Run(SlowStart(), Policy::kGradient, "slow start");
  cr_assert_leq(ramp.late * 100, none.late * 88);
  cr_assert_leq(ramp.late * 100, fixed.late * 88, "time alone does not show what it can process");
  cr_assert_gt(ramp.on_time, none.on_time);
  cr_assert_geq(ramp.first_engine_on_time, none.first_engine_on_time, "it is not left idle");
}

// Guards against a burst at an engine that must process all prompts from the beginning.
Test(endpoint_ramp_fleet, an_engine_with_an_empty_cache_gets_few_unproven_requests) {
  const RampFleetResult none = Run(ColdCache(), Policy::kNone, "cold cache");
  const RampFleetResult ramp = Run(ColdCache(), Policy::kRamp, "cold cache");
  const RampFleetResult fixed = Run(ColdCache(), Policy::kFixed, "cold cache");
  Run(ColdCache(), Policy::kDoubling, "cold cache");
  Run(ColdCache(), Policy::kGradient, "cold cache");
  cr_assert_leq(ramp.unproven, 10, "one of each daemon");
  cr_assert_gt(none.unproven, 10);
  cr_assert_gt(ramp.on_time, none.on_time);
  cr_assert_gt(ramp.on_time, fixed.on_time);
  cr_assert_lt(ramp.late, none.late);
}

// Guards against requests lost at each interruption of an engine that returns repeatedly.
Test(endpoint_ramp_fleet, an_engine_that_flaps_fails_fewer_requests) {
  const RampFleetResult none = Run(Flap(), Policy::kNone, "flap");
  const RampFleetResult ramp = Run(Flap(), Policy::kRamp, "flap");
  Run(Flap(), Policy::kFixed, "flap");
  Run(Flap(), Policy::kDoubling, "flap");
  Run(Flap(), Policy::kGradient, "flap");
  cr_assert_leq(ramp.failed * 10, none.failed * 8);
  cr_assert_gt(ramp.on_time, none.on_time);
}

// Guards against an engine that attracts most requests because it fails them at once.
Test(endpoint_ramp_fleet, an_engine_that_replies_errors_gets_only_probes) {
  const RampFleetResult none = Run(ErrorReplies(), Policy::kNone, "error replies");
  const RampFleetResult ramp = Run(ErrorReplies(), Policy::kRamp, "error replies");
  const RampFleetResult gradient = Run(ErrorReplies(), Policy::kGradient, "error replies");
  Run(ErrorReplies(), Policy::kFixed, "error replies");
  Run(ErrorReplies(), Policy::kDoubling, "error replies");
  cr_assert_leq(ramp.failed * 4, none.failed);
  cr_assert_leq(ramp.failed * 4, gradient.failed, "few are in progress, so no limit on them helps");
  cr_assert_geq(ramp.on_time * 2, none.on_time * 3);
}

// Guards against a ramp that is the bottleneck while nearly all engines return together.
Test(endpoint_ramp_fleet, engines_that_restart_together_are_not_held_back) {
  for (const int daemons : {1, 2, 6, 10}) {
    const RampFleetOptions options = MostReturn(daemons, true);
    const RampFleetResult none = Run(options, Policy::kNone, "most restart");
    const RampFleetResult ramp = Run(options, Policy::kRamp, "most restart");
    const RampFleetResult limited = Run(options, Policy::kRampWithoutExemption, "most restart");
    cr_assert_geq(ramp.on_time, none.on_time, "%d daemons", daemons);
    if (daemons == 1) cr_assert_gt(ramp.on_time, limited.on_time);
  }
}

// Guards against the same where the engines have failed requests, so that each is probed before it
// gets more than one.
Test(endpoint_ramp_fleet, engines_that_recover_together_wait_for_one_probe_only) {
  for (const int daemons : {1, 2, 6, 10}) {
    const RampFleetOptions options = MostReturn(daemons, false);
    const RampFleetResult none = Run(options, Policy::kNone, "most recover");
    const RampFleetResult ramp = Run(options, Policy::kRamp, "most recover");
    const RampFleetResult limited = Run(options, Policy::kRampWithoutExemption, "most recover");
    cr_assert_geq(ramp.on_time * 1000, none.on_time * 997, "%d daemons", daemons);
    if (daemons == 1) cr_assert_gt(ramp.on_time, limited.on_time);
  }
}

// Guards against an engine in good condition that is left idle after a restart.
Test(endpoint_ramp_fleet, an_engine_that_answers_well_soon_has_its_full_share) {
  // The limit on a daemon whose first request there is in progress ends with the reply.
  constexpr Duration kReplyTime = std::chrono::milliseconds(100);
  const RampFleetResult none = Run(GoodRestart(), Policy::kNone, "good restart");
  const RampFleetResult ramp = Run(GoodRestart(), Policy::kRamp, "good restart");
  cr_assert_leq(ramp.last_limited_after, std::chrono::seconds(2) + kReplyTime);
  cr_assert_gt(ramp.last_limited_after, Duration::zero(), "the ramp has an effect");
  cr_assert_geq(ramp.first_engine_on_time * 100, none.first_engine_on_time * 97);
  cr_assert_geq(ramp.on_time * 1000, none.on_time * 999);
}

// Guards against a ramp that does harm at a usual load with some slow replies.
Test(endpoint_ramp_fleet, a_restart_at_usual_load_makes_fewer_requests_late) {
  const RampFleetResult none = Run(Restart(), Policy::kNone, "restart");
  const RampFleetResult ramp = Run(Restart(), Policy::kRamp, "restart");
  Run(Restart(), Policy::kFixed, "restart");
  Run(Restart(), Policy::kDoubling, "restart");
  Run(Restart(), Policy::kGradient, "restart");
  cr_assert_lt(ramp.late, none.late);
  cr_assert_gt(ramp.on_time, none.on_time);
  cr_assert_geq(ramp.first_engine_on_time * 100, none.first_engine_on_time * 98);
}
