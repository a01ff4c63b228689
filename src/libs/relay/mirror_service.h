#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "coordination/table_mirror.h"
#include "transport/notification.h"
#include "transport/task.h"

namespace fulmarpoint {

/// Offers this daemon's copies of the store's tables to its peers. Used on one strand.
class ReplicaService {
 public:
  explicit ReplicaService(const Executor& executor) : m_executor(executor) {}

  /// Copies of `table` will follow; peers that ask for one before may wait.
  void AddTable(const std::string& table) { m_replicas.try_emplace(table); }
  /// Takes what a feed reported about `table`.
  void Apply(const std::string& table, const std::vector<TableFollower::Change>& changes);
  void Confirm(const std::string& table, std::uint64_t version, TimePoint at);
  /// Answers a peer's request, which may wait for a change.
  Task<MirrorReply> Answer(MirrorRequest request);

 private:
  Executor m_executor;
  std::map<std::string, TableMirror> m_replicas;
  /// Requests that wait for a copy or a change.
  std::vector<std::weak_ptr<Notification>> m_waiting;
};

}  // namespace fulmarpoint
