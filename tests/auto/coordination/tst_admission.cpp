#include <criterion/criterion.h>

#include <map>
#include <set>

#include "coordination/admission.h"
#include "coordination/retry_policy.h"
#include "utils/random.h"

using namespace fulmarpoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint kStart = TimePoint(seconds(1000));

/// One daemon and its callers under virtual time. Runs of an organisation take a fixed time.
struct Fixture {
  Admission admission;
  std::vector<AdmissionAction> actions;
  std::map<std::uint64_t, OrganisationId> owner;
  std::map<OrganisationId, Duration> run_time;
  std::multimap<TimePoint, std::uint64_t> ends;
  std::map<std::uint64_t, TimePoint> arrived;
  std::map<OrganisationId, int> running;
  std::map<OrganisationId, int> refused;
  std::map<OrganisationId, Duration> longest_wait;
  std::vector<RejectRequest> refusals;
  std::vector<std::uint64_t> admitted;
  TimePoint now = kStart;
  std::uint64_t next = 0;

  explicit Fixture(int slots) { Handle(AdmissionSlotsChanged{slots}); }

  void Handle(const AdmissionEvent& event) {
    actions.clear();
    admission.Handle(event, now, actions);
    for (const AdmissionAction& action : actions) {
      if (const auto* admit = std::get_if<Admit>(&action)) {
        const OrganisationId id = owner[admit->request];
        admitted.push_back(admit->request);
        ++running[id];
        longest_wait[id] = std::max(longest_wait[id], now - arrived[admit->request]);
        ends.emplace(now + run_time[id], admit->request);
      } else {
        refusals.push_back(std::get<RejectRequest>(action));
        ++refused[owner[refusals.back().request]];
      }
    }
  }
  std::uint64_t Request(const OrganisationId& id, Priority priority = Priority::kNormal,
                        int weight = 1, Duration deadline = seconds(600), int limit = 100000) {
    owner[++next] = id;
    arrived[next] = now;
    Handle(AdmissionRequested{next, id, weight, limit, priority, now + deadline});
    return next;
  }
  void AdvanceTo(TimePoint end) {
    while (!ends.empty() && ends.begin()->first <= end) {
      now = ends.begin()->first;
      const std::uint64_t request = ends.begin()->second;
      ends.erase(ends.begin());
      --running[owner[request]];
      Handle(AdmissionEnded{request});
    }
    now = end;
    Handle(AdmissionTimerFired{});
  }
};

}  // namespace

// Guards against a queue whose wait callers do not accept: the excess is refused when it arrives.
Test(admission, excess_is_refused_at_once_and_waits_stay_within_patience) {
  Fixture fixture(20);
  fixture.run_time["acme"] = seconds(2);
  for (int step = 0; step < 3000; ++step) {
    fixture.AdvanceTo(fixture.now + milliseconds(20));
    fixture.Request("acme");  // 50 a second against a capacity of 10
  }
  cr_assert_gt(fixture.refused["acme"], 2000);
  cr_assert_leq(fixture.longest_wait["acme"].count(), Duration(milliseconds(3100)).count());
  int late = 0;
  for (const RejectRequest& refusal : fixture.refusals) {
    cr_assert_eq(InfoOf(refusal.code).execution, Execution::kNotRun);
    cr_assert_geq(refusal.retry_after.count(), Duration(milliseconds(500)).count());
    cr_assert(std::find(fixture.admitted.begin(), fixture.admitted.end(), refusal.request) ==
              fixture.admitted.end());
    if (refusal.code != ResultCode::kOverloaded) ++late;
  }
  cr_assert_eq(late, 0);
  cr_assert_gt(fixture.admitted.size(), 550u, "capacity is used: %zu", fixture.admitted.size());
}

