#pragma once

#include <array>
#include <cstddef>

#include "utils/log_level.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Number of log lines that were not written, by level.
struct OmittedLines {
  std::array<std::size_t, kLogLevelNames.size()> by_level{};

  std::size_t& operator[](LogLevel level) { return by_level[static_cast<std::size_t>(level)]; }
  std::size_t operator[](LogLevel level) const { return by_level[static_cast<std::size_t>(level)]; }
  std::size_t Total() const;
};

/// Rate limiter for log lines: two token buckets bound the number and the bytes of lines whatever
/// the request rate. A part of each bucket is reserved for warnings and errors, so that rejections
/// and failures are still logged when successes use up the rest. Not thread-safe.
class LogBudget {
 public:
  struct Limits {
    double lines_per_second = 200.0;
    double bytes_per_second = 40.0 * 1024;
    /// Size of the buckets, as the time that it takes to fill them.
    Duration burst_duration = std::chrono::seconds(5);
    /// Share of each bucket that lines of level `kInfo` cannot use.
    double reserved_share = 0.25;
  };

  LogBudget() : LogBudget(Limits()) {}
  explicit LogBudget(const Limits& limits);

  /// Returns whether a line of `bytes` may be written, and if so charges it to the budget.
  bool Admit(LogLevel level, std::size_t bytes, TimePoint now);

 private:
  void Refill(TimePoint now);

  Limits m_limits;
  double m_max_lines;
  double m_max_bytes;
  double m_lines;
  double m_bytes;
  TimePoint m_last_refill{};
};

}  // namespace fulmarpoint
