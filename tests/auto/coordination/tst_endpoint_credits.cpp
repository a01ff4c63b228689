#include <criterion/criterion.h>

#include <map>
#include <set>

#include "coordination/credit_holder.h"
#include "coordination/credit_owner.h"

using namespace fulmarpoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint kStart = TimePoint(seconds(1000));
const EndpointHash kEngine = StableHash("e1");
const InstanceId kOwner{"owner", 1};

/// An owner of endpoint "e1" with 16 slots, after the 5 s in which grants of an earlier owner may
/// be in use.
struct OwnerFixture {
  CreditOwner owner{kOwner};
  TimePoint now = kStart;
  std::map<std::string, std::int64_t> last_applied;

  OwnerFixture() {
    Handle(OwnedEndpointsChanged{{kEngine}});
    Advance(seconds(6));
  }
  std::vector<CreditOwnerAction> Handle(const CreditOwnerEvent& event) {
    std::vector<CreditOwnerAction> actions;
    owner.Handle(event, now, actions);
    return actions;
  }
  void Load(int active, int queued = 0) { Handle(OwnedLoadReported{kEngine, 16, active, queued}); }
  /// Advances the time with a load report each second.
  void Advance(Duration duration, int active = 0) {
    const TimePoint end = now + duration;
    while (now < end) {
      now = std::min(end, now + seconds(1));
      Load(active);
    }
  }
  /// Returns the number of credits granted, or -1 if the request was not answered. `lost`: the
  /// grant does not reach the holder.
  int RequestCredits(const std::string& name, int in_use, int held, int wanted, bool lost = false,
                     int needed = -1) {
    CreditRequest request{{name, 1}, now.time_since_epoch().count(), {}};
    CreditDemand demand;
    demand.endpoint = kEngine;
    demand.in_use = static_cast<std::uint16_t>(in_use);
    demand.held = static_cast<std::uint16_t>(held);
    demand.needed = static_cast<std::uint16_t>(needed < 0 ? wanted : needed);
    demand.wanted = static_cast<std::uint16_t>(wanted);
    if (last_applied.contains(name)) {
      demand.grant_age_us = static_cast<std::uint32_t>(request.sent_at - last_applied[name]);
    }
    request.demands.push_back(demand);
    const std::vector<CreditOwnerAction> actions = Handle(CreditRequestReceived{request});
    if (actions.empty()) return -1;
    if (!lost) last_applied[name] = request.sent_at;
    now += milliseconds(1);
    return std::get<SendCreditGrant>(actions[0]).grant.amounts[0].granted;
  }
};

/// A holder that uses endpoint "e1" of service "drafts".
struct HolderFixture {
  CreditHolder holder{InstanceId{"holder", 1}};
  TimePoint now = kStart;
  std::vector<CreditRequest> requests;
  int slots = 0;

  HolderFixture() { Handle(SubsetChanged{{{"e1", "drafts", kOwner}}}); }
  void Handle(const CreditHolderEvent& event) {
    std::vector<CreditHolderAction> actions;
    holder.Handle(event, now, actions);
    for (const CreditHolderAction& action : actions) {
      if (const auto* send = std::get_if<SendCreditRequest>(&action)) {
        requests.push_back(send->request);
      }
      if (const auto* change = std::get_if<CreditSlotsChanged>(&action)) slots = change->slots;
    }
  }
  void Grant(const CreditRequest& request, int amount) {
    Handle(CreditGrantReceived{
        {kOwner, request.sent_at, {{kEngine, static_cast<std::uint16_t>(amount)}}}});
  }
};

}  // namespace

// Guards against overloading an endpoint when several holders want more credits than it has slots.
Test(credit_owner, grants_never_exceed_the_slots_and_shares_are_fair) {
  OwnerFixture fixture;
  std::map<std::string, int> held;
  for (int round = 0; round < 4; ++round) {
    for (const std::string name : {"a", "b", "c"})
      held[name] = fixture.RequestCredits(name, 0, held[name], 20);
    cr_assert_leq(held["a"] + held["b"] + held["c"], 16, "round %d", round);
    fixture.Advance(seconds(2));
  }
  for (const auto& [name, amount] : held) cr_assert(amount >= 5 && amount <= 6, "%d", amount);
}

