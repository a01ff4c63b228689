#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/bounded_serialization.h"

namespace fulmarpoint {

/// A row of a table of the store, as one daemon tells it to another.
struct TableReplicaRow {
  std::string key;
  std::string value;
  std::uint64_t version = 0;
  bool removed = false;
  /// See `StoreRow::provisional_for`.
  std::uint32_t provisional_for_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    internal::SerializeText(archive, key);
    internal::SerializeText<std::uint32_t>(archive, value);
    archive(version);
    internal::SerializeFlag(archive, removed);
    archive(provisional_for_ms);
  }
};

/// Returns rows in a form that is compressed if they are many: the rows of a table are much alike.
/// Thread-safe.
std::string PackRows(std::vector<TableReplicaRow> rows);
/// Returns nothing if `packed` was not made by `PackRows`, or holds more than some megabytes.
/// Thread-safe.
std::optional<std::vector<TableReplicaRow>> UnpackRows(std::string_view packed);

}  // namespace fulmarpoint
