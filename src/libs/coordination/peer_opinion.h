#pragma once

#include "protocol/store_messages.h"
#include "utils/time.h"

namespace fulmarpoint {

/// What a peer's replica of a table says of the store's state that this daemon has read.
enum class PeerOpinion {
  /// Nothing: the peer has not replied, or has no replica yet.
  kNone,
  /// The peer relies on the same state.
  kConfirmed,
  /// The peer knows another epoch of the store, or does not rely on what it has read.
  kDoubtful,
};

/// Returns what `reply` of a peer says of a read in `epoch`. `max_age` is the age from which a
/// confirmation counts as stale. Thread-safe.
inline PeerOpinion OpinionOf(const StoreReply& reply, std::uint64_t epoch, Duration max_age) {
  const bool is_answer =
      reply.status == StoreStatus::kOk || reply.status == StoreStatus::kHistoryGone;
  if (!is_answer) return PeerOpinion::kNone;
  const bool is_confirmed = reply.position.epoch == epoch && reply.age <= max_age;
  return is_confirmed ? PeerOpinion::kConfirmed : PeerOpinion::kDoubtful;
}

}  // namespace fulmarpoint
