#pragma once

#include <array>
#include <cstddef>

#include "utils/log_level.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Lines that were not written, by level.
struct OmittedLines {
  std::array<std::size_t, kLogLevelNames.size()> by_level{};

  std::size_t& operator[](LogLevel level) { return by_level[static_cast<std::size_t>(level)]; }
  std::size_t operator[](LogLevel level) const { return by_level[static_cast<std::size_t>(level)]; }
  std::size_t Total() const;
};

/// Decides which log lines are written, so that their number and size stay bounded however many
/// requests come. Refusals and failures, which are warnings, are kept before successes: a part of
/// the budget is theirs alone. Not thread-safe.
class LogBudget {
 public:
  struct Limits {
    double lines_per_second = 200.0;
    double bytes_per_second = 40.0 * 1024;
    /// Unused budget is saved for this long.
    Duration saved = std::chrono::seconds(5);
    /// Part of the saved budget that lines of level `kInfo` leave to the others.
    double reserved_share = 0.25;
  };

  LogBudget() : LogBudget(Limits()) {}
  explicit LogBudget(const Limits& limits);

  /// Returns whether a line is to be written, and counts it.
  bool Admit(LogLevel level, std::size_t bytes, TimePoint now);

 private:
  void Refill(TimePoint now);

  Limits m_limits;
  double m_max_lines;
  double m_max_bytes;
  double m_lines;
  double m_bytes;
  TimePoint m_refilled{};
};

}  // namespace fulmarpoint
