#pragma once

#include <cstdint>
#include <string>

#include "protocol/bounded_serialization.h"
#include "protocol/store_messages.h"

namespace fulmarpoint {

/// Asks a peer for its copy of a table of the store: all rows, or the changes after a version of
/// the store.
struct TableReplicaRequest {
  std::string table;
  /// 0 for all rows.
  std::uint64_t after = 0;
  /// How long the peer may wait for a change.
  std::uint32_t wait_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    internal::SerializeText(archive, table);
    archive(after, wait_ms);
  }
};

struct TableReplicaReply {
  /// `kOk`, `kHistoryGone`, or `kRefused` if the peer has no copy.
  StoreStatus status = StoreStatus::kRefused;
  /// The store's version up to which the copy is complete.
  std::uint64_t version = 0;
  /// Time since the copy was last known to be current.
  std::uint32_t age_ms = 0;
  /// See `PackRows`.
  std::string packed_rows;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(status, version, age_ms);
    internal::SerializeText<std::uint32_t>(archive, packed_rows);
  }
};

}  // namespace fulmarpoint
