#include "coordination/table_mirror.h"

namespace fulmarpoint {

void TableMirror::Apply(const TableFollower::Change& change) {
  if (change.row.removed) {
    m_rows.erase(change.row.key);
  } else {
    m_rows[change.row.key] = change.row;
  }
  m_history.emplace_back(++m_cursor, change.row);
  if (m_history.size() <= kHistoryLength) return;
  m_horizon = m_history.front().first;
  m_history.pop_front();
}

void TableMirror::Confirm(std::uint64_t version, TimePoint at) {
  m_version = version;
  m_confirmed = at;
}

std::optional<MirrorReply> TableMirror::Answer(const MirrorRequest& request, bool may_wait,
                                               TimePoint boot_now) const {
  MirrorReply reply;
  if (!m_confirmed) return reply;
  reply.cursor = m_cursor;
  reply.version = m_version;
  const Duration age = boot_now - *m_confirmed;
  reply.age_ms = static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(age).count() + 1);
  reply.status = StoreStatus::kOk;
  if (request.after == 0) {
    for (const auto& [key, row] : m_rows) AddRow(row, reply);
    return reply;
  }
  if (request.after < m_horizon || request.after > m_cursor) {
    reply.status = StoreStatus::kHistoryGone;
    return reply;
  }
  if (request.after == m_cursor && may_wait) return std::nullopt;
  for (const auto& [cursor, row] : m_history) {
    if (cursor > request.after) AddRow(row, reply);
  }
  return reply;
}

void TableMirror::AddRow(const StoreRow& row, MirrorReply& reply) const {
  reply.rows.push_back({row.key, row.value, row.version, row.removed});
}

}  // namespace fulmarpoint