// Guards against spare credits of idle daemons while requests wait at another daemon.
Test(credit_owner, spare_credits_are_granted_only_after_all_needs) {
  OwnerFixture fixture;
  for (const char* idle : {"a", "b", "c", "d"}) {
    cr_assert_eq(fixture.RequestCredits(idle, 0, 0, 3, false, 0), 3,
                 "no other holder needs them yet");
  }
  fixture.RequestCredits("busy", 0, 0, 16, false, 16);
  for (const char* idle : {"a", "b", "c", "d"}) {
    cr_assert_eq(fixture.RequestCredits(idle, 0, 3, 3, false, 0), 0);
    fixture.RequestCredits(idle, 0, 0, 3, false, 0);
  }
  cr_assert_eq(fixture.RequestCredits("busy", 0, 4, 16, false, 16), 16);
}

// Guards against granting credits again that a holder without contact may still use.
Test(credit_owner, unresponsive_holder_keeps_its_credits_until_they_expire) {
  OwnerFixture fixture;
  cr_assert_eq(fixture.RequestCredits("a", 0, 0, 16), 16);
  cr_assert_eq(fixture.RequestCredits("b", 0, 0, 16), 0);
  fixture.Advance(seconds(9));
  cr_assert_eq(fixture.RequestCredits("b", 0, 0, 16), 0,
               "reserved while a partition may be undetected");
  fixture.Advance(seconds(2));
  cr_assert_eq(fixture.RequestCredits("b", 0, 0, 16), 16);
}

// Guards against granting credits to others before the holder has received the reduced grant.
Test(credit_owner, lost_grant_reduction_frees_no_credits) {
  OwnerFixture fixture;
  cr_assert_eq(fixture.RequestCredits("a", 0, 0, 16), 16);
  cr_assert_eq(fixture.RequestCredits("b", 0, 0, 8), 0);
  cr_assert_eq(fixture.RequestCredits("a", 0, 16, 16, true), 8);
  cr_assert_eq(fixture.RequestCredits("b", 0, 0, 8), 0, "a still uses 16");
  cr_assert_eq(fixture.RequestCredits("a", 0, 16, 16), 8);
  cr_assert_eq(fixture.RequestCredits("b", 0, 0, 8), 0, "a has not confirmed the reduction");
  cr_assert_eq(fixture.RequestCredits("a", 0, 8, 16), 8);
  cr_assert_eq(fixture.RequestCredits("b", 0, 0, 8), 8);
}

// Guards against a new owner that grants slots that its predecessor has granted to other holders.
Test(credit_owner, new_owner_renews_at_once_and_grants_more_later) {
  OwnerFixture fixture;
  fixture.Handle(OwnedEndpointsChanged{{}});
  fixture.Handle(OwnedEndpointsChanged{{kEngine}});
  cr_assert_eq(fixture.RequestCredits("a", 3, 5, 16), 5,
               "renewed although no load report has given the slots");
  cr_assert_eq(fixture.RequestCredits("b", 0, 0, 16), 0);
  fixture.Load(8);
  fixture.now += milliseconds(10);
  cr_assert_eq(fixture.RequestCredits("a", 3, 5, 16), 5);
  cr_assert_eq(fixture.RequestCredits("c", 0, 0, 4), 0);
  fixture.Advance(seconds(6), 3);
  cr_assert_gt(fixture.RequestCredits("c", 0, 0, 4), 0);
}

