#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "coordination/table_watcher.h"
#include "protocol/table_replica_messages.h"
#include "utils/time.h"

namespace fulmarpoint {

/// The replica of one table that this daemon serves to its peers, with a bounded history of
/// changes. Positions in the history are those of the store, so that a client can switch between
/// peers and the store and fetch only the changes that it has missed. Not thread-safe.
class TableReplica {
 public:
  static constexpr std::size_t kHistoryLength = 512;

  /// Applies a change that a `TableWatcher` reported.
  void Apply(const TableWatcher::Change& change);
  /// Records that the replica is complete up to the store's position `position` and was current at
  /// `at`, on the clock `BootNow()`.
  void Confirm(StorePosition position, TimePoint at);

  /// Returns the reply to a request; nothing if there is no replica or no change yet and `may_wait`
  /// is set. `boot_now` is the time on the clock `BootNow()`.
  std::optional<TableReplicaReply> Answer(const TableReplicaRequest& request, bool may_wait,
                                          TimePoint now, TimePoint boot_now) const;

 private:
  const std::string& PackedRows() const;

  std::map<std::string, StoreRow> m_rows;
  /// All of `m_rows` as `PackRows` encodes them; unset after a change.
  mutable std::optional<std::string> m_packed_rows;
  std::deque<TableWatcher::Change> m_history;
  /// The history holds every change of the current epoch after this version.
  std::uint64_t m_history_base = 0;
  StorePosition m_position;
  std::optional<TimePoint> m_confirmed;
};

}  // namespace fulmarpoint
