#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coordination/replication_source_selection.h"
#include "coordination/table_watcher.h"

namespace fulmarpoint {

/// Replicates one table from the store or from a peer's replica, as `ReplicationSourceSelection`
/// chooses, and reports failures and stale replicas back to it. Not thread-safe.
class TableReplicator {
 public:
  struct Options {
    TableWatcher::Options watcher;
    /// Longest time that a watch of a peer's replica waits for a change.
    Duration peer_wait = std::chrono::milliseconds(300);
    /// A peer's replica that was confirmed current longer ago than this is stale.
    Duration max_peer_age = std::chrono::milliseconds(3500);
  };

  /// The next call and its source.
  struct SourceCall {
    /// Address of the peer; empty for the store.
    std::string source;
    /// Pause before the call.
    Duration delay{};
    TableWatcher::Call call;
    /// Longest time that a peer may wait for a change.
    Duration peer_wait{};
  };

  /// The result of a reply.
  struct ReplicationUpdate {
    std::vector<TableWatcher::Change> changes;
    /// Time at which the replica was current, on the clock `BootNow()`; unset if unknown.
    std::optional<TimePoint> current_at;
  };

  /// `source_selection` is shared by the tables of one daemon and must outlive this object.
  TableReplicator(Options options, ReplicationSourceSelection& source_selection,
                  std::uint64_t seed);

  /// Replaces the options from the next call on. Precondition: the table is the same.
  void SetOptions(Options options);

  /// Returns the next call. `self` is this daemon, and `peers` are the other daemons that the store
  /// lists.
  SourceCall Next(const PeerRecord& self, const std::vector<PeerRecord>& peers, TimePoint now);
  /// Processes the reply to the last call, which was sent at `sent_at` on the clock `BootNow()`.
  ReplicationUpdate OnReply(StoreReply reply, TimePoint sent_at, TimePoint now);

  /// Returns the address of the peer that the table is replicated from; empty for the store.
  const std::string& Source() const { return m_source; }
  /// Returns whether all rows have been read at least once.
  bool IsComplete() const { return m_watcher.IsComplete(); }
  /// Returns the store's position up to which the replica is complete.
  StorePosition Position() const { return m_watcher.Position(); }
  /// Returns the latest epoch of the store that a reply has shown.
  std::uint64_t Epoch() const { return m_watcher.Epoch(); }
  /// Returns whether the last call to the store succeeded.
  bool IsConnected() const { return m_watcher.Failures() == 0; }

 private:
  void OnPeerFailure(StoreStatus status, TimePoint now);

  Options m_options;
  ReplicationSourceSelection& m_source_selection;
  TableWatcher m_watcher;
  std::string m_source;
  /// Start of the read in progress, or of the last call.
  TimePoint m_started{};
  bool m_starts_read = true;
  /// The last reply was a peer's of an earlier epoch of the store.
  bool m_was_outdated = false;
};

}  // namespace fulmarpoint
