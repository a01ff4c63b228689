#include "coordination/table_replica.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "protocol/table_replica_rows.h"

namespace fulmarpoint {

namespace {

TableReplicaRow ToPeerRow(const StoreRow& row) {
  return {row.key, row.value, row.version, row.removed, 0};
}

std::uint32_t MillisUntil(TimePoint time, TimePoint now) {
  const Duration left = std::max(Duration::zero(), time - now);
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(left).count());
}

}  // namespace

void TableReplica::Apply(const TableWatcher::Change& change) {
  m_packed_rows.reset();
  if (change.row.removed) {
    m_rows.erase(change.row.key);
  } else {
    m_rows[change.row.key] = change.row;
  }
  m_history.push_back(change);
  // A change can carry a version that is not above that of `m_position`, such as a removal without
  // a version. Raise it, because clients that are up to date request only later versions.
  std::uint64_t& version = m_history.back().row.version;
  version = std::max(version, m_position.version + 1);
  if (m_history.size() <= kHistoryLength) return;
  m_history_base = std::max(m_history_base, m_history.front().row.version);
  m_history.pop_front();
}

void TableReplica::Confirm(StorePosition position, TimePoint at) {
  if (!m_confirmed || position.epoch != m_position.epoch) {
    // The first read of an epoch doesn't show which rows were removed earlier, so the history
    // starts after it.
    m_history_base = position.version;
    m_history.clear();
  }
  m_position = position;
  m_confirmed = at;
}

std::optional<TableReplicaReply> TableReplica::Answer(const TableReplicaRequest& request,
                                                      bool may_wait, TimePoint now,
                                                      TimePoint boot_now) const {
  TableReplicaReply reply;
  if (!m_confirmed && may_wait) return std::nullopt;
  if (!m_confirmed) return reply;
  reply.position = m_position;
  const Duration age = boot_now - *m_confirmed;
  reply.age_ms = static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(age).count() + 1);
  reply.status = StoreStatus::kOk;
  if (request.after.version == 0) {
    reply.packed_rows = PackedRows();
    return reply;
  }
  const bool has_history =
      request.after.epoch == m_position.epoch && request.after.version >= m_history_base;
  if (!has_history) {
    reply.status = StoreStatus::kHistoryGone;
    return reply;
  }
  std::vector<TableReplicaRow> rows;
  for (const TableWatcher::Change& change : m_history) {
    if (change.row.version <= request.after.version) continue;
    rows.push_back(ToPeerRow(change.row));
    if (change.provisional) rows.back().provisional_for_ms = MillisUntil(change.until, now);
  }
  if (rows.empty() && may_wait) return std::nullopt;
  reply.packed_rows = PackRows(std::move(rows));
  return reply;
}

/// Cached, because daemons that start at the same time request the same rows.
const std::string& TableReplica::PackedRows() const {
  if (m_packed_rows) return *m_packed_rows;
  std::vector<TableReplicaRow> rows;
  rows.reserve(m_rows.size());
  for (const auto& [key, row] : m_rows) rows.push_back(ToPeerRow(row));
  m_packed_rows = PackRows(std::move(rows));
  return *m_packed_rows;
}

}  // namespace fulmarpoint
