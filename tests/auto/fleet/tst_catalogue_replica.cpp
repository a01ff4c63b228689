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

/// A replica of voter d0 at revision 5, without a proof.
struct Subject {
  explicit Subject(CatalogueReplica::Options options = {}) : replica({"d0", 1}, options, 1) {
    Give(CatalogueReplica::PeerDelta{true, {"d1", 1}, DeltaTo(5, 10)}, kStart);
  }
  void Give(const CatalogueReplica::Event& event, TimePoint now) {
    actions.clear();
    replica.Handle(event, now, actions);
  }
  /// An answer of `peer` at `now` to a request of `asked_at`.
  void Answer(const std::string& peer, std::uint64_t revision, std::uint32_t confirmation_age_ms,
              TimePoint asked_at, TimePoint now) {
    Give(CatalogueReplica::PeerHead{{peer, 1}, {revision, confirmation_age_ms, false}, asked_at},
         now);
  }
  CatalogueReplica replica;
  std::vector<CatalogueReplica::Action> actions;
};

}  // namespace

// Guards against a late answer that makes an old proof look new.
Test(catalogue_replica, proof_is_dated_from_the_request) {
  Subject subject;
  subject.Answer("d9", 5, 500, kStart, kStart + seconds(30));
  cr_assert_not(subject.replica.IsFresh(kStart + seconds(30)));
  subject.Answer("d9", 5, 500, kStart + seconds(30), kStart + seconds(31));
  cr_assert(subject.replica.IsFresh(kStart + milliseconds(39500)));
  cr_assert_not(subject.replica.IsFresh(kStart + milliseconds(39501)));
  Subject mutated({.mutate_date_proof_on_arrival = true});
  mutated.Answer("d9", 5, 500, kStart, kStart + seconds(30));
  cr_assert(mutated.replica.IsFresh(kStart + seconds(30)), "the mutation has no effect");
}

// Guards against an announcement without a request that counts as a proof.
Test(catalogue_replica, announcement_alone_proves_nothing) {
  Subject subject;
  subject.Give(CatalogueReplica::PeerHead{{"d1", 1}, {5, 0, false}, std::nullopt}, kStart);
  cr_assert_not(subject.replica.IsFresh(kStart));
}

// Guards against a majority that includes a voter with a later revision, or processes that are not
// voters.
Test(catalogue_replica, majority_counts_voters_at_no_later_revision) {
  Subject subject;
  subject.Answer("d7", 5, kNoConfirmation, kStart, kStart);
  subject.Answer("d8", 5, kNoConfirmation, kStart, kStart);
  cr_assert_not(subject.replica.IsFresh(kStart), "d7 and d8 are no voters");
  subject.Answer("d1", 6, kNoConfirmation, kStart, kStart);
  cr_assert_not(subject.replica.IsFresh(kStart), "d1 has a later revision");
  subject.Answer("d2", 5, kNoConfirmation, kStart, kStart);
  cr_assert(subject.replica.IsFresh(kStart), "d0 and d2 are a majority of three");
}

// Guards against a daemon that goes back because of a stale store or peer.
Test(catalogue_replica, lower_revisions_are_ignored) {
  Subject subject;
  subject.Give(CatalogueReplica::PeerDelta{true, {"d1", 1}, DeltaTo(4, 99)}, kStart);
  CatalogueItem head{kHeadKey, 3, 3, ""};
  subject.Give(CatalogueReplica::StoreDelta{true, {head}, 3}, kStart);
  subject.Give(CatalogueReplica::HeadRead{true, 3, kStart}, kStart);
  cr_assert_eq(subject.replica.Revision(), 5u);
  cr_assert_eq(subject.replica.Entry("assistant")->limits.max_concurrent, 10);
  cr_assert_not(subject.replica.IsFresh(kStart), "an old head proves nothing");
}

// Guards against a proof for a later revision that is used before that revision is in effect.
Test(catalogue_replica, proof_of_a_later_revision_waits_for_its_items) {
  Subject subject;
  subject.Give(CatalogueReplica::HeadRead{true, 6, kStart}, kStart);
  cr_assert_not(subject.replica.IsFresh(kStart));
  subject.Give(CatalogueReplica::PeerDelta{true, {"d1", 1}, DeltaTo(6, 20)}, kStart + seconds(1));
  cr_assert(subject.replica.IsFresh(kStart + seconds(1)));
  cr_assert_not(subject.replica.IsFresh(kStart + seconds(11)));
}

// Guards against an item that cannot be read and takes effect in part, or ends the process.
Test(catalogue_replica, delta_with_an_invalid_item_is_rejected_as_a_whole) {
  Subject subject;
  CatalogueDelta delta = DeltaTo(6, 20);
  delta.items.front().value = "{\"service\": 1}";
  subject.Give(CatalogueReplica::PeerDelta{true, {"d1", 1}, delta}, kStart);
  cr_assert_eq(subject.replica.Revision(), 5u);
  cr_assert_eq(subject.replica.Counts().rejected_deltas, 1u);
  delta = DeltaTo(6, 20);
  delta.items.back().value = "[";
  delta.items.back().revision = 6;
  subject.Give(CatalogueReplica::PeerDelta{true, {"d1", 1}, delta}, kStart);
  cr_assert_eq(subject.replica.Revision(), 5u);
}

// Guards against `when_stale` that is ignored for entries that ask to be served, or used for
// others.
Test(catalogue_replica, stale_policy_of_the_entry_decides) {
  Subject subject;
  CatalogueEntry entry = ExampleEntry("assistant", 1);
  cr_assert_not(subject.replica.MayServe(entry, kStart));
  entry.when_stale = StalePolicy::kServe;
  cr_assert(subject.replica.MayServe(entry, kStart));
}
