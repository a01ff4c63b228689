#include <criterion/criterion.h>

#include <map>
#include <set>

#include "coordination/replication_source_selection.h"
#include "coordination/table_replica.h"
#include "protocol/relay_peer_request.h"
#include "protocol/table_replica_rows.h"

using namespace fulmarpoint;

namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};

TimePoint At(int milliseconds) { return kStart + std::chrono::milliseconds(milliseconds); }

TableWatcher::Change Change(const std::string& key, std::uint64_t version, bool removed = false) {
  TableWatcher::Change change;
  change.row.key = key;
  change.row.value = "v" + std::to_string(version);
  change.row.version = version;
  change.row.removed = removed;
  return change;
}

TableReplicaReply Ask(const TableReplica& mirror, std::uint64_t after, TimePoint now = kStart) {
  const std::optional<TableReplicaReply> reply = mirror.Answer({"t", after, 0}, false, now, now);
  cr_assert(reply.has_value());
  return *reply;
}

std::vector<TableReplicaRow> RowsOf(const TableReplicaReply& reply) {
  const std::optional<std::vector<TableReplicaRow>> rows = UnpackRows(reply.packed_rows);
  cr_assert(rows.has_value());
  return *rows;
}

ReplicationSourceSelection::Options SmallFleet() {
  ReplicationSourceSelection::Options options;
  options.min_fleet = 2;
  return options;
}

PeerRecord Peer(const std::string& name, const std::string& domain, double cores = 0.25) {
  return {name, 1, name + ":7200", name + ":8740", domain, cores};
}

}  // namespace

// Guards against peers that take a copy for current although it was never read.
Test(table_mirror, nothing_is_offered_before_the_copy_is_complete) {
  TableReplica mirror;
  mirror.Apply(Change("a", 1));
  cr_assert_eq(Ask(mirror, 0).status, StoreStatus::kRefused);
  cr_assert_not(mirror.Answer({"t", 0, 0}, true, kStart, kStart).has_value(), "it may come soon");
}

// Guards against a watcher that misses a change or a removal, or waits although there is one.
Test(table_mirror, followers_see_each_change) {
  TableReplica mirror;
  mirror.Apply(Change("a", 1));
  mirror.Apply(Change("b", 2));
  mirror.Confirm(2, kStart);
  const TableReplicaReply all = Ask(mirror, 0);
  cr_assert_eq(RowsOf(all).size(), 2u);
  cr_assert_not(mirror.Answer({"t", all.version, 0}, true, kStart, kStart).has_value());
  mirror.Apply(Change("a", 5, true));
  mirror.Apply(Change("c", 6));
  mirror.Confirm(6, kStart);
  const std::optional<TableReplicaReply> next =
      mirror.Answer({"t", all.version, 0}, true, kStart, kStart);
  cr_assert(next.has_value());
  cr_assert_eq(RowsOf(*next).size(), 2u);
  cr_assert(RowsOf(*next)[0].removed && RowsOf(*next)[0].key == "a" &&
            RowsOf(*next)[0].version == 5);
  cr_assert_eq(next->version, 6u);
  cr_assert_eq(RowsOf(Ask(mirror, 0)).size(), 2u, "b and c are left");
}

// Guards against a key that outlives its removal because a proof got younger on its way.
Test(table_mirror, the_age_of_the_copy_is_told) {
  TableReplica mirror;
  mirror.Confirm(2, kStart);
  cr_assert_geq(Ask(mirror, 0, At(1200)).age_ms, 1200u);
}

