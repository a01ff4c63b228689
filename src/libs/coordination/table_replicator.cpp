#include "coordination/table_replicator.h"

#include <utility>

namespace fulmarpoint {

namespace {

// Such a peer answers at once, because it has no history of the later epoch.
constexpr Duration kOutdatedPeerPause = std::chrono::milliseconds(100);

}  // namespace

TableReplicator::TableReplicator(Options options, ReplicationSourceSelection& source_selection,
                                 std::uint64_t seed)
    : m_options(std::move(options)),
      m_source_selection(source_selection),
      m_watcher(m_options.watcher, seed) {}

void TableReplicator::SetOptions(Options options) {
  m_options = std::move(options);
  m_watcher.SetOptions(m_options.watcher);
}

TableReplicator::SourceCall TableReplicator::Next(const PeerRecord& self,
                                                  const std::vector<PeerRecord>& peers,
                                                  TimePoint now) {
  std::string source = m_source_selection.Choose(self, peers, m_watcher.IsComplete(), now);
  if (source != m_source) {
    m_source = std::move(source);
    m_watcher.OnSourceChanged();
  }
  TableWatcher::NextCall next = m_watcher.Next();
  const StoreRead* read = std::get_if<StoreRead>(&next.call);
  // All pages of a read are dated from its first page.
  m_starts_read = read == nullptr || read->from.empty();
  SourceCall source_call;
  source_call.source = m_source;
  if (m_source.empty()) source_call.delay = next.delay;
  if (std::exchange(m_was_outdated, false)) source_call.delay = kOutdatedPeerPause;
  source_call.call = std::move(next.call);
  source_call.peer_wait = m_options.peer_wait;
  return source_call;
}

TableReplicator::ReplicationUpdate TableReplicator::OnReply(StoreReply reply, TimePoint sent_at,
                                                            TimePoint now) {
  ReplicationUpdate update;
  const StoreStatus status = reply.status;
  const Duration age = reply.age;
  const bool is_answer = status == StoreStatus::kOk || status == StoreStatus::kHistoryGone;
  if (m_starts_read) m_started = sent_at;
  if (!m_source.empty() && !is_answer) {
    OnPeerFailure(status, now);
    return update;
  }
  const bool is_outdated = is_answer && reply.position.epoch < m_watcher.Epoch();
  if (!m_source.empty() && is_outdated) {
    // The peer has not met the restored store yet.
    m_was_outdated = true;
    m_source_selection.OnStaleReplica(m_source, now);
    return update;
  }
  if (!m_source.empty() && age > m_options.max_peer_age)
    m_source_selection.OnStaleReplica(m_source, now);
  update.changes = m_watcher.OnReply(std::move(reply), now);
  if (m_source.empty() && is_answer) m_source_selection.OnStoreAnswered(now);
  if (m_source.empty() && !is_answer) m_source_selection.OnStoreFailure(m_watcher.Failures(), now);
  const bool is_current = status == StoreStatus::kOk && !is_outdated && m_watcher.IsUpToDate();
  if (is_current) update.current_at = m_started - age;
  return update;
}

void TableReplicator::OnPeerFailure(StoreStatus status, TimePoint now) {
  // A peer that has no replica yet is still alive.
  if (status == StoreStatus::kRefused) {
    m_source_selection.OnStaleReplica(m_source, now);
  } else {
    m_source_selection.OnFailure(m_source, now);
  }
}

}  // namespace fulmarpoint
