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

TableReplicaReply Ask(const TableReplica& replica, std::uint64_t after, TimePoint now = kStart) {
  const std::optional<TableReplicaReply> reply =
      replica.Answer({"t", StorePosition{0, after}, 0}, false, now, now);
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

// Guards against serving a replica that was never read completely.
Test(table_replica, nothing_is_served_before_the_replica_is_complete) {
  TableReplica replica;
  replica.Apply(Change("a", 1));
  cr_assert_eq(Ask(replica, 0).status, StoreStatus::kRefused);
  cr_assert_not(replica.Answer({"t", StorePosition(), 0}, true, kStart, kStart).has_value(),
                "the replica may be complete soon");
}

// Guards against a client that misses a change or a removal, or waits although there is one.
Test(table_replica, clients_receive_each_change) {
  TableReplica replica;
  replica.Apply(Change("a", 1));
  replica.Apply(Change("b", 2));
  replica.Confirm(StorePosition{0, 2}, kStart);
  const TableReplicaReply all = Ask(replica, 0);
  cr_assert_eq(RowsOf(all).size(), 2u);
  cr_assert_not(replica.Answer({"t", all.position, 0}, true, kStart, kStart).has_value());
  replica.Apply(Change("a", 5, true));
  replica.Apply(Change("c", 6));
  replica.Confirm(StorePosition{0, 6}, kStart);
  const std::optional<TableReplicaReply> next =
      replica.Answer({"t", all.position, 0}, true, kStart, kStart);
  cr_assert(next.has_value());
  cr_assert_eq(RowsOf(*next).size(), 2u);
  cr_assert(RowsOf(*next)[0].removed && RowsOf(*next)[0].key == "a" &&
            RowsOf(*next)[0].version == 5);
  cr_assert_eq(next->position.version, 6u);
  cr_assert_eq(RowsOf(Ask(replica, 0)).size(), 2u, "b and c are left");
}

// Guards against a key that works after its removal because a confirmation was passed on as younger
// than it is.
Test(table_replica, the_age_of_the_replica_is_reported) {
  TableReplica replica;
  replica.Confirm(StorePosition{0, 2}, kStart);
  cr_assert_geq(Ask(replica, 0, At(1200)).age_ms, 1200u);
}

// Guards against changes that are missed after a long pause or a switch to another peer.
Test(table_replica, gaps_in_the_history_lead_to_a_new_read) {
  TableReplica replica;
  replica.Apply(Change("a", 3));
  replica.Confirm(StorePosition{0, 10}, kStart);
  cr_assert_eq(Ask(replica, 9).status, StoreStatus::kHistoryGone, "removals before 10 are unknown");
  cr_assert_eq(Ask(replica, 10).status, StoreStatus::kOk);
  for (std::uint64_t change = 0; change <= TableReplica::kHistoryLength; ++change) {
    replica.Apply(Change("a", change + 11));
  }
  replica.Confirm(StorePosition{0, 1000}, kStart);
  cr_assert_eq(Ask(replica, 10).status, StoreStatus::kHistoryGone);
  cr_assert_eq(RowsOf(Ask(replica, 11)).size(), TableReplica::kHistoryLength);
  TableReplica restarted;
  restarted.Confirm(StorePosition{0, 1001}, kStart);
  cr_assert_eq(Ask(restarted, 1000).status, StoreStatus::kHistoryGone);
}

// Guards against a client that goes back when it is ahead of a peer, and against one that misses a
// change because its version is older than those that the peer has already sent.
Test(table_replica, positions_are_versions_of_the_store) {
  TableReplica behind;
  behind.Confirm(StorePosition{0, 5}, kStart);
  behind.Apply(Change("a", 7));
  behind.Confirm(StorePosition{0, 7}, kStart);
  cr_assert_eq(RowsOf(Ask(behind, 9)).size(), 0u);
  cr_assert_eq(Ask(behind, 9).position.version, 7u);
  // The platform gives no version for some removals.
  behind.Apply(Change("a", 0, true));
  behind.Confirm(StorePosition{0, 12}, kStart);
  cr_assert_eq(RowsOf(Ask(behind, 7)).size(), 1u);
}

// Guards against a fleet that loses all endpoints at once when their rows expire in an outage of
// the store, because the replicas do not pass on that the rows may come back.
Test(table_replica, clients_wait_for_rows_that_may_come_back) {
  TableReplica replica;
  replica.Apply(Change("a", 1));
  replica.Confirm(StorePosition{0, 5}, kStart);
  TableWatcher::Change lapsed = Change("a", 6, true);
  lapsed.provisional = true;
  lapsed.until = At(1700);
  replica.Apply(lapsed);
  replica.Confirm(StorePosition{0, 6}, kStart);
  const TableReplicaReply reply = Ask(replica, 5, At(500));
  cr_assert_eq(RowsOf(reply).size(), 1u);
  cr_assert_eq(RowsOf(reply)[0].provisional_for_ms, 1200u);
  TableWatcher watcher(TableWatcher::Options(), 1);
  StoreRow row;
  row.key = "a";
  row.version = 1;
  watcher.OnReply({StoreStatus::kOk, {row}, StorePosition{0, 5}}, At(0));
  row.version = 6;
  row.removed = true;
  row.provisional_for = std::chrono::milliseconds(RowsOf(reply)[0].provisional_for_ms);
  const std::vector<TableWatcher::Change> changes =
      watcher.OnReply({StoreStatus::kOk, {row}, StorePosition{0, 6}}, At(501));
  cr_assert_eq(changes.size(), 1u);
  cr_assert(changes[0].provisional && changes[0].until == At(1701));
}

// Guards against a peer that continues from a version of before the store was restored, which means
// another change since.
Test(table_replica, positions_of_another_epoch_lead_to_a_new_read) {
  TableReplica replica;
  replica.Apply(Change("a", 7));
  replica.Confirm(StorePosition{1, 9}, kStart);
  replica.Apply(Change("a", 3));
  replica.Confirm(StorePosition{2, 5}, kStart);
  const auto status_after = [&replica](StorePosition after) {
    return replica.Answer({"t", after, 0}, false, kStart, kStart)->status;
  };
  cr_assert_eq(status_after({1, 9}), StoreStatus::kHistoryGone);
  cr_assert_eq(status_after({1, 5}), StoreStatus::kHistoryGone);
  cr_assert_eq(status_after({3, 5}), StoreStatus::kHistoryGone, "the peer has not met it yet");
  cr_assert_eq(status_after({2, 5}), StoreStatus::kOk);
  replica.Apply(Change("a", 6));
  replica.Confirm(StorePosition{2, 6}, kStart);
  const TableReplicaReply next = *replica.Answer({"t", {2, 5}, 0}, false, kStart, kStart);
  cr_assert_eq(RowsOf(next).size(), 1u);
  cr_assert_eq(RowsOf(next)[0].version, 6u);
}

// Guards against replies that change when they are encoded and decoded.
Test(table_replica, messages_round_trip) {
  TableReplica replica;
  TableWatcher::Change large = Change("a", 1);
  large.row.value.assign(300000, 'x');
  replica.Apply(large);
  replica.Confirm(StorePosition{0, 9}, kStart);
  const std::string bytes = Encode(Ask(replica, 0, At(70)));
  const std::optional<TableReplicaReply> decoded = DecodeTableReplicaReply(bytes);
  cr_assert(decoded.has_value());
  cr_assert_eq(RowsOf(*decoded)[0].value.size(), 300000u);
  cr_assert_eq(decoded->position.version, 9u);
  cr_assert_not(DecodeTableReplicaReply(bytes.substr(0, bytes.size() - 1)).has_value());
  cr_assert_not(DecodeRelayPeerRequest("x").has_value());
}

// Guards against a start of many daemons that exceeds the bandwidth of their direct reader: the
// rows of 3,000 endpoints for 50 daemons take 40 MB in the store's encoding.
Test(table_replica, whole_tables_are_compressed) {
  TableReplica replica;
  constexpr std::uint64_t kRows = 3000;
  std::size_t bytes = 0;
  for (std::uint64_t row = 0; row < kRows; ++row) {
    TableWatcher::Change change = Change("i-" + std::to_string(row * 7919), row + 1);
    change.row.value = R"({"service":"drafting","address":"10.3.64.)" + std::to_string(row % 250) +
                       R"(:8769","zone":"kecs-c","version":"v1","slots":12,"state":"ready",)" +
                       R"("coldLeftMs":0,"seq":17,"born":17676727)" + std::to_string(row) + "}";
    bytes += change.row.value.size();
    replica.Apply(change);
  }
  replica.Confirm(StorePosition{0, kRows}, kStart);
  const TableReplicaReply reply = Ask(replica, 0);
  cr_assert_eq(RowsOf(reply).size(), kRows);
  cr_assert_leq(reply.packed_rows.size(), bytes / 4, "%zu of %zu", reply.packed_rows.size(), bytes);
  replica.Apply(Change("new", kRows + 1));
  cr_assert_eq(RowsOf(Ask(replica, 0)).size(), kRows + 1, "the packed rows are current");
}

