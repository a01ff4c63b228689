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

/// The copy of one table that this daemon offers to its peers, with a short history of changes.
/// Positions in the history are versions of the store, so that a watcher can change between peers
/// and the store and needs only what it has missed. Not thread-safe.
class TableReplica {
 public:
  static constexpr std::size_t kHistoryLength = 512;

  /// Takes what a watcher reported.
  void Apply(const TableWatcher::Change& change);
  /// The copy is complete up to the store's version `version` and was current at `at`, on the clock
  /// `BootNow()`.
  void Confirm(std::uint64_t version, TimePoint at);

  /// Returns the reply to a request; nothing if there is no copy or no change yet and the request
  /// may wait.
  std::optional<TableReplicaReply> Answer(const TableReplicaRequest& request, bool may_wait,
                                          TimePoint now, TimePoint boot_now) const;

 private:
  const std::string& AllRows() const;

  std::map<std::string, StoreRow> m_rows;
  /// `m_rows` as they are sent; unset after a change.
  mutable std::optional<std::string> m_all_rows;
  std::deque<TableWatcher::Change> m_history;
  /// The history holds all changes after this version.
  std::uint64_t m_horizon = 0;
  std::uint64_t m_version = 0;
  std::optional<TimePoint> m_confirmed;
};

}  // namespace fulmarpoint
