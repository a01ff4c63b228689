#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "protocol/relay_heartbeat.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Streams that this daemon relays, and the engines that probably hold the prompt of a stream that
/// this daemon or a peer relayed lately. Not thread-safe.
class StreamRegistry {
 public:
  /// Engines keep a prompt for about this long after its last use.
  static constexpr Duration kPromptLifetime = std::chrono::seconds(10);

  /// Adds a stream, or replaces what it uses. `id` is chosen by `NextId()`.
  void Set(std::uint64_t id, const RelayedStream& stream, TimePoint now);
  void Remove(std::uint64_t id);
  std::uint64_t NextId() { return ++m_last_id; }
  void OnPeerStreams(const std::vector<RelayedStream>& streams, TimePoint now);

  std::vector<RelayedStream> Streams() const;
  /// Another daemon says that the engine reads or has read the prompt.
  void OnPromptHolder(std::uint64_t prompt, const std::string& endpoint, TimePoint now);
  /// The engine turned out not to hold the prompt.
  void ForgetHolder(std::uint64_t prompt, const std::string& endpoint);
  /// Returns the engine that probably holds the prompt; empty if none is known.
  std::string FindPromptHolder(std::uint64_t prompt, TimePoint now) const;
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