// Guards against changes that are skipped after a long pause or at another peer.
Test(table_mirror, gaps_in_the_history_lead_to_a_new_read) {
  TableReplica mirror;
  mirror.Apply(Change("a", 3));
  mirror.Confirm(10, kStart);
  cr_assert_eq(Ask(mirror, 9).status, StoreStatus::kHistoryGone, "removals before 10 are unknown");
  cr_assert_eq(Ask(mirror, 10).status, StoreStatus::kOk);
  for (std::uint64_t change = 0; change <= TableReplica::kHistoryLength; ++change) {
    mirror.Apply(Change("a", change + 11));
  }
  mirror.Confirm(1000, kStart);
  cr_assert_eq(Ask(mirror, 10).status, StoreStatus::kHistoryGone);
  cr_assert_eq(RowsOf(Ask(mirror, 11)).size(), TableReplica::kHistoryLength);
  TableReplica restarted;
  restarted.Confirm(1001, kStart);
  cr_assert_eq(Ask(restarted, 1000).status, StoreStatus::kHistoryGone);
}

// Guards against a watcher that is ahead of a peer and goes back, and against one that misses a
// change because its version is older than those that the peer has told already.
Test(table_mirror, positions_are_versions_of_the_store) {
  TableReplica behind;
  behind.Confirm(5, kStart);
  behind.Apply(Change("a", 7));
  behind.Confirm(7, kStart);
  cr_assert_eq(RowsOf(Ask(behind, 9)).size(), 0u);
  cr_assert_eq(Ask(behind, 9).version, 7u);
  // The platform gives no version for some removals.
  behind.Apply(Change("a", 0, true));
  behind.Confirm(12, kStart);
  cr_assert_eq(RowsOf(Ask(behind, 7)).size(), 1u);
}

// Guards against a fleet that loses all endpoints at once when their rows lapse in an outage of the
// store, because its followers do not know that the rows may come back.
Test(table_mirror, followers_wait_for_rows_that_may_come_back) {
  TableReplica mirror;
  mirror.Apply(Change("a", 1));
  mirror.Confirm(5, kStart);
  TableWatcher::Change lapsed = Change("a", 6, true);
  lapsed.provisional = true;
  lapsed.until = At(1700);
  mirror.Apply(lapsed);
  mirror.Confirm(6, kStart);
  const TableReplicaReply reply = Ask(mirror, 5, At(500));
  cr_assert_eq(RowsOf(reply).size(), 1u);
  cr_assert_eq(RowsOf(reply)[0].provisional_for_ms, 1200u);
  TableWatcher watcher(TableWatcher::Options(), 1);
  StoreRow row;
  row.key = "a";
  row.version = 1;
  watcher.OnReply({StoreStatus::kOk, {row}, 5}, At(0));
  row.version = 6;
  row.removed = true;
  row.provisional_for = std::chrono::milliseconds(RowsOf(reply)[0].provisional_for_ms);
  const std::vector<TableWatcher::Change> changes =
      watcher.OnReply({StoreStatus::kOk, {row}, 6}, At(501));
  cr_assert_eq(changes.size(), 1u);
  cr_assert(changes[0].provisional && changes[0].until == At(1701));
}

// Guards against replies that do not survive the wire.
Test(table_mirror, messages_are_encoded_whole) {
  TableReplica mirror;
  TableWatcher::Change large = Change("a", 1);
  large.row.value.assign(300000, 'x');
  mirror.Apply(large);
  mirror.Confirm(9, kStart);
  const std::string bytes = Encode(Ask(mirror, 0, At(70)));
  const std::optional<TableReplicaReply> decoded = DecodeTableReplicaReply(bytes);
  cr_assert(decoded.has_value());
  cr_assert_eq(RowsOf(*decoded)[0].value.size(), 300000u);
  cr_assert_eq(decoded->version, 9u);
  cr_assert_not(DecodeTableReplicaReply(bytes.substr(0, bytes.size() - 1)).has_value());
  cr_assert_not(DecodeRelayPeerRequest("x").has_value());
}

