#pragma once

#include <cstdint>
#include <deque>
#include <nlohmann/json.hpp>
#include <string>

namespace fulmarpoint::standin {

/// What happened at a simulated endpoint, for `GET /control/events`. Times are those of the
/// machine's monotonic clock, so that records of several processes can be merged. Not thread-safe.
class EventLog {
 public:
  /// Appends `fields` with "event", "sequence" and "at_us"; forgets the oldest of many events.
  void Add(const std::string& event, nlohmann::json fields);
  /// Returns the events with a sequence above `after`.
  nlohmann::json Since(std::uint64_t after) const;
  std::uint64_t Sequence() const { return m_sequence; }

 private:
  std::uint64_t m_sequence = 0;
  std::deque<nlohmann::json> m_events;
};

}  // namespace fulmarpoint::standin
