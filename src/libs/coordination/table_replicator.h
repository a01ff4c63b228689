#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coordination/replication_source_selection.h"
#include "coordination/table_watcher.h"

namespace fulmarpoint {

/// Follows one table at the store or at a peer's copy, whichever `ReplicationSourceSelection`
/// names, and judges from each reply whether to look for another source. Not thread-safe.
class TableReplicator {
 public:
  struct Options {
    TableWatcher::Options watcher;
    /// How long a watch of a peer's copy waits for a change.
    Duration peer_wait = std::chrono::milliseconds(300);
    /// A peer's copy that was last known to be current longer ago is called old.
    Duration max_peer_age = std::chrono::milliseconds(3500);
  };

  /// What to ask next, and of whom.
  struct SourceCall {
    /// Address of the peer; empty for the store.
    std::string source;
    /// Pause before it is asked.
    Duration delay{};
    TableWatcher::Call call;
    /// How long a peer may wait for a change.
    Duration peer_wait{};
  };

  /// What a reply has brought.
  struct ReplicationUpdate {
    std::vector<TableWatcher::Change> changes;
    /// The copy was current at this time, on the clock `BootNow()`.
    std::optional<TimePoint> current_at;
  };

  /// `readers` is shared by the tables of one daemon and must outlive this.
  TableReplicator(Options options, ReplicationSourceSelection& readers, std::uint64_t seed);

  /// `self` is this daemon and `peers` are the others that are listed.
  SourceCall Next(const PeerRecord& self, const std::vector<PeerRecord>& peers, TimePoint now);
  /// Takes the reply to the last question, which was asked at `asked` on the clock `BootNow()`.
  ReplicationUpdate OnReply(StoreReply reply, TimePoint asked, TimePoint now);

  /// Returns the address of the peer that is followed; empty for the store.
  const std::string& Source() const { return m_source; }
  /// Returns whether the table has been read once.
  bool IsComplete() const { return m_follower.IsComplete(); }
  /// Returns the store's version up to which the copy is complete.
  std::uint64_t Version() const { return m_follower.Version(); }
  /// Returns whether the last call to the store succeeded.
  bool IsConnected() const { return m_follower.Failures() == 0; }

 private:
  void OnPeerTrouble(StoreStatus status, TimePoint now);

  Options m_options;
  ReplicationSourceSelection& m_readers;
  TableWatcher m_follower;
  std::string m_source;
  /// When the read in progress, or the last call, was begun.
  TimePoint m_started{};
  bool m_starts_read = true;
};

}  // namespace fulmarpoint
