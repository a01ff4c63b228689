#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "utils/random.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Event queue of a discrete-event simulation with virtual time. Callbacks run in the order of
/// their times; callbacks of equal time run in a random order, or in the order in which they were
/// scheduled if the seed is 0. Runs with the same seed are identical. Not thread-safe.
class EventQueue {
 public:
  using Callback = std::function<void()>;

  explicit EventQueue(std::uint64_t seed);

  TimePoint Now() const { return m_now; }
  /// Schedules `callback` at `at`, or at the current time if `at` has passed.
  void At(TimePoint at, Callback callback);
  void After(Duration delay, Callback callback) { At(m_now + delay, std::move(callback)); }
  /// Advances the time to the next callback and runs it; returns false if there is none.
  bool RunNext();
  /// Runs all callbacks up to and including `end` and advances the time to `end`.
  void RunUntil(TimePoint end);
  Random& Source() { return m_random; }
  /// Returns a random value from 0 to `limit` - 1. Precondition: `limit` > 0.
  std::uint64_t Draw(std::uint64_t limit) { return m_random() % limit; }

 private:
  using Key = std::pair<TimePoint, std::pair<std::uint64_t, std::uint64_t>>;

  TimePoint m_now;
  bool m_shuffle_ties;
  Random m_random;
  std::uint64_t m_sequence = 0;
  std::map<Key, Callback> m_callbacks;
};

}  // namespace fulmarpoint
