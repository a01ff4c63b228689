#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "utils/time.h"

namespace fulmarpoint {

/// A point in the history of the store. When the store is restored from a copy, a new epoch begins,
/// in which versions are assigned again; versions of different epochs cannot be compared.
struct StorePosition {
  std::uint64_t epoch = 0;
  std::uint64_t version = 0;

  bool operator==(const StorePosition&) const = default;
  bool operator<(const StorePosition& other) const {
    return std::tie(epoch, version) < std::tie(other.epoch, other.version);
  }
};

/// A row of the platform's store.
struct StoreRow {
  std::string table;
  std::string partition;
  std::string key;
  std::string value;
  /// Increases with each transaction of the store within an epoch.
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
  /// Position of the store up to which `rows` is complete; a watch continues after it. The epoch is
  /// valid in every reply except `kUnknown`.
  StorePosition position;
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

/// Waits up to `wait` for changes of a table after the store's position `after`. The store itself
/// compares only the version; the epoch of its reply shows whether that was meaningful.
struct StoreWatch {
  std::string table;
  StorePosition after;
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
