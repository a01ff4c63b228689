#include "coordination/table_replica.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "protocol/table_replica_rows.h"

namespace fulmarpoint {

namespace {

TableReplicaRow MirrorRowOf(const StoreRow& row) {
  return {row.key, row.value, row.version, row.removed, 0};
}

std::uint32_t MillisUntil(TimePoint time, TimePoint now) {
  const Duration left = std::max(Duration::zero(), time - now);
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(left).count());
}

}  // namespace

void TableReplica::Apply(const TableWatcher::Change& change) {
  m_all_rows.reset();
  if (change.row.removed) {
    m_rows.erase(change.row.key);
  } else {
    m_rows[change.row.key] = change.row;
  }
  m_history.push_back(change);
  // Followers that have all of this copy must see the change, whatever its version.
  std::uint64_t& version = m_history.back().row.version;
  version = std::max(version, m_version + 1);
  if (m_history.size() <= kHistoryLength) return;
  m_horizon = std::max(m_horizon, m_history.front().row.version);
  m_history.pop_front();
}

void TableReplica::Confirm(std::uint64_t version, TimePoint at) {
  if (!m_confirmed) {
    // What the first read has found says nothing of rows that were removed before.
    m_horizon = version;
    m_history.clear();
  }
  m_version = version;
  m_confirmed = at;
}

std::optional<TableReplicaReply> TableReplica::Answer(const TableReplicaRequest& request,
                                                      bool may_wait, TimePoint now,
                                                      TimePoint boot_now) const {
  TableReplicaReply reply;
  if (!m_confirmed && may_wait) return std::nullopt;
  if (!m_confirmed) return reply;
  reply.version = m_version;
  const Duration age = boot_now - *m_confirmed;
  reply.age_ms = static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(age).count() + 1);
  reply.status = StoreStatus::kOk;
  if (request.after == 0) {
    reply.packed_rows = AllRows();
    return reply;
  }
  if (request.after < m_horizon) {
    reply.status = StoreStatus::kHistoryGone;
    return reply;
  }
  std::vector<TableReplicaRow> rows;
  for (const TableWatcher::Change& change : m_history) {
    if (change.row.version <= request.after) continue;
    rows.push_back(MirrorRowOf(change.row));
    if (change.provisional) rows.back().provisional_for_ms = MillisUntil(change.until, now);
  }
  if (rows.empty() && may_wait) return std::nullopt;
  reply.packed_rows = PackRows(std::move(rows));
  return reply;
}

/// Many daemons that start together ask for the same rows.
const std::string& TableReplica::AllRows() const {
  if (m_all_rows) return *m_all_rows;
  std::vector<TableReplicaRow> rows;
  rows.reserve(m_rows.size());
  for (const auto& [key, row] : m_rows) rows.push_back(MirrorRowOf(row));
  m_all_rows = PackRows(std::move(rows));
  return *m_all_rows;
}

}  // namespace fulmarpoint