// Guards against a large organisation that keeps the others out, and against slots that stay unused
// while an organisation does not need its share.
Test(admission, unused_share_is_lent_and_returns) {
  Fixture fixture(20);
  fixture.run_time["large"] = seconds(1);
  fixture.run_time["small"] = seconds(1);
  const auto load = [&](int steps, bool small) {
    for (int step = 0; step < steps; ++step) {
      fixture.AdvanceTo(fixture.now + milliseconds(10));
      fixture.Request("large");
      if (small && step % 2 == 0) fixture.Request("small");
    }
  };
  load(500, false);
  cr_assert_eq(fixture.running["large"], 20, "idle shares are lent");
  load(300, true);
  cr_assert_geq(fixture.running["small"], 8, "the share is back after three run times");
  cr_assert_geq(fixture.running["large"], 8);
  // The backlog of the small organisation is served first: at most its patience of 3 s.
  load(500, false);
  cr_assert_eq(fixture.running["large"], 20);
}

// Guards against an organisation that gets more than its share by long runs.
Test(admission, share_is_slot_time_not_number_of_requests) {
  Fixture fixture(40);
  fixture.run_time["long"] = seconds(4);
  fixture.run_time["short"] = milliseconds(500);
  double slot_time_long = 0.0;
  double slot_time_short = 0.0;
  for (int step = 0; step < 6000; ++step) {
    fixture.AdvanceTo(fixture.now + milliseconds(10));
    fixture.Request("long");
    fixture.Request("short");
    if (step < 3000) continue;
    slot_time_long += fixture.running["long"];
    slot_time_short += fixture.running["short"];
  }
  const double share = slot_time_long / (slot_time_long + slot_time_short);
  cr_assert(share > 0.35 && share < 0.65, "long runs hold %.2f of the slots", share);
}

Test(admission, weights_divide_the_slots) {
  Fixture fixture(40);
  fixture.run_time["heavy"] = seconds(1);
  fixture.run_time["light"] = seconds(1);
  for (int step = 0; step < 1500; ++step) {
    fixture.AdvanceTo(fixture.now + milliseconds(10));
    fixture.Request("heavy", Priority::kNormal, 300);
    fixture.Request("light", Priority::kNormal, 100);
  }
  cr_assert(fixture.running["heavy"] >= 27 && fixture.running["heavy"] <= 33, "%d",
            fixture.running["heavy"]);
}

// Guards against interactive requests behind background work, and against starving the latter.
Test(admission, priorities_go_first_without_starving_the_lowest) {
  Fixture fixture(10);
  fixture.run_time["acme"] = milliseconds(500);
  fixture.run_time["batch"] = milliseconds(500);
  for (int step = 0; step < 1000; ++step) {
    fixture.AdvanceTo(fixture.now + milliseconds(25));
    fixture.Request("batch", Priority::kBackground);
    fixture.Request("acme", Priority::kInteractive);
  }
  int background = 0;
  for (std::uint64_t request : fixture.admitted) {
    if (fixture.owner[request] == "batch") ++background;
  }
  cr_assert_geq(background, 20);
  cr_assert_lt(background, 150);
  cr_assert_eq(fixture.refused["batch"] > fixture.refused["acme"], true);
}

// Guards against memory and time that grow with the organisations known rather than active.
Test(admission, only_active_organisations_have_state) {
  Fixture fixture(10);
  for (int organisation = 0; organisation < 46000; ++organisation) {
    const OrganisationId id = "org-" + std::to_string(organisation);
    fixture.run_time[id] = milliseconds(1);
    fixture.Request(id);
    fixture.AdvanceTo(fixture.now + milliseconds(1));
    cr_assert_leq(fixture.admission.ActiveOrganisations(), 10u);
  }
  cr_assert_eq(fixture.admission.ActiveOrganisations(), 0u);
}

// Guards against waiting for endpoints that have stopped finishing requests.
Test(admission, stalled_endpoints_lead_to_refusals) {
  Fixture fixture(10);
  fixture.run_time["acme"] = milliseconds(200);
  for (int step = 0; step < 200; ++step) {
    fixture.AdvanceTo(fixture.now + milliseconds(20));
    fixture.Request("acme");
  }
  fixture.run_time["acme"] = seconds(3600);
  for (int step = 0; step < 500; ++step) {
    fixture.AdvanceTo(fixture.now + milliseconds(20));
    fixture.Request("acme");
  }
  cr_assert_leq(fixture.admission.Waiting(), 40u);
  fixture.AdvanceTo(fixture.now + seconds(4));
  cr_assert_eq(fixture.admission.Waiting(), 0u, "no caller waits longer than its patience");
}

