#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/bounded_serialization.h"

namespace fulmarpoint {

/// A stream that a daemon relays, so that its peers do not place theirs on the same engine and find
/// the engine that has its prompt in memory.
struct RelayedStream {
  std::string endpoint;
  /// Engine that keeps a copy; empty if none.
  std::string backup;
  /// Identifies the last part of the prompt.
  std::uint64_t prompt = 0;
  std::uint32_t unread_tokens = 0;
  std::uint32_t memory_tokens = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    internal::SerializeText(archive, endpoint);
    internal::SerializeText(archive, backup);
    archive(prompt, unread_tokens, memory_tokens);
  }
};

/// Sent by a daemon to its peers over UDP several times a second and when its streams change.
struct RelayHeartbeat {
  std::string name;
  /// Start of the process; a later one replaces the earlier process of the same name.
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  /// "ip:port" of the service for callers.
  std::string caller_address;
  /// The daemon takes requests from callers.
  bool ready = false;
  bool leaving = false;
  std::vector<RelayedStream> streams;
  /// Endpoints that have failed at the sender within the last moments.
  std::vector<std::string> failed_endpoints;

  template <typename Archive>
  void serialize(Archive& archive) {
    internal::SerializeText(archive, name);
    archive(incarnation, sequence);
    internal::SerializeText(archive, caller_address);
    internal::SerializeFlag(archive, ready);
    internal::SerializeFlag(archive, leaving);
    internal::SerializeList(archive, streams);
    internal::SerializeTexts(archive, failed_endpoints);
  }
};

/// Streams and failures that fit into one heartbeat; the rest is left out.
inline constexpr std::size_t kMaxHeartbeatStreams = 24;
inline constexpr std::size_t kMaxHeartbeatFailures = 12;

/// Encodes a heartbeat with at most `kMaxHeartbeatStreams` streams and `kMaxHeartbeatFailures`
/// failures. Thread-safe.
std::string EncodeHeartbeat(RelayHeartbeat heartbeat);
/// Returns nothing if `bytes` are no heartbeat. Thread-safe.
std::optional<RelayHeartbeat> DecodeHeartbeat(std::string_view bytes);

}  // namespace fulmarpoint