// Guards against two owners in a partition that together grant twice the slots.
Test(credit_owner, owner_that_sees_half_of_the_daemons_grants_half) {
  OwnerFixture fixture;
  fixture.Handle(VisibleDaemonsChanged{4, 8});
  cr_assert_eq(fixture.RequestCredits("a", 0, 0, 16), 8);
  fixture.Handle(VisibleDaemonsChanged{8, 8});
  fixture.now += milliseconds(10);
  cr_assert_eq(fixture.RequestCredits("a", 0, 8, 16), 8,
               "the daemons that returned may hold the other half");
  fixture.Advance(seconds(6));
  cr_assert_eq(fixture.RequestCredits("a", 0, 8, 16), 16);
}

// Guards against granting slots that are occupied by requests without a known grant, for example
// those of a daemon that crashed or of holders of the previous owner.
Test(credit_owner, unaccounted_load_reduces_the_capacity) {
  OwnerFixture fixture;
  fixture.Load(10, 2);
  cr_assert_eq(fixture.RequestCredits("a", 0, 0, 16), 4);
  fixture.Advance(seconds(1), 4);
  cr_assert_eq(fixture.RequestCredits("a", 4, 4, 16), 16, "its own requests account for the load");
}

// Guards against an owner that grants credits from its state before it was paused.
Test(credit_owner, paused_owner_behaves_like_a_new_one) {
  OwnerFixture fixture;
  fixture.now += seconds(20);
  cr_assert_eq(fixture.RequestCredits("a", 0, 0, 16), 0);
  fixture.Load(0);
  cr_assert_eq(fixture.RequestCredits("a", 0, 2, 16), 2);
}

// Guards against a delayed duplicate of a request that changes the grants.
Test(credit_owner, repeated_request_is_ignored) {
  OwnerFixture fixture;
  CreditRequest request{{"a", 1}, 5, {{kEngine, 0, 0, 4, 4}}};
  cr_assert_eq(fixture.Handle(CreditRequestReceived{request}).size(), 1u);
  cr_assert_eq(fixture.Handle(CreditRequestReceived{request}).size(), 0u);
}

// Guards against using credits that have expired while the holder was paused or partitioned.
Test(credit_holder, grant_expires_five_seconds_after_the_request) {
  HolderFixture fixture;
  cr_assert_eq(fixture.requests.size(), 1u);
  fixture.now += seconds(3);
  fixture.Grant(fixture.requests[0], 4);
  cr_assert_eq(fixture.holder.Free("e1", fixture.now), 4);
  cr_assert(fixture.holder.Take("e1", fixture.now));
  fixture.now += seconds(2);
  cr_assert_not(fixture.holder.Take("e1", fixture.now),
                "answered after 3 s, so it was valid for 2 s");
  fixture.Handle(CreditTimerFired{});
  cr_assert_eq(fixture.slots, 1, "the running request keeps its slot");
}

// Guards against requests from which the owner cannot tell which of its grants is in effect, or how
// many credits are needed and how many are spare. Without the age of the grant, owners count every
// grant until it expires.
Test(credit_holder, request_reports_use_needs_and_the_grant_in_effect) {
  HolderFixture fixture;
  fixture.Grant(fixture.requests[0], 3);
  cr_assert(fixture.holder.Take("e1", fixture.now));
  fixture.now += milliseconds(2500);
  fixture.Handle(CreditDemandChanged{"drafts", 2});
  fixture.Handle(CreditTimerFired{});
  const CreditRequest& request = fixture.requests.back();
  const CreditDemand& demand = request.demands.front();
  cr_assert_eq(demand.in_use, 1);
  cr_assert_eq(demand.held, 3);
  cr_assert_eq(demand.needed, 3);
  cr_assert_eq(demand.wanted, 4);
  cr_assert_eq(request.sent_at - demand.grant_age_us, fixture.requests[0].sent_at);
}