// Guards against a start of many daemons that their reader's link cannot carry: the rows of 3,000
// endpoints for 50 followers take 40 MB as the store writes them.
Test(table_mirror, whole_tables_are_small) {
  TableReplica mirror;
  constexpr std::uint64_t kRows = 3000;
  std::size_t bytes = 0;
  for (std::uint64_t row = 0; row < kRows; ++row) {
    TableWatcher::Change change = Change("i-" + std::to_string(row * 7919), row + 1);
    change.row.value = R"({"service":"drafting","address":"10.3.64.)" + std::to_string(row % 250) +
                       R"(:8769","zone":"kecs-c","version":"v1","slots":12,"state":"ready",)" +
                       R"("coldLeftMs":0,"seq":17,"born":17676727)" + std::to_string(row) + "}";
    bytes += change.row.value.size();
    mirror.Apply(change);
  }
  mirror.Confirm(kRows, kStart);
  const TableReplicaReply reply = Ask(mirror, 0);
  cr_assert_eq(RowsOf(reply).size(), kRows);
  cr_assert_leq(reply.packed_rows.size(), bytes / 4, "%zu of %zu", reply.packed_rows.size(), bytes);
  mirror.Apply(Change("new", kRows + 1));
  cr_assert_eq(RowsOf(Ask(mirror, 0)).size(), kRows + 1, "the packed rows are those of now");
}

// Guards against a crash or a huge allocation by damaged rows.
Test(table_mirror, damaged_rows_are_rejected_or_harmless) {
  constexpr std::uint64_t kSeed = 20261206;
  std::vector<TableReplicaRow> rows;
  for (int row = 0; row < 100; ++row) rows.push_back({"key", std::string(100, 'x'), 7, false, 0});
  const std::string packed = PackRows(rows);
  for (std::size_t size = 1; size < packed.size(); ++size) {
    cr_assert_not(UnpackRows(std::string_view(packed).substr(0, size)).has_value());
  }
  Random random(kSeed);
  for (int round = 0; round < 20000; ++round) {
    std::string damaged = packed;
    damaged[random() % damaged.size()] = static_cast<char>(random());
    const std::optional<std::vector<TableReplicaRow>> read = UnpackRows(damaged);
    if (read) cr_assert_leq(read->size(), 65535u, "seed %lu", kSeed);
  }
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
    ReplicationSourceSelection selection;
    const std::string source = selection.Choose(self, peers, true, kStart);
    if (source.empty()) ++readers;
    if (!source.empty()) sources[self.failure_domain].insert(source);
  }
  cr_assert_eq(readers, 2);
  cr_assert_eq(sources["a"].size(), 1u);
  cr_assert_eq(sources["b"].size(), 1u);
  cr_assert(*sources["b"].begin() == "d4:7200", "the strongest reads");
}

// Guards against a daemon that goes down with its reader, against one that stays with a reader that
// alone has lost the store, and against small fleets that depend on one.
Test(reader_selection, sources_in_trouble_are_left_in_order) {
  ReplicationSourceSelection selection(SmallFleet());
  const PeerRecord self = Peer("self", "a", 0.1);
  const std::vector<PeerRecord> peers = {Peer("p", "a", 0.5), Peer("q", "a", 0.25),
                                         Peer("r", "a", 0.2), Peer("s", "b", 0.5)};
  cr_assert(selection.Choose(self, peers, true, kStart) == "p:7200");
  selection.OnOldCopy("p:7200", kStart);
  cr_assert(selection.Choose(self, peers, true, kStart) == "q:7200");
  selection.OnFailure("q:7200", kStart);
  cr_assert(selection.Choose(self, peers, true, kStart) == "s:7200", "r is no reader");
  cr_assert(selection.Choose(self, peers, true, At(3000)) == "p:7200");
  selection.OnFailure("p:7200", At(3000));
  selection.OnFailure("s:7200", At(3000));
  cr_assert(selection.Choose(self, peers, true, At(3000)).empty(), "nobody answers");
  cr_assert(selection.Choose(self, peers, true, At(10000)) == "q:7200");
  ReplicationSourceSelection small;
  cr_assert(small.Choose(self, peers, true, kStart).empty());
}

