#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "coordination/table_replicator.h"
#include "relay/relay_wire.h"
#include "relay/replica_client.h"
#include "transport/task.h"

namespace fulmarpoint {

/// Keeps a replica of one table up to date: performs the calls that a `TableReplicator` chooses, to
/// the store or to a peer, and reports the changes. Used on one strand.
class TableReplication {
 public:
  using Options = TableReplicator::Options;

  struct Handlers {
    /// Return this daemon's record, and those of the daemons that may be replication sources.
    std::function<const PeerRecord&()> self;
    std::function<std::vector<PeerRecord>(TimePoint now)> peers;
    /// Called with the rows that have changed.
    std::function<void(const std::vector<TableWatcher::Change>&)> on_changes;
    /// Called after `on_changes`: the replica, complete up to the store's position `position`, was
    /// current at `at` on the clock `BootNow()`.
    std::function<void(StorePosition position, TimePoint at)> on_confirmed;
  };

  /// `replica_client` and `source_selection` must outlive this.
  TableReplication(const Executor& executor, const Store& store, ReplicaClient& replica_client,
                   ReplicationSourceSelection& source_selection, Options options, Handlers handlers,
                   std::uint64_t seed);
  /// Stops.
  ~TableReplication();
  TableReplication(const TableReplication&) = delete;
  TableReplication& operator=(const TableReplication&) = delete;

  void Start();
  /// Replaces the options from the next call on. Precondition: the table is the same.
  void SetOptions(Options options);
  /// Returns the address of the peer that is the replication source; empty for the store.
  const std::string& Source() const;

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
