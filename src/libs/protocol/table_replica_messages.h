#pragma once

#include <cstdint>
#include <string>

#include "protocol/bounded_serialization.h"
#include "protocol/store_messages.h"

namespace fulmarpoint {

/// Requests a peer's replica of a table of the store: all rows, or the changes after a position of
/// the store.
struct TableReplicaRequest {
  std::string table;
  /// Position of the store; its version is 0 for all rows.
  StorePosition after;
  /// How long the peer may wait for a change before it replies.
  std::uint32_t wait_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    internal::SerializeText(archive, table);
    archive(after.epoch, after.version, wait_ms);
  }
};

struct TableReplicaReply {
  /// `kOk`, `kHistoryGone`, or `kRefused` if the peer has no replica of the table.
  StoreStatus status = StoreStatus::kRefused;
  /// Position of the store up to which the replica is complete.
  StorePosition position;
  /// Time since the replica was last known to be current.
  std::uint32_t age_ms = 0;
  /// Output of `PackRows`.
  std::string packed_rows;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(status, position.epoch, position.version, age_ms);
    internal::SerializeText<std::uint32_t>(archive, packed_rows);
  }
};

}  // namespace fulmarpoint
