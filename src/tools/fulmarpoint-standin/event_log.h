#pragma once

#include <cstdint>
#include <deque>
#include <nlohmann/json.hpp>
#include <string>

namespace fulmarpoint::standin {

/// Events of a simulated service, for `GET /control/events`. Times are read from the monotonic
/// clock of the machine, so that the events of several processes can be merged. Not thread-safe.
class EventLog {
 public:
  /// Appends `fields` with "event", "sequence" and "at_us". Drops the oldest event when the log is
  /// full.
  void Add(const std::string& event, nlohmann::json fields);
  /// Returns the events with a sequence number above `after`.
  nlohmann::json Since(std::uint64_t after) const;
  std::uint64_t Sequence() const { return m_sequence; }

 private:
  std::uint64_t m_sequence = 0;
  std::deque<nlohmann::json> m_events;
};

}  // namespace fulmarpoint::standin
