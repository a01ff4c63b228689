#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "transport/http_client.h"
#include "transport/task.h"

namespace fulmarpoint {

/// A row of the platform's table service. A deleted row has no value.
struct StoredRow {
  std::string table;
  std::string key;
  std::optional<std::string> value;
  std::uint64_t version = 0;
};

/// Result of reading one row. Without an error, `row` is empty if the row does not exist.
struct RowRead {
  std::error_code error;
  std::optional<StoredRow> row;
};

/// Rows that changed since a version, and the version up to which they are complete.
struct RowsRead {
  std::error_code error;
  std::vector<StoredRow> rows;
  std::uint64_t version = 0;
};

/// One change of a transaction. `expect` is the row's version, 0 for a row that must not exist.
struct RowChange {
  std::string table;
  std::string key;
  std::uint64_t expect = 0;
  /// Empty deletes the row.
  std::optional<std::string> value;
};

enum class WriteOutcome {
  kCommitted,
  /// A row had another version; nothing was written.
  kConflict,
  /// The service did not receive or did not accept the transaction.
  kNotApplied,
  /// The transaction may have taken effect.
  kUnknown,
};

struct TransactionResult {
  WriteOutcome outcome = WriteOutcome::kUnknown;
  /// Version of the written rows, if committed.
  std::uint64_t version = 0;
  /// Current rows, if there was a conflict.
  std::vector<StoredRow> conflicts;
};

/// Client of the platform's table service. Thread-safe; each call runs on the strand of its
/// coroutine.
class TableClient {
 public:
  TableClient(HttpClient& http, std::string address, Duration timeout);

  Task<RowRead> Read(std::string table, std::string key);
  Task<RowsRead> ListSince(std::string table, std::uint64_t version);
  Task<TransactionResult> Write(std::vector<RowChange> changes);

 private:
  HttpClient& m_http;
  const std::string m_address;
  const Duration m_timeout;
};

}  // namespace fulmarpoint
