#include "relay/replica_service.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace fulmarpoint {

namespace {

constexpr Duration kLongestWait = std::chrono::seconds(10);

}  // namespace

void MirrorService::Apply(const std::string& table,
                          const std::vector<TableWatcher::Change>& changes) {
  TableReplica& mirror = m_mirrors[table];
  for (const TableWatcher::Change& change : changes) mirror.Apply(change);
}

void MirrorService::Confirm(const std::string& table, std::uint64_t version, TimePoint at) {
  m_mirrors[table].Confirm(version, at);
  const std::vector<std::weak_ptr<Notification>> waiting = std::exchange(m_waiting, {});
  for (const std::weak_ptr<Notification>& weak : waiting) {
    if (const std::shared_ptr<Notification> notification = weak.lock()) notification->Notify();
  }
}

Task<TableReplicaReply> MirrorService::Answer(TableReplicaRequest request) {
  const Duration wait =
      std::min<Duration>(kLongestWait, std::chrono::milliseconds(request.wait_ms));
  const TimePoint end = SteadyNow() + wait;
  while (true) {
    const auto mirror = m_mirrors.find(request.table);
    if (mirror == m_mirrors.end()) co_return TableReplicaReply();
    const TimePoint now = SteadyNow();
    std::optional<TableReplicaReply> reply =
        mirror->second.Answer(request, now < end, now, BootNow());
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
