#pragma once

#include <cstdint>
#include <optional>
#include <string>
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
  std::uint32_t pending_prefill_tokens = 0;
  std::uint32_t kv_cache_tokens = 0;

  bool operator==(const RelayedStream&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    internal::SerializeText(archive, endpoint);
    internal::SerializeText(archive, backup);
    archive(prompt, pending_prefill_tokens, kv_cache_tokens);
  }
};

/// What a daemon does, as its peers need to know it.
struct HeartbeatPayload {
  /// "ip:port" of the service for callers.
  std::string caller_address;
  std::vector<RelayedStream> streams;
  /// Endpoints that have failed at the sender within the last moments.
  std::vector<std::string> failed_endpoints;

  bool operator==(const HeartbeatPayload&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    internal::SerializeText(archive, caller_address);
    internal::SerializeList(archive, streams);
    internal::SerializeTexts(archive, failed_endpoints);
  }
};

/// Sent by a daemon to its peers over UDP several times a second and when its streams change.
struct RelayHeartbeat {
  /// `StableHash` of the sender's name.
  std::uint64_t sender = 0;
  /// Start of the process; a later one replaces the earlier process of the same name.
  std::uint64_t incarnation = 0;
  std::uint32_t sequence = 0;
  /// The daemon takes requests from callers.
  bool ready = false;
  bool leaving = false;
  /// Left out where nothing has changed.
  std::optional<HeartbeatPayload> payload;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sender, incarnation, sequence);
    internal::SerializeFlag(archive, ready);
    internal::SerializeFlag(archive, leaving);
    bool has_news = payload.has_value();
    internal::SerializeFlag(archive, has_news);
    if constexpr (Archive::is_loading::value) {
      if (has_news) payload.emplace();
    }
    if (payload) archive(*payload);
  }
};

/// Streams and failures that fit into one heartbeat; the rest is left out.
inline constexpr std::size_t kMaxHeartbeatStreams = 24;
inline constexpr std::size_t kMaxHeartbeatFailures = 12;

/// Leaves out streams and failures beyond what fits. Thread-safe.
void Shorten(RelayHeartbeat& heartbeat);

}  // namespace fulmarpoint
