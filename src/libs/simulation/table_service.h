#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "protocol/table_messages.h"

namespace fulmarpoint {

/// The platform's table service in memory, for runs in virtual time. Not thread-safe.
class SimulatedTableService {
 public:
  std::optional<TableRow> Read(const std::string& table, const std::string& key) const;
  /// Returns the rows of `table` with a version above `since`.
  std::vector<TableRow> ReadSince(const std::string& table, std::uint64_t since) const;
  /// Applies all operations or none. All changed rows get the returned version; nothing if a row
  /// has another version than expected.
  std::optional<std::uint64_t> Transact(const std::vector<TableOperation>& operations);
  std::uint64_t Version() const { return m_version; }

 private:
  std::map<std::pair<std::string, std::string>, TableRow> m_rows;
  std::uint64_t m_version = 0;
};

}  // namespace fulmarpoint
