#include <criterion/criterion.h>

#include <map>
#include <set>

#include "coordination/reader_selection.h"
#include "coordination/table_mirror.h"

using namespace fulmarpoint;

namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr std::uint64_t kFirstCursor = 1000;

TimePoint At(int milliseconds) { return kStart + std::chrono::milliseconds(milliseconds); }

TableFollower::Change Change(const std::string& key, std::uint64_t version, bool removed = false) {
  TableFollower::Change change;
  change.row.key = key;
  change.row.value = "v" + std::to_string(version);
  change.row.version = version;
  change.row.removed = removed;
  return change;
}

MirrorReply Ask(const TableMirror& mirror, std::uint64_t after, TimePoint now = kStart) {
  const std::optional<MirrorReply> reply = mirror.Answer({"t", after, 0}, false, now);
  cr_assert(reply.has_value());
  return *reply;
}

PeerRecord Peer(const std::string& name, const std::string& domain, double cores = 0.25) {
  return {name, 1, name + ":7200", name + ":8740", domain, cores};
}

}  // namespace

// Guards against peers that take a copy for current although it was never read.
Test(table_mirror, nothing_is_offered_before_the_copy_is_complete) {
  TableMirror mirror(kFirstCursor);
  mirror.Apply(Change("a", 1));
  cr_assert_eq(Ask(mirror, 0).status, StoreStatus::kRefused);
}

// Guards against a follower that misses a change or a removal, or waits although there is one.
Test(table_mirror, followers_see_each_change) {
  TableMirror mirror(kFirstCursor);
  mirror.Apply(Change("a", 1));
  mirror.Apply(Change("b", 2));
  mirror.Confirm(2, kStart);
  const MirrorReply all = Ask(mirror, 0);
  cr_assert_eq(all.rows.size(), 2u);
  cr_assert_not(mirror.Answer({"t", all.cursor, 0}, true, kStart).has_value());
  mirror.Apply(Change("a", 5, true));
  mirror.Apply(Change("c", 6));
  mirror.Confirm(6, kStart);
  const std::optional<MirrorReply> next = mirror.Answer({"t", all.cursor, 0}, true, kStart);
  cr_assert(next.has_value());
  cr_assert_eq(next->rows.size(), 2u);
  cr_assert(next->rows[0].removed && next->rows[0].key == "a" && next->rows[0].version == 5);
  cr_assert_eq(next->version, 6u);
  cr_assert_eq(Ask(mirror, 0).rows.size(), 2u, "b and c are left");
}

// Guards against a key that outlives its removal because a proof got younger on its way.
Test(table_mirror, the_age_of_the_copy_is_told) {
  TableMirror mirror(kFirstCursor);
  mirror.Confirm(2, kStart);
  cr_assert_geq(Ask(mirror, 0, At(1200)).age_ms, 1200u);
}

// Guards against changes that are skipped after a long pause or a restart of the peer.
Test(table_mirror, unknown_cursors_lead_to_a_new_read) {
  TableMirror mirror(kFirstCursor);
  mirror.Confirm(1, kStart);
  const std::uint64_t cursor = Ask(mirror, 0).cursor;
  for (std::uint64_t change = 0; change <= TableMirror::kHistoryLength; ++change) {
    mirror.Apply(Change("a", change + 2));
  }
  cr_assert_eq(Ask(mirror, cursor).status, StoreStatus::kHistoryGone);
  cr_assert_eq(Ask(mirror, cursor + 100000).status, StoreStatus::kHistoryGone);
  TableMirror restarted(kFirstCursor * 2);
  restarted.Confirm(1, kStart);
  cr_assert_eq(Ask(restarted, cursor).status, StoreStatus::kHistoryGone);
}

// Guards against replies that do not survive the wire.
Test(table_mirror, messages_are_encoded_whole) {
  TableMirror mirror(kFirstCursor);
  TableFollower::Change large = Change("a", 1);
  large.row.value.assign(300000, 'x');
  mirror.Apply(large);
  mirror.Confirm(9, kStart);
  const std::string bytes = Encode(Ask(mirror, 0, At(70)));
  const std::optional<MirrorReply> decoded = DecodeMirrorReply(bytes);
  cr_assert(decoded.has_value());
  cr_assert_eq(decoded->rows[0].value.size(), 300000u);
  cr_assert_eq(decoded->version, 9u);
  cr_assert_not(DecodeMirrorReply(bytes.substr(0, bytes.size() - 1)).has_value());
  cr_assert_not(DecodeMirrorRequest("x").has_value());
}

// Guards against calls to the store that grow with the fleet, and against daemons of one failure
// domain that wait for each other.
Test(reader_selection, one_daemon_of_each_domain_reads) {
  std::vector<PeerRecord> fleet;
  for (int index = 0; index < 30; ++index) {
    fleet.push_back(
        Peer("d" + std::to_string(index), index % 3 == 0 ? "a" : "b", index == 4 ? 0.5 : 0.25));
  }
  std::map<std::string, std::set<std::string>> sources;
  int readers = 0;
  for (const PeerRecord& self : fleet) {
    std::vector<PeerRecord> peers;
    for (const PeerRecord& peer : fleet) {
      if (peer.name != self.name) peers.push_back(peer);
    }
    ReaderSelection selection;
    const std::string source = selection.Choose(self, peers, kStart);
    if (source.empty()) ++readers;
    if (!source.empty()) sources[self.failure_domain].insert(source);
  }
  cr_assert_eq(readers, 2);
  cr_assert_eq(sources["a"].size(), 1u);
  cr_assert_eq(sources["b"].size(), 1u);
  cr_assert(*sources["b"].begin() == "d4:7200", "the strongest reads");
}

// Guards against a fleet that calls a store that is away, and against a daemon that stays with a
// reader that alone has lost the store.
Test(reader_selection, beside_an_old_copy_the_store_is_tried_now_and_then) {
  ReaderSelection selection({2, std::chrono::seconds(5), std::chrono::seconds(30)});
  const PeerRecord self = Peer("self", "a", 0.1);
  const std::vector<PeerRecord> peers = {Peer("p", "a", 0.5), Peer("q", "a", 0.25)};
  int direct = 0;
  for (int millis = 0; millis < 10000; millis += 100) {
    if (selection.Choose(self, peers, At(millis)).empty()) ++direct;
    selection.OnOldCopy("p:7200", At(millis));
  }
  cr_assert(direct > 4 && direct <= 16, "%d of 100", direct);
  selection.OnOldCopy("p:7200", At(20000));
  selection.OnStoreAnswered(At(20100));
  cr_assert(selection.Choose(self, peers, At(25000)).empty());
  cr_assert(selection.Choose(self, peers, At(25100)) == "q:7200");
}

// Guards against a daemon that goes down with its reader, and against small fleets that depend on
// one.
Test(reader_selection, trouble_with_the_reader_leads_to_the_store) {
  ReaderSelection selection({2, std::chrono::seconds(5), std::chrono::seconds(30)});
  const PeerRecord self = Peer("self", "a", 0.1);
  const std::vector<PeerRecord> peers = {Peer("p", "a", 0.5), Peer("q", "a", 0.25)};
  cr_assert(selection.Choose(self, peers, kStart) == "p:7200");
  selection.OnFailure("p:7200", kStart);
  cr_assert(selection.Choose(self, peers, At(4999)).empty());
  cr_assert(selection.Choose(self, peers, At(5000)) == "q:7200");
  cr_assert(selection.Choose(self, peers, At(30000)) == "p:7200");
  ReaderSelection small;
  cr_assert(small.Choose(self, peers, kStart).empty());
}
