#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>
#include <vector>

#include "utils/time.h"

namespace fulmarpoint::standin {

/// Prompt prefix cache of a simulated engine, with LRU eviction of fixed-size blocks of tokens and
/// a log of changes. Not thread-safe.
class PrefixCache {
 public:
  static constexpr std::size_t kBlockTokens = 16;

  explicit PrefixCache(std::size_t capacity_tokens);

  /// Returns how many leading tokens were cached, and caches all full blocks of `tokens`.
  std::size_t Use(const std::string& model, const std::string& version,
                  const std::vector<std::string>& tokens, TimePoint now);
  void Clear();

  /// Sets the time after which `EventsSince` returns an event.
  void SetEventDelay(Duration delay) { m_event_delay = delay; }
  /// Drops the next `count` events, which leaves a gap in the sequence numbers.
  void DropEvents(std::uint64_t count) { m_events_to_drop = count; }
  std::uint64_t Sequence() const { return m_sequence; }
  /// Returns {"sequence","events":[{"sequence","change":"stored|evicted","block"}]}.
  nlohmann::json EventsSince(std::uint64_t after, TimePoint now) const;

 private:
  struct CacheEvent {
    std::uint64_t sequence;
    TimePoint at;
    bool stored;
    std::uint64_t block;
  };

  void Publish(bool stored, std::uint64_t block, TimePoint now);

  std::size_t m_capacity_blocks;
  std::list<std::uint64_t> m_blocks_by_last_use;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
  std::deque<CacheEvent> m_events;
  std::uint64_t m_sequence = 0;
  Duration m_event_delay = Duration::zero();
  std::uint64_t m_events_to_drop = 0;
};

}  // namespace fulmarpoint::standin
