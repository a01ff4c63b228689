#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "utils/random.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Virtual time: runs callbacks in the order of their times. Callbacks of equal time run in an
/// order drawn from the seed, or in the order of their scheduling if the seed is 0, so that a run
/// is repeated exactly by its seed. Not thread-safe.
class EventQueue {
 public:
  using Callback = std::function<void()>;

  explicit EventQueue(std::uint64_t seed);

  TimePoint Now() const { return m_now; }
  /// Schedules `callback`; at once if `at` has passed.
  void At(TimePoint at, Callback callback);
  void After(Duration delay, Callback callback) { At(m_now + delay, std::move(callback)); }
  /// Runs the next callback; returns false if there is none.
  bool RunNext();
  /// Runs all callbacks up to `end` and advances the time to it.
  void RunUntil(TimePoint end);
  Random& Source() { return m_random; }
  /// Returns a value of 0 to `limit` - 1. Precondition: `limit` > 0.
  std::uint64_t Draw(std::uint64_t limit) { return m_random() % limit; }

 private:
  using Key = std::pair<TimePoint, std::pair<std::uint64_t, std::uint64_t>>;

  TimePoint m_now;
  bool m_shuffle;
  Random m_random;
  std::uint64_t m_sequence = 0;
  std::map<Key, Callback> m_callbacks;
};

}  // namespace fulmarpoint
