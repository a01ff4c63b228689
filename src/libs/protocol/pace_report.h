#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "protocol/bounded_serialization.h"

namespace fulmarpoint {

/// Highest number of entries in a `PaceReport`. Keeps the datagram far below the size at which it
/// would be fragmented.
constexpr std::size_t kMaxPaceEntries = 48;

/// Pace that an endpoint has stated in a reply.
struct EndpointPace {
  /// Identifies the endpoint's process.
  std::uint64_t process = 0;
  /// How long work takes there, in percent of the usual time.
  std::uint16_t percent = 0;

  bool operator==(const EndpointPace&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(process, percent);
  }
};

/// Sent over UDP to the heartbeat neighbours: what the sender has newly learned from replies.
struct PaceReport {
  std::vector<EndpointPace> paces;

  template <typename Archive>
  void serialize(Archive& archive) {
    internal::SerializeList(archive, paces);
  }
};

}  // namespace fulmarpoint
