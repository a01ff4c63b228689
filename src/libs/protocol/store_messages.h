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
  /// Grows with each transaction of the store.
  std::uint64_t version = 0;
  /// The row no longer exists; `value` is empty.
  bool removed = false;
  /// For a removed row: time in which it may still come back, and counts as there.
  Duration provisional_for{};
};

/// Result of a call to the store.
enum class StoreStatus : std::uint8_t {
  kOk,
  /// A precondition did not hold; nothing was written.
  kConflict,
  /// The history that was asked for is no longer available.
  kHistoryGone,
  /// The store refused the call; nothing was done.
  kRefused,
  /// No answer, or an unintelligible one: a write may have taken effect or may still do so.
  kUnknown,
};

/// Rows in the order of their keys or of their changes.
struct StoreReply {
  StoreStatus status = StoreStatus::kUnknown;
  std::vector<StoreRow> rows;
  /// The store's version up to which `rows` is complete, and where a watch continues.
  std::uint64_t version = 0;
  bool has_more = false;
  /// Time since the answer was known to be current; zero for the store itself.
  Duration age{};
};

/// Reads rows of one table and partition with keys from `from` on.
struct StoreRead {
  std::string table;
  std::string partition;
  std::string from;
};

/// Waits up to `wait` for changes of a table after version `after`.
struct StoreWatch {
  std::string table;
  std::uint64_t after = 0;
  Duration wait{};
};

/// A row and the version that it must have; 0 if it must not exist.
struct StoreCondition {
  std::string table;
  std::string partition;
  std::string key;
  std::uint64_t version = 0;
};

/// An atomic change. Rows of `puts` and `removes` need table, partition and key only, and the value
/// for `puts`.
struct StoreTransaction {
  std::vector<StoreCondition> conditions;
  std::vector<StoreRow> puts;
  std::vector<StoreRow> removes;
};

}  // namespace fulmarpoint