// Guards against an older grant that arrives last and restores credits that were withdrawn.
Test(credit_holder, reordered_grants_keep_the_latest) {
  HolderFixture fixture;
  fixture.now += milliseconds(2500);
  fixture.Handle(CreditTimerFired{});
  cr_assert_eq(fixture.requests.size(), 2u);
  fixture.Grant(fixture.requests[1], 2);
  fixture.Grant(fixture.requests[0], 9);
  cr_assert_eq(fixture.holder.Free("e1", fixture.now), 2);
  CreditRequest forged = fixture.requests[1];
  forged.sent_at += Duration(seconds(1000)).count();
  fixture.Grant(forged, 50);
  cr_assert_eq(fixture.holder.Free("e1", fixture.now), 2, "a grant for no request is ignored");
}

// Guards against one message per waiting request while the endpoints are full.
Test(credit_holder, waiting_requests_do_not_multiply_messages) {
  HolderFixture fixture;
  fixture.now += seconds(1);
  for (int step = 0; step < 100; ++step) {
    fixture.now += milliseconds(10);
    fixture.Handle(CreditDemandChanged{"drafts", step + 1});
    if (step % 10 == 0) fixture.Grant(fixture.requests.back(), 1);
  }
  cr_assert_leq(fixture.requests.size(), 6u, "%zu", fixture.requests.size());
  cr_assert_gt(fixture.requests.size(), 1u, "the first waiting request is reported at once");
}

Test(credit_holder, requests_of_a_removed_endpoint_return_their_credits) {
  HolderFixture fixture;
  fixture.Grant(fixture.requests[0], 2);
  cr_assert(fixture.holder.Take("e1", fixture.now));
  fixture.Handle(SubsetChanged{{}});
  cr_assert_not(fixture.holder.Take("e1", fixture.now));
  cr_assert_eq(fixture.slots, 1);
  fixture.holder.Return("e1");
  fixture.holder.Return("e1");
  cr_assert_eq(fixture.holder.Slots("drafts", fixture.now), 0);
}

// Guards against endpoints that no daemon uses, and against a number of messages that grows with
// the fleet.
Test(credit_subset, covers_all_endpoints_with_few_owners) {
  std::vector<EndpointId> endpoints;
  for (int index = 0; index < 640; ++index) endpoints.push_back("engine-" + std::to_string(index));
  for (int count : {1, 8, 64, 350}) {
    std::vector<InstanceId> daemons;
    for (int index = 0; index < count; ++index) {
      daemons.push_back({"daemon-" + std::to_string(index), 1});
    }
    std::set<EndpointId> used;
    const int checked = std::min(count, 64);
    for (const InstanceId& self : daemons) {
      // In a larger fleet, only daemons whose names do not sort after "daemon-15" are checked.
      if (count > 64 && self.name > "daemon-15") continue;
      std::set<InstanceId> owners;
      for (const SubsetEndpoint& member : CreditSubset(self, daemons, "drafts", endpoints, 1)) {
        used.insert(member.endpoint);
        if (member.owner != self) owners.insert(member.owner);
      }
      cr_assert_leq(owners.size(), 8u, "%d daemons", count);
    }
    if (count <= checked) cr_assert_eq(used.size(), 640u, "%d daemons", count);
  }
}

// Guards against messages that do not fit a datagram.
Test(credit_messages, largest_messages_fit_and_round_trip) {
  CreditRequest request{{std::string(64, 'd'), 1}, 1, {}};
  CreditGrant grant{{std::string(64, 'd'), 1}, 1, {}};
  for (std::size_t index = 0; index < kMaxCreditEntries; ++index) {
    request.demands.push_back({index, 1, 2, 3, 3, 4});
    grant.amounts.push_back({index, 7});
  }
  const std::string body = EncodeCreditRequest(request);
  cr_assert_leq(body.size(), 1100u);
  const Parsed<CreditRequest> decoded = DecodeCreditRequest(body);
  cr_assert(decoded.Ok());
  cr_assert_eq(decoded.Value().demands.back().grant_age_us, 4u);
  cr_assert_not(DecodeCreditRequest(body.substr(0, 40)).Ok());
  cr_assert_not(DecodeCreditRequest(body + "x").Ok());
  cr_assert(DecodeCreditGrant(EncodeCreditGrant(grant)).Ok());
}
