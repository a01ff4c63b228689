#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "utils/time.h"

namespace fulmarpoint {

/// A row of the platform's store.
struct StoreRow {
  std::string table;
  std::string partition;
  std::string key;
  std::string value;
  /// Increases with each transaction of the store.
  std::uint64_t version = 0;
  /// The row no longer exists; `value` is empty.
  bool removed = false;
  /// Removed rows: how long the removal is provisional. Until then the row may reappear and is
  /// treated as present.
  Duration provisional_for{};
};

/// Result of a call to the store.
enum class StoreStatus : std::uint8_t {
  kOk,
  /// A precondition did not hold; nothing was written.
  kConflict,
  /// The requested history is no longer available.
  kHistoryGone,
  /// The store rejected the call; nothing was done.
  kRefused,
  /// No reply, or an invalid one: a write may have taken effect or may still do so.
  kUnknown,
};

/// Reply of the store. Rows are in the order of their keys, or of the changes for a watch.
struct StoreReply {
  StoreStatus status = StoreStatus::kUnknown;
  std::vector<StoreRow> rows;
  /// Version of the store up to which `rows` is complete; a watch continues after it.
  std::uint64_t version = 0;
  bool has_more = false;
  /// Time since the rows were known to be current; zero if they come from the store itself.
  Duration age{};
};

/// Reads the rows of one table and partition, starting at key `from`.
struct StoreRead {
  std::string table;
  std::string partition;
  std::string from;
};

/// Waits up to `wait` for changes of a table after the store's version `after`.
struct StoreWatch {
  std::string table;
  std::uint64_t after = 0;
  Duration wait{};
};

/// Precondition of a transaction: the version of a row; 0 if the row must not exist.
struct StoreCondition {
  std::string table;
  std::string partition;
  std::string key;
  std::uint64_t version = 0;
};

/// An atomic change. Only table, partition and key of the rows are used, and the value in `puts`.
struct StoreTransaction {
  std::vector<StoreCondition> conditions;
  std::vector<StoreRow> puts;
  std::vector<StoreRow> removes;
};

}  // namespace fulmarpoint
