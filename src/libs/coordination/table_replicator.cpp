#include "coordination/table_replicator.h"

#include <utility>

namespace fulmarpoint {

TableReplicator::TableReplicator(Options options, ReplicationSourceSelection& readers,
                                 std::uint64_t seed)
    : m_options(std::move(options)), m_readers(readers), m_follower(m_options.watcher, seed) {}

TableReplicator::SourceCall TableReplicator::Next(const PeerRecord& self,
                                                  const std::vector<PeerRecord>& peers,
                                                  TimePoint now) {
  std::string source = m_readers.Choose(self, peers, m_follower.IsComplete(), now);
  if (source != m_source) {
    m_source = std::move(source);
    m_follower.OnSourceChanged();
  }
  TableWatcher::NextCall next = m_follower.Next();
  const StoreRead* read = std::get_if<StoreRead>(&next.call);
  // The pages of one read are as old as the first of them.
  m_starts_read = read == nullptr || read->from.empty();
  SourceCall question;
  question.source = m_source;
  if (m_source.empty()) question.delay = next.delay;
  question.call = std::move(next.call);
  question.peer_wait = m_options.peer_wait;
  return question;
}

TableReplicator::ReplicationUpdate TableReplicator::OnReply(StoreReply reply, TimePoint asked,
                                                            TimePoint now) {
  ReplicationUpdate news;
  const StoreStatus status = reply.status;
  const Duration age = reply.age;
  const bool is_answer = status == StoreStatus::kOk || status == StoreStatus::kHistoryGone;
  if (m_starts_read) m_started = asked;
  if (!m_source.empty() && !is_answer) {
    OnPeerTrouble(status, now);
    return news;
  }
  if (!m_source.empty() && age > m_options.max_peer_age) m_readers.OnOldCopy(m_source, now);
  news.changes = m_follower.OnReply(std::move(reply), now);
  if (m_source.empty() && is_answer) m_readers.OnStoreAnswered(now);
  if (m_source.empty() && !is_answer) m_readers.OnStoreFailure(m_follower.Failures(), now);
  const bool is_current = status == StoreStatus::kOk && m_follower.IsUpToDate();
  if (is_current) news.current_at = m_started - age;
  return news;
}

void TableReplicator::OnPeerTrouble(StoreStatus status, TimePoint now) {
  // A peer without a copy is alive.
  if (status == StoreStatus::kRefused) {
    m_readers.OnOldCopy(m_source, now);
  } else {
    m_readers.OnFailure(m_source, now);
  }
}

}  // namespace fulmarpoint