// Guards against a crash or a huge allocation caused by corrupt rows.
Test(table_replica, corrupt_rows_are_rejected_or_harmless) {
  constexpr std::uint64_t kSeed = 20261206;
  std::vector<TableReplicaRow> rows;
  for (int row = 0; row < 100; ++row) rows.push_back({"key", std::string(100, 'x'), 7, false, 0});
  const std::string packed = PackRows(rows);
  for (std::size_t size = 1; size < packed.size(); ++size) {
    cr_assert_not(UnpackRows(std::string_view(packed).substr(0, size)).has_value());
  }
  Random random(kSeed);
  for (int round = 0; round < 20000; ++round) {
    std::string corrupt = packed;
    corrupt[random() % corrupt.size()] = static_cast<char>(random());
    const std::optional<std::vector<TableReplicaRow>> read = UnpackRows(corrupt);
    if (read) cr_assert_leq(read->size(), 65535u, "seed %lu", kSeed);
  }
}

// Guards against calls to the store that grow with the fleet, and against daemons of one failure
// domain that replicate from each other in a circle.
Test(replication_source_selection, one_daemon_of_each_domain_reads_the_store) {
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
  cr_assert(*sources["b"].begin() == "d4:7200", "the daemon with most cores reads the store");
}

// Guards against a daemon that fails with its direct reader, against one that stays with a direct
// reader that alone cannot reach the store, and against a small fleet that depends on one daemon.
Test(replication_source_selection, unhealthy_sources_are_skipped_in_order) {
  ReplicationSourceSelection selection(SmallFleet());
  const PeerRecord self = Peer("self", "a", 0.1);
  const std::vector<PeerRecord> peers = {Peer("p", "a", 0.5), Peer("q", "a", 0.25),
                                         Peer("r", "a", 0.2), Peer("s", "b", 0.5)};
  cr_assert(selection.Choose(self, peers, true, kStart) == "p:7200");
  selection.OnStaleReplica("p:7200", kStart);
  cr_assert(selection.Choose(self, peers, true, kStart) == "q:7200");
  selection.OnFailure("q:7200", kStart);
  cr_assert(selection.Choose(self, peers, true, kStart) == "s:7200", "r is no direct reader");
  cr_assert(selection.Choose(self, peers, true, At(3000)) == "p:7200");
  selection.OnFailure("p:7200", At(3000));
  selection.OnFailure("s:7200", At(3000));
  cr_assert(selection.Choose(self, peers, true, At(3000)).empty(), "nobody answers");
  cr_assert(selection.Choose(self, peers, true, At(10000)) == "q:7200");
  ReplicationSourceSelection small;
  cr_assert(small.Choose(self, peers, true, kStart).empty());
}

