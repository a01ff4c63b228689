#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace fulmarpoint {

using Duration = std::chrono::microseconds;

/// Clock type for time points of a process-local monotonic clock. It has no `now()`: the daemon
/// passes the time of the steady clock, tests pass virtual time.
struct MonotonicClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming)
};

using TimePoint = MonotonicClock::time_point;

/// Wall-clock time in milliseconds since the Unix epoch. Used only in reports, for the age of keys
/// and for deadlines set by operators, never to decide who holds a lease.
using UnixMillis = std::int64_t;

/// Returns the current time of the steady clock. Thread-safe.
inline TimePoint SteadyNow() {
  return TimePoint(
      std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

/// Returns the current wall-clock time. Thread-safe.
inline UnixMillis WallNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Returns the current time of a clock that also advances while the machine is suspended. Used for
/// the age of freshness confirmations. Must not be mixed with `SteadyNow()`. Thread-safe.
inline TimePoint BootNow() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(now.tv_sec) +
                                                        std::chrono::nanoseconds(now.tv_nsec)));
}

}  // namespace fulmarpoint
