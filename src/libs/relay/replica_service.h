#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "coordination/table_replica.h"
#include "transport/notification.h"
#include "transport/task.h"

namespace fulmarpoint {

/// Offers this daemon's copies of the store's tables to its peers. Used on one strand.
class MirrorService {
 public:
  explicit MirrorService(const Executor& executor) : m_executor(executor) {}

  /// Copies of `table` will follow; peers that ask for one before may wait.
  void Offer(const std::string& table) { m_mirrors.try_emplace(table); }
  /// Takes what a feed reported about `table`.
  void Apply(const std::string& table, const std::vector<TableWatcher::Change>& changes);
  void Confirm(const std::string& table, std::uint64_t version, TimePoint at);
  /// Answers a peer's request, which may wait for a change.
  Task<TableReplicaReply> Answer(TableReplicaRequest request);

 private:
  Executor m_executor;
  std::map<std::string, TableReplica> m_mirrors;
  /// Requests that wait for a copy or a change.
  std::vector<std::weak_ptr<Notification>> m_waiting;
};

}  // namespace fulmarpoint