// Guards against a reader that stays with a store that refuses it alone.
Test(reader_selection, a_reader_that_lost_the_store_follows_others) {
  ReplicationSourceSelection selection(SmallFleet());
  const PeerRecord self = Peer("self", "a", 0.5);
  const std::vector<PeerRecord> peers = {Peer("p", "a", 0.25), Peer("q", "a", 0.2)};
  cr_assert(selection.Choose(self, peers, true, kStart).empty());
  selection.OnStoreFailure(1, kStart);
  cr_assert(selection.Choose(self, peers, true, kStart).empty(), "one call may be lost");
  selection.OnStoreFailure(2, kStart);
  cr_assert(selection.Choose(self, peers, true, kStart) == "p:7200");
  cr_assert(selection.Choose(self, peers, true, At(1000)).empty(), "the store is tried again");
  selection.OnStoreFailure(1, At(1000));
  cr_assert(selection.Choose(self, peers, true, At(2999)) == "p:7200");
  cr_assert(selection.Choose(self, peers, true, At(3000)).empty());
  selection.OnStoreAnswered(At(3000));
  selection.OnStoreFailure(2, At(4000));
  cr_assert(selection.Choose(self, peers, true, At(5000)).empty(), "the rest is short again");
}

// Guards against a start that waits for daemons in trouble.
Test(reader_selection, a_daemon_without_a_copy_reads_soon) {
  ReplicationSourceSelection selection(SmallFleet());
  const PeerRecord self = Peer("self", "a", 0.1);
  const std::vector<PeerRecord> peers = {Peer("p", "a", 0.5), Peer("q", "a", 0.25),
                                         Peer("s", "b", 0.5)};
  cr_assert(selection.Choose(self, peers, false, kStart) == "p:7200");
  selection.OnOldCopy("p:7200", kStart);
  cr_assert(selection.Choose(self, peers, false, kStart) == "q:7200");
  selection.OnFailure("q:7200", kStart);
  cr_assert(selection.Choose(self, peers, false, kStart).empty());
  ReplicationSourceSelection reader(SmallFleet());
  cr_assert(reader.Choose(peers[1], {self, peers[0], peers[2]}, false, kStart).empty());
}

// Guards against a fleet that calls a store that is away, and against one that never finds it
// again.
Test(reader_selection, beside_old_copies_the_store_is_tried_now_and_then) {
  ReplicationSourceSelection selection(SmallFleet());
  const PeerRecord self = Peer("self", "a", 0.1);
  const std::vector<PeerRecord> peers = {Peer("p", "a", 0.5), Peer("q", "a", 0.25)};
  int direct = 0;
  int trials = 0;
  bool was_direct = false;
  for (int millis = 0; millis < 20000; millis += 100) {
    selection.OnOldCopy("p:7200", At(millis));
    selection.OnOldCopy("q:7200", At(millis));
    const bool is_direct = selection.Choose(self, peers, true, At(millis)).empty();
    if (is_direct) ++direct;
    if (is_direct && !was_direct) ++trials;
    was_direct = is_direct;
  }
  cr_assert(trials >= 7 && trials <= 8, "%d trials", trials);
  cr_assert_leq(direct, trials * 3);
}

// Guards against a daemon that leaves the store although it alone has it, because its trial is
// over.
Test(reader_selection, a_trial_that_succeeds_goes_on) {
  ReplicationSourceSelection selection(SmallFleet());
  const PeerRecord self = Peer("self", "a", 0.1);
  const std::vector<PeerRecord> peers = {Peer("p", "a", 0.5), Peer("q", "a", 0.25)};
  int millis = 0;
  for (bool is_direct = false; !is_direct; millis += 100) {
    selection.OnOldCopy("p:7200", At(millis));
    selection.OnOldCopy("q:7200", At(millis));
    is_direct = selection.Choose(self, peers, true, At(millis)).empty();
    cr_assert_lt(millis, 3000);
  }
  selection.OnStoreAnswered(At(millis));
  selection.OnOldCopy("p:7200", At(millis + 1000));
  selection.OnOldCopy("q:7200", At(millis + 1000));
  cr_assert(selection.Choose(self, peers, true, At(millis + 1900)).empty());
}
