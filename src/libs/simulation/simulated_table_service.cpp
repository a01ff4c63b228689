#include "simulation/simulated_table_service.h"

namespace fulmarpoint {

std::optional<TableRow> SimulatedTableService::Read(const std::string& table,
                                                    const std::string& key) const {
  const auto row = m_rows.find({table, key});
  if (row == m_rows.end()) return std::nullopt;
  return row->second;
}

std::vector<TableRow> SimulatedTableService::ReadSince(const std::string& table,
                                                       std::uint64_t since) const {
  std::vector<TableRow> rows;
  for (auto row = m_rows.lower_bound({table, ""}); row != m_rows.end(); ++row) {
    if (row->first.first != table) break;
    if (row->second.version > since) rows.push_back(row->second);
  }
  return rows;
}

std::optional<std::uint64_t> SimulatedTableService::Transact(
    const std::vector<TableOperation>& operations) {
  for (const TableOperation& operation : operations) {
    const std::optional<TableRow> row = Read(operation.table, operation.key);
    if ((row ? row->version : 0) != operation.expect) return std::nullopt;
  }
  ++m_version;
  for (const TableOperation& operation : operations) {
    if (operation.value) {
      m_rows[{operation.table, operation.key}] = {operation.key, m_version, *operation.value};
    } else {
      m_rows.erase({operation.table, operation.key});
    }
  }
  return m_version;
}

}  // namespace fulmarpoint
