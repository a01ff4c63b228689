#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "protocol/relay_heartbeat.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Streams that this daemon relays, and the engines that probably still have the prompt of a stream
/// that this daemon or a peer relayed recently in their KV cache. Not thread-safe.
class StreamRegistry {
 public:
  /// Engines keep a prompt in the KV cache for about this long after its last use.
  static constexpr Duration kPromptLifetime = std::chrono::seconds(10);

  /// Adds a stream or replaces its record. `id` comes from `NextId()`.
  void Set(std::uint64_t id, const RelayedStream& stream, TimePoint now);
  void Remove(std::uint64_t id);
  std::uint64_t NextId() { return ++m_last_id; }
  /// A peer reported its streams.
  void OnPeerStreams(const std::vector<RelayedStream>& streams, TimePoint now);

  std::vector<RelayedStream> Streams() const;
  /// A peer reported that the engine is processing or has processed the prompt.
  void OnPromptLocation(std::uint64_t prompt, const std::string& endpoint, TimePoint now);
  /// The engine turned out not to have the prompt cached.
  void ForgetHolder(std::uint64_t prompt, const std::string& endpoint);
  /// Returns the engine that probably has the prompt cached; empty if none is known.
  std::string FindPromptHolder(std::uint64_t prompt, TimePoint now) const;
  /// Removes cached prompts whose lifetime has passed; those of current streams are kept.
  void Forget(TimePoint now);
  std::size_t Size() const { return m_streams.size(); }

 private:
  struct Holder {
    std::string endpoint;
    TimePoint seen{};
  };

  std::uint64_t m_last_id = 0;
  std::map<std::uint64_t, RelayedStream> m_streams;
  std::unordered_map<std::uint64_t, Holder> m_holders;
};

}  // namespace fulmarpoint
