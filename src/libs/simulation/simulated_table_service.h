#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "protocol/table_messages.h"

namespace fulmarpoint {

/// In-memory model of the platform's table service for simulations. Not thread-safe.
class SimulatedTableService {
 public:
  /// Returns nothing if the row does not exist.
  std::optional<TableRow> Read(const std::string& table, const std::string& key) const;
  /// Returns the rows of `table` with a version above `since`.
  std::vector<TableRow> ReadSince(const std::string& table, std::uint64_t since) const;
  /// Applies all operations atomically and returns the new version of the changed rows. Returns
  /// nothing and changes nothing if a row does not have its expected version (0: no such row).
  std::optional<std::uint64_t> Transact(const std::vector<TableOperation>& operations);
  /// Returns the version of the last transaction.
  std::uint64_t Version() const { return m_version; }

 private:
  std::map<std::pair<std::string, std::string>, TableRow> m_rows;
  std::uint64_t m_version = 0;
};

}  // namespace fulmarpoint
