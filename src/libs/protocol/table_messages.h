#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fulmarpoint {

/// A row of the table service.
struct TableRow {
  std::string key;
  std::uint64_t version = 0;
  std::string value;
};

/// One operation of a transaction: writes or deletes a row if it has the expected version.
struct TableOperation {
  std::string table;
  std::string key;
  /// Expected version; 0 if the row must not exist.
  std::uint64_t expect = 0;
  /// Absent to delete the row.
  std::optional<std::string> value;
};

enum class TableOutcome {
  kDone,
  /// A row has another version; nothing was written.
  kConflict,
  /// No response, or an error after the request was sent: the write may have taken effect.
  kUnknown,
};

}  // namespace fulmarpoint