// Guards against slots taken by requests whose callers have left, or start after their deadline.
Test(admission, abandoned_and_late_requests_take_no_slot) {
  Fixture fixture(1);
  fixture.run_time["acme"] = milliseconds(500);
  for (int run = 0; run < 30; ++run) {
    fixture.Request("acme");
    fixture.AdvanceTo(fixture.now + milliseconds(500));
  }
  fixture.admitted.clear();
  const std::uint64_t first = fixture.Request("acme");
  const std::uint64_t abandoned = fixture.Request("acme");
  fixture.Handle(AdmissionAbandoned{abandoned});
  const std::uint64_t late = fixture.Request("acme", Priority::kNormal, 1, milliseconds(400));
  fixture.AdvanceTo(fixture.now + seconds(10));
  cr_assert_eq(fixture.admitted, std::vector<std::uint64_t>{first});
  cr_assert_eq(fixture.refusals.size(), 1u);
  cr_assert_eq(fixture.refusals[0].request, late);
  cr_assert_eq(fixture.admission.ActiveOrganisations(), 0u);
}

// Guards against refusing the first requests after a quiet time, when the daemon has given its
// credits back although the endpoints are idle.
Test(admission, requests_wait_for_expected_slots) {
  Fixture fixture(0);
  fixture.run_time["acme"] = seconds(1);
  fixture.Handle(AdmissionSlotsChanged{0, 4});
  for (int request = 0; request < 4; ++request) fixture.Request("acme");
  cr_assert_eq(fixture.refusals.size(), 0u);
  cr_assert_eq(fixture.admitted.size(), 0u);
  fixture.Request("acme");
  cr_assert_eq(fixture.refusals.size(), 1u, "more than the expected slots");
  fixture.Handle(AdmissionSlotsChanged{4, 4});
  cr_assert_eq(fixture.admitted.size(), 4u);
}

Test(admission, organisation_limit_and_missing_slots_have_their_own_codes) {
  Fixture fixture(0);
  fixture.Request("acme");
  fixture.Handle(AdmissionSlotsChanged{5});
  fixture.run_time["acme"] = seconds(1);
  fixture.Request("acme", Priority::kNormal, 1, seconds(60), 1);
  fixture.Request("acme", Priority::kNormal, 1, seconds(60), 1);
  cr_assert_eq(fixture.refusals.size(), 2u);
  cr_assert_eq(fixture.refusals[0].code, ResultCode::kNoEndpoint);
  cr_assert_eq(fixture.refusals[1].code, ResultCode::kOrganisationLimit);
}

// Guards against running work twice that may run once, against attempts that end too late, and
// against retries that multiply the load.
Test(retry_policy, needs_idempotent_work_time_and_budget) {
  RetryBudget budget(0.125, 1.0);
  RetryContext context{true, true, Execution::kMayHaveRun, kStart + seconds(10), seconds(1)};
  cr_assert_not(TryRetry(context, kStart, budget).has_value());
  cr_assert_eq(*TryRetry(context, kStart, budget), RetryRejection::kBudget);
  for (int attempt = 0; attempt < 8; ++attempt) budget.OnFirstAttempt();
  cr_assert_eq(*TryRetry(context, kStart + seconds(9), budget), RetryRejection::kDeadline);
  context.idempotent = false;
  cr_assert_eq(*TryRetry(context, kStart, budget), RetryRejection::kNotIdempotent);
  context.hedge = false;
  cr_assert_eq(*TryRetry(context, kStart, budget), RetryRejection::kNotIdempotent);
  context.earlier = Execution::kNotRun;
  cr_assert_not(TryRetry(context, kStart, budget).has_value());
}
