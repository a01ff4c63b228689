#include <criterion/criterion.h>

#include "coordination/endpoint_health.h"

using namespace fulmarpoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint kStart = TimePoint(seconds(1000));

struct Fixture {
  EndpointHealth health;
  std::vector<EndpointHealthAction> actions;

  explicit Fixture(int count) {
    for (int index = 0; index < count; ++index) {
      health.Handle(EndpointListed{Name(index), "drafts", false}, kStart, actions);
      Report(index, kStart);
    }
  }
  static EndpointId Name(int index) { return "e" + std::to_string(index); }
  void Report(int index, TimePoint now, std::uint64_t incarnation = 1, bool leaving = false) {
    health.Handle(EndpointLoadReported{Name(index), incarnation, 16, 0, 0, leaving, Duration{}},
                  now, actions);
  }
  void Outcome(int index, TimePoint now, EndpointOutcomeKind kind, Duration latency = {}) {
    health.Handle(EndpointOutcome{Name(index), kind, latency}, now, actions);
  }
  EndpointState State(int index, TimePoint now) { return health.View(Name(index), now)->state; }
  template <typename Action>
  int Count() const {
    int count = 0;
    for (const EndpointHealthAction& action : actions) {
      if (std::holds_alternative<Action>(action)) ++count;
    }
    return count;
  }
};

}  // namespace

// Guards against work for a leaving endpoint because one source of information lags behind another.
Test(endpoint_health, each_signal_of_leaving_is_final_for_the_incarnation) {
  for (int signal = 0; signal < 5; ++signal) {
    Fixture fixture(1);
    const EndpointId id = Fixture::Name(0);
    if (signal == 0)
      fixture.health.Handle(EndpointListed{id, "drafts", true}, kStart, fixture.actions);
    if (signal == 1) fixture.Report(0, kStart, 1, true);
    if (signal == 2) fixture.Outcome(0, kStart, EndpointOutcomeKind::kRefusedLeaving);
    if (signal == 3) fixture.health.Handle(PeerReportedLeaving{id, 1}, kStart, fixture.actions);
    if (signal == 4) fixture.health.Handle(EndpointUnlisted{id}, kStart, fixture.actions);
    // A stale list, a delayed report and a late success contradict it.
    fixture.health.Handle(EndpointListed{id, "drafts", false}, kStart, fixture.actions);
    fixture.Report(0, kStart + seconds(1));
    fixture.Outcome(0, kStart + seconds(1), EndpointOutcomeKind::kSuccess, milliseconds(20));
    cr_assert_eq(fixture.State(0, kStart + seconds(1)), EndpointState::kLeaving, "signal %d",
                 signal);
    cr_assert_not(fixture.health.View(id, kStart + seconds(1))->trial_due);
    fixture.Report(0, kStart + seconds(2), 2);
    cr_assert_eq(fixture.State(0, kStart + seconds(2)), EndpointState::kLive, "signal %d", signal);
    cr_assert_eq(fixture.Count<EndpointCrashed>(), 0, "a planned restart is not a crash");
  }
}

// Guards against a stale list that keeps a restarted endpoint out of use.
Test(endpoint_health, stale_leaving_state_in_the_list_does_not_affect_the_next_incarnation) {
  Fixture fixture(1);
  fixture.health.Handle(EndpointListed{"e0", "drafts", true}, kStart, fixture.actions);
  fixture.Report(0, kStart + seconds(1), 2);
  fixture.health.Handle(EndpointListed{"e0", "drafts", true}, kStart + seconds(2), fixture.actions);
  cr_assert_eq(fixture.State(0, kStart + seconds(2)), EndpointState::kLive);
}

// Guards against P7 violations while the list is stale and no report arrives: the daemon would not
// detect that the endpoint is leaving, so new work must stop within 5 s.
Test(endpoint_health, endpoint_without_reports_gets_nothing_after_five_seconds) {
  Fixture fixture(1);
  cr_assert_eq(fixture.State(0, kStart + seconds(3)), EndpointState::kLive);
  const std::optional<EndpointHealthView> view = fixture.health.View("e0", kStart + seconds(5));
  cr_assert_eq(view->state, EndpointState::kSuspect);
  cr_assert_not(view->trial_due);
}

// Guards against a failed endpoint that is tried at full rate, or never again.
Test(endpoint_health, failed_endpoint_gets_trials_with_backoff_and_recovers_after_one) {
  Fixture fixture(1);
  TimePoint now = kStart;
  Duration previous{};
  for (int failure = 0; failure < 8; ++failure) {
    fixture.Outcome(0, now, EndpointOutcomeKind::kFailure);
    Duration waited{};
    while (!fixture.health.View("e0", now + waited)->trial_due) {
      waited += milliseconds(100);
      fixture.Report(0, now + waited);
    }
    cr_assert_geq(waited.count(), previous.count());
    previous = waited;
    now += waited;
    cr_assert(fixture.health.BeginTrial("e0", now));
    cr_assert_not(fixture.health.BeginTrial("e0", now), "one trial at a time");
  }
  cr_assert_eq(fixture.State(0, now), EndpointState::kFailed);
  cr_assert_leq(previous.count(), Duration(seconds(31)).count());
  fixture.Outcome(0, now, EndpointOutcomeKind::kSuccess);
  cr_assert_eq(fixture.State(0, now), EndpointState::kLive);
}

// Guards against a slow endpoint that keeps its share of the traffic until it fails.
Test(endpoint_health, slow_endpoint_loses_weight_then_gets_trials_then_returns) {
  Fixture fixture(5);
  TimePoint now = kStart;
  const auto round = [&](Duration slow) {
    now += milliseconds(200);
    for (int index = 0; index < 5; ++index) {
      fixture.Report(index, now);
      fixture.Outcome(index, now, EndpointOutcomeKind::kSuccess,
                      index == 0 ? slow : Duration(milliseconds(20)));
    }
  };
  round(milliseconds(20));
  round(milliseconds(60));
  const EndpointHealthView early = *fixture.health.View("e0", now);
  cr_assert_eq(early.state, EndpointState::kLive);
  cr_assert_lt(early.speed_weight, 0.6, "loses traffic with the first slow answer");
  for (int index = 0; index < 6; ++index) round(milliseconds(120));
  cr_assert_eq(fixture.State(0, now), EndpointState::kSuspect);
  int trials = 0;
  while (fixture.State(0, now) == EndpointState::kSuspect && trials < 100) {
    now += milliseconds(100);
    for (int index = 0; index < 5; ++index) fixture.Report(index, now);
    if (!fixture.health.BeginTrial("e0", now)) continue;
    ++trials;
    fixture.Outcome(0, now, EndpointOutcomeKind::kSuccess, milliseconds(20));
  }
  cr_assert_eq(fixture.State(0, now), EndpointState::kLive);
  cr_assert_leq(trials, 8);
}

// Guards against a crash that goes unnoticed because the endpoint restarted before the next
// request.
Test(endpoint_health, changed_incarnation_is_a_crash) {
  Fixture fixture(1);
  fixture.Report(0, kStart + seconds(1), 2);
  cr_assert_eq(fixture.Count<EndpointCrashed>(), 1);
  cr_assert_eq(fixture.State(0, kStart + seconds(1)), EndpointState::kSuspect);
  fixture.Report(0, kStart + seconds(2), 1);
  cr_assert_eq(fixture.Count<EndpointCrashed>(), 1, "a delayed report is not a crash");
  cr_assert(fixture.health.BeginTrial("e0", kStart + seconds(2)));
}
