#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/bounded_serialization.h"

namespace fulmarpoint {

/// A stream that a daemon relays. Peers use it to avoid placing their streams on the same engine,
/// and to find the engine that has the prompt in its KV cache.
struct RelayedStream {
  std::string endpoint;
  /// Engine that holds the KV cache backup; empty if none.
  std::string backup;
  /// `PromptPart::id` of the last part of the prompt.
  std::uint64_t prompt = 0;
  /// Prompt tokens that the engine has not processed yet.
  std::uint32_t pending_prefill_tokens = 0;
  /// Tokens that the stream takes in the engine's KV cache.
  std::uint32_t kv_cache_tokens = 0;

  bool operator==(const RelayedStream&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    internal::SerializeText(archive, endpoint);
    internal::SerializeText(archive, backup);
    archive(prompt, pending_prefill_tokens, kv_cache_tokens);
  }
};

/// State of a daemon that its peers need.
struct HeartbeatPayload {
  /// "ip:port" of the HTTP interface for callers.
  std::string caller_address;
  std::vector<RelayedStream> streams;
  /// Endpoints that recently failed at the sender.
  std::vector<std::string> failed_endpoints;

  bool operator==(const HeartbeatPayload&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    internal::SerializeText(archive, caller_address);
    internal::SerializeList(archive, streams);
    internal::SerializeTexts(archive, failed_endpoints);
  }
};

/// Sent by a daemon to its peers over UDP several times per second and when its streams change.
struct RelayHeartbeat {
  /// `StableHash` of the sender's name.
  std::uint64_t sender = 0;
  /// Start time of the process; a later one replaces the earlier process of the same name.
  std::uint64_t incarnation = 0;
  std::uint32_t sequence = 0;
  /// The daemon has a usable configuration, an endpoint, and a path to the endpoints. Independent
  /// of `leaving`.
  bool ready = false;
  bool leaving = false;
  /// Omitted if it was sent recently and has not changed since.
  std::optional<HeartbeatPayload> payload;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sender, incarnation, sequence);
    internal::SerializeFlag(archive, ready);
    internal::SerializeFlag(archive, leaving);
    bool has_payload = payload.has_value();
    internal::SerializeFlag(archive, has_payload);
    if constexpr (Archive::is_loading::value) {
      if (has_payload) payload.emplace();
    }
    if (payload) archive(*payload);
  }
};

/// Maximum numbers of streams and failed endpoints in one heartbeat; the rest is omitted.
inline constexpr std::size_t kMaxHeartbeatStreams = 24;
inline constexpr std::size_t kMaxHeartbeatFailures = 12;

/// Removes the streams and failed endpoints beyond the maximum numbers. Thread-safe.
void Truncate(RelayHeartbeat& heartbeat);

}  // namespace fulmarpoint
