#pragma once

#include <algorithm>
#include <cstdint>
#include <random>
#include <vector>

#include "utils/random.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Pace of a simulated machine: a lasting factor, and disturbances of 600 ms in 15% of the time in
/// which work takes 2.5 times as long. Not thread-safe.
class DisturbedPace {
 public:
  DisturbedPace(double base, TimePoint start, std::uint64_t seed)
      : m_base(base), m_start(start), m_random(seed) {}

  double Base() const { return m_base; }
  /// Precondition: `now` is not before the start.
  double At(TimePoint now) {
    NextChange(now);
    const auto after = std::upper_bound(m_changes.begin(), m_changes.end(), now);
    const bool is_disturbed = (after - m_changes.begin()) % 2 == 1;
    return is_disturbed ? m_base * kDisturbedFactor : m_base;
  }
  /// Returns when work of the usual duration `work` that starts at `begin` is complete.
  TimePoint Finish(TimePoint begin, Duration work) {
    double left = static_cast<double>(work.count());
    TimePoint now = begin;
    while (true) {
      const double pace = At(now);
      const TimePoint change = NextChange(now);
      const double possible = static_cast<double>((change - now).count()) / pace;
      if (possible >= left) return now + Duration(static_cast<Duration::rep>(left * pace));
      left -= possible;
      now = change;
    }
  }

 private:
  static constexpr double kDisturbedFactor = 2.5;
  static constexpr Duration kDisturbance = std::chrono::milliseconds(600);
  static constexpr double kDisturbedShare = 0.15;

  TimePoint NextChange(TimePoint now) {
    const double mean = static_cast<double>(kDisturbance.count()) * (1 / kDisturbedShare - 1);
    std::exponential_distribution<double> pause(1 / mean);
    while (m_changes.empty() || m_changes.back() <= now) {
      const TimePoint last = m_changes.empty() ? m_start : m_changes.back();
      m_changes.push_back(last + Duration(static_cast<Duration::rep>(pause(m_random)) + 1));
      m_changes.push_back(m_changes.back() + kDisturbance);
    }
    return *std::upper_bound(m_changes.begin(), m_changes.end(), now);
  }

  double m_base;
  TimePoint m_start;
  Random m_random;
  /// Starts and ends of the disturbances in turn.
  std::vector<TimePoint> m_changes;
};

}  // namespace fulmarpoint