// Guards against a direct reader that stays with the store although it alone is rejected there.
Test(replication_source_selection, a_direct_reader_without_the_store_uses_peers) {
  ReplicationSourceSelection selection(SmallFleet());
  const PeerRecord self = Peer("self", "a", 0.5);
  const std::vector<PeerRecord> peers = {Peer("p", "a", 0.25), Peer("q", "a", 0.2)};
  cr_assert(selection.Choose(self, peers, true, kStart).empty());
  selection.OnStoreFailure(1, kStart);
  cr_assert(selection.Choose(self, peers, true, kStart).empty(), "one call may be lost");
  selection.OnStoreFailure(2, kStart);
  cr_assert(selection.Choose(self, peers, true, kStart) == "p:7200");
  cr_assert(selection.Choose(self, peers, true, At(1000)).empty(), "the store is read again");
  selection.OnStoreFailure(1, At(1000));
  cr_assert(selection.Choose(self, peers, true, At(2999)) == "p:7200");
  cr_assert(selection.Choose(self, peers, true, At(3000)).empty());
  selection.OnStoreAnswered(At(3000));
  selection.OnStoreFailure(2, At(4000));
  cr_assert(selection.Choose(self, peers, true, At(5000)).empty(), "the cool-down is short again");
}

// Guards against a start that waits for unhealthy daemons.
Test(replication_source_selection, a_daemon_without_a_replica_reads_soon) {
  ReplicationSourceSelection selection(SmallFleet());
  const PeerRecord self = Peer("self", "a", 0.1);
  const std::vector<PeerRecord> peers = {Peer("p", "a", 0.5), Peer("q", "a", 0.25),
                                         Peer("s", "b", 0.5)};
  cr_assert(selection.Choose(self, peers, false, kStart) == "p:7200");
  selection.OnStaleReplica("p:7200", kStart);
  cr_assert(selection.Choose(self, peers, false, kStart) == "q:7200");
  selection.OnFailure("q:7200", kStart);
  cr_assert(selection.Choose(self, peers, false, kStart).empty());
  ReplicationSourceSelection direct_reader(SmallFleet());
  cr_assert(direct_reader.Choose(peers[1], {self, peers[0], peers[2]}, false, kStart).empty());
}

