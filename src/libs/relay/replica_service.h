#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "coordination/table_replica.h"
#include "transport/notification.h"
#include "transport/task.h"

namespace fulmarpoint {

/// Serves this daemon's replicas of the store's tables to its peers. Used on one strand.
class ReplicaService {
 public:
  explicit ReplicaService(const Executor& executor) : m_executor(executor) {}

  /// Announces that `table` will be replicated; requests for it may wait until it is.
  void AddTable(const std::string& table) { m_replicas.try_emplace(table); }
  /// Applies changes of `table` to its replica.
  void Apply(const std::string& table, const std::vector<TableWatcher::Change>& changes);
  /// The replica of `table` was current up to `position` at `at` on the clock `BootNow()`.
  void Confirm(const std::string& table, StorePosition position, TimePoint at);
  /// Replies to a peer's request, which may wait for a change. For a table that was not added
  /// the reply's status is `kRefused`.
  Task<TableReplicaReply> Answer(TableReplicaRequest request);

 private:
  Executor m_executor;
  std::map<std::string, TableReplica> m_replicas;
  /// Wakes the requests that wait for a replica or a change.
  std::vector<std::weak_ptr<Notification>> m_waiting;
};

}  // namespace fulmarpoint
