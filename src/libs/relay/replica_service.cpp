#include "relay/replica_service.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace fulmarpoint {

namespace {

constexpr Duration kMaxWait = std::chrono::seconds(10);

}  // namespace

void ReplicaService::Apply(const std::string& table,
                           const std::vector<TableWatcher::Change>& changes) {
  TableReplica& replica = m_replicas[table];
  for (const TableWatcher::Change& change : changes) replica.Apply(change);
}

void ReplicaService::Confirm(const std::string& table, StorePosition position, TimePoint at) {
  m_replicas[table].Confirm(position, at);
  const std::vector<std::weak_ptr<Notification>> waiting = std::exchange(m_waiting, {});
  for (const std::weak_ptr<Notification>& weak : waiting) {
    if (const std::shared_ptr<Notification> notification = weak.lock()) notification->Notify();
  }
}

Task<TableReplicaReply> ReplicaService::Answer(TableReplicaRequest request) {
  const Duration wait = std::min<Duration>(kMaxWait, std::chrono::milliseconds(request.wait_ms));
  const TimePoint end = SteadyNow() + wait;
  while (true) {
    const auto replica = m_replicas.find(request.table);
    if (replica == m_replicas.end()) co_return TableReplicaReply();
    const TimePoint now = SteadyNow();
    std::optional<TableReplicaReply> reply =
        replica->second.Answer(request, now < end, now, BootNow());
    if (reply) co_return std::move(*reply);
    const std::shared_ptr<Notification> notification = std::make_shared<Notification>(m_executor);
    m_waiting.erase(
        std::remove_if(m_waiting.begin(), m_waiting.end(),
                       [](const std::weak_ptr<Notification>& weak) { return weak.expired(); }),
        m_waiting.end());
    m_waiting.push_back(notification);
    co_await notification->WaitFor(end - now);
  }
}

}  // namespace fulmarpoint