// Guards against a fleet that keeps calling an unreachable store, and against one that never
// reconnects to it.
Test(replication_source_selection, the_store_is_probed_while_replicas_are_stale) {
  ReplicationSourceSelection selection(SmallFleet());
  const PeerRecord self = Peer("self", "a", 0.1);
  const std::vector<PeerRecord> peers = {Peer("p", "a", 0.5), Peer("q", "a", 0.25)};
  int direct = 0;
  int probes = 0;
  bool was_direct = false;
  for (int millis = 0; millis < 20000; millis += 100) {
    selection.OnStaleReplica("p:7200", At(millis));
    selection.OnStaleReplica("q:7200", At(millis));
    const bool is_direct = selection.Choose(self, peers, true, At(millis)).empty();
    if (is_direct) ++direct;
    if (is_direct && !was_direct) ++probes;
    was_direct = is_direct;
  }
  cr_assert(probes >= 7 && probes <= 8, "%d trials", probes);
  cr_assert_leq(direct, probes * 3);
}

// Guards against a daemon that leaves the store when its probe ends, although it alone reaches the
// store.
Test(replication_source_selection, a_successful_probe_continues_as_direct_reading) {
  ReplicationSourceSelection selection(SmallFleet());
  const PeerRecord self = Peer("self", "a", 0.1);
  const std::vector<PeerRecord> peers = {Peer("p", "a", 0.5), Peer("q", "a", 0.25)};
  int millis = 0;
  for (bool is_direct = false; !is_direct; millis += 100) {
    selection.OnStaleReplica("p:7200", At(millis));
    selection.OnStaleReplica("q:7200", At(millis));
    is_direct = selection.Choose(self, peers, true, At(millis)).empty();
    cr_assert_lt(millis, 3000);
  }
  selection.OnStoreAnswered(At(millis));
  selection.OnStaleReplica("p:7200", At(millis + 1000));
  selection.OnStaleReplica("q:7200", At(millis + 1000));
  cr_assert(selection.Choose(self, peers, true, At(millis + 1900)).empty());
}
