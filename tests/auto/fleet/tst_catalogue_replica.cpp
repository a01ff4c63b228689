#include <criterion/criterion.h>

#include "fleet_recorder.h"

using namespace fulmarpoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint kStart(std::chrono::hours(1));

CatalogueDelta DeltaTo(std::uint64_t revision, int max_concurrent) {
  CatalogueDelta delta{0, revision, {}};
  for (const auto& [key, value] : ItemsOf(ExampleEntry("assistant", max_concurrent))) {
    delta.items.push_back({key, revision, revision, value});
  }
  const VoterSet voters{{{"d0", 1}, {"d1", 1}, {"d2", 1}}, {}};
  delta.items.push_back({kVotersKey, 1, 1, ToJson(voters)});
  return delta;
}

/// A replica of voter d0 at revision 5, without a freshness confirmation.
struct ReplicaFixture {
  explicit ReplicaFixture(CatalogueReplica::Options options = {}) : replica({"d0", 1}, options, 1) {
    Deliver(CatalogueReplica::PeerDelta{true, {"d1", 1}, DeltaTo(5, 10)}, kStart);
  }
  void Deliver(const CatalogueReplica::Event& event, TimePoint now) {
    actions.clear();
    replica.Handle(event, now, actions);
  }
  /// Delivers an answer of `peer` at `now` to a request sent at `requested_at`.
  void Answer(const std::string& peer, std::uint64_t revision, std::uint32_t confirmation_age_ms,
              TimePoint requested_at, TimePoint now) {
    Deliver(
        CatalogueReplica::PeerHead{{peer, 1}, {revision, confirmation_age_ms, false}, requested_at},
        now);
  }
  CatalogueReplica replica;
  std::vector<CatalogueReplica::Action> actions;
};

}  // namespace

// Guards against a late answer that makes an old confirmation appear new.
Test(catalogue_replica, confirmation_is_dated_from_the_request) {
  ReplicaFixture fixture;
  fixture.Answer("d9", 5, 500, kStart, kStart + seconds(30));
  cr_assert_not(fixture.replica.IsFresh(kStart + seconds(30)));
  fixture.Answer("d9", 5, 500, kStart + seconds(30), kStart + seconds(31));
  cr_assert(fixture.replica.IsFresh(kStart + milliseconds(39500)));
  cr_assert_not(fixture.replica.IsFresh(kStart + milliseconds(39501)));
  ReplicaFixture mutated({.mutate_date_confirmation_on_arrival = true});
  mutated.Answer("d9", 5, 500, kStart, kStart + seconds(30));
  cr_assert(mutated.replica.IsFresh(kStart + seconds(30)), "the mutation has no effect");
}

// Guards against an unsolicited announcement that counts as a confirmation.
Test(catalogue_replica, announcement_alone_confirms_nothing) {
  ReplicaFixture fixture;
  fixture.Deliver(CatalogueReplica::PeerHead{{"d1", 1}, {5, 0, false}, std::nullopt}, kStart);
  cr_assert_not(fixture.replica.IsFresh(kStart));
}

// Guards against a majority that includes a voter with a later revision, or processes that are not
// voters.
Test(catalogue_replica, majority_counts_voters_at_no_later_revision) {
  ReplicaFixture fixture;
  fixture.Answer("d7", 5, kNoConfirmation, kStart, kStart);
  fixture.Answer("d8", 5, kNoConfirmation, kStart, kStart);
  cr_assert_not(fixture.replica.IsFresh(kStart), "d7 and d8 are not voters");
  fixture.Answer("d1", 6, kNoConfirmation, kStart, kStart);
  cr_assert_not(fixture.replica.IsFresh(kStart), "d1 has a later revision");
  fixture.Answer("d2", 5, kNoConfirmation, kStart, kStart);
  cr_assert(fixture.replica.IsFresh(kStart), "d0 and d2 are a majority of three");
}

// Guards against a daemon that goes back to an earlier revision because the store or a peer is
// stale.
Test(catalogue_replica, lower_revisions_are_ignored) {
  ReplicaFixture fixture;
  fixture.Deliver(CatalogueReplica::PeerDelta{true, {"d1", 1}, DeltaTo(4, 99)}, kStart);
  CatalogueItem head{kHeadKey, 3, 3, ""};
  fixture.Deliver(CatalogueReplica::StoreDelta{true, {head}, 3}, kStart);
  fixture.Deliver(CatalogueReplica::HeadRead{true, 3, kStart}, kStart);
  cr_assert_eq(fixture.replica.Revision(), 5u);
  cr_assert_eq(fixture.replica.Entry("assistant")->limits.max_concurrent, 10);
  cr_assert_not(fixture.replica.IsFresh(kStart), "an old head confirms nothing");
}

// Guards against a confirmation of a later revision that is used before that revision is in effect.
Test(catalogue_replica, confirmation_of_a_later_revision_waits_for_its_items) {
  ReplicaFixture fixture;
  fixture.Deliver(CatalogueReplica::HeadRead{true, 6, kStart}, kStart);
  cr_assert_not(fixture.replica.IsFresh(kStart));
  fixture.Deliver(CatalogueReplica::PeerDelta{true, {"d1", 1}, DeltaTo(6, 20)},
                  kStart + seconds(1));
  cr_assert(fixture.replica.IsFresh(kStart + seconds(1)));
  cr_assert_not(fixture.replica.IsFresh(kStart + seconds(11)));
}

// Guards against an unreadable item that lets a delta take effect in part, or crashes the process.
Test(catalogue_replica, delta_with_an_invalid_item_is_rejected_as_a_whole) {
  ReplicaFixture fixture;
  CatalogueDelta delta = DeltaTo(6, 20);
  delta.items.front().value = "{\"service\": 1}";
  fixture.Deliver(CatalogueReplica::PeerDelta{true, {"d1", 1}, delta}, kStart);
  cr_assert_eq(fixture.replica.Revision(), 5u);
  cr_assert_eq(fixture.replica.Counts().rejected_deltas, 1u);
  delta = DeltaTo(6, 20);
  delta.items.back().value = "[";
  delta.items.back().revision = 6;
  fixture.Deliver(CatalogueReplica::PeerDelta{true, {"d1", 1}, delta}, kStart);
  cr_assert_eq(fixture.replica.Revision(), 5u);
}

// Guards against `when_stale` that is ignored for an entry that sets it, or applied to others.
Test(catalogue_replica, stale_policy_of_the_entry_decides) {
  ReplicaFixture fixture;
  CatalogueEntry entry = ExampleEntry("assistant", 1);
  cr_assert_not(fixture.replica.MayServe(entry, kStart));
  entry.when_stale = StalePolicy::kServe;
  cr_assert(fixture.replica.MayServe(entry, kStart));
}
