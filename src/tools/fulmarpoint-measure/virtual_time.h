#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "utils/time.h"

namespace fulmarpoint {

/// Event queue with a virtual clock. Events at the same time run in the order of insertion, so that
/// the course of a simulation depends on its seed alone. Not thread-safe.
class VirtualTime {
 public:
  TimePoint Now() const { return m_now; }

  /// Schedules `action` for `at`, or for the current time if `at` has passed.
  void At(TimePoint at, std::function<void()> action) {
    m_events.push(Event{std::max(at, m_now), m_next++, std::move(action)});
  }
  void After(Duration delay, std::function<void()> action) { At(m_now + delay, std::move(action)); }

  /// Runs all events up to `end` and sets the clock to `end`.
  void RunUntil(TimePoint end) {
    while (!m_events.empty() && m_events.top().at <= end) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.at;
      event.action();
    }
    m_now = end;
  }

 private:
  struct Event {
    TimePoint at;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  TimePoint m_now{};
  std::uint64_t m_next = 0;
  std::priority_queue<Event> m_events;
};

}  // namespace fulmarpoint
