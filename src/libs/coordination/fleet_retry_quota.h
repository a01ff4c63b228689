#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "utils/time.h"

namespace fulmarpoint {

/// Enforces one daemon's share of the fleet-wide limit on retries of a service: within any window
/// at most a ratio of the first attempts plus a constant (the slack). Each daemon applies the ratio
/// to its own requests and gets an equal part of the slack, so the sum over all daemons stays
/// within the limit however requests are distributed. Daemons whose endpoints fail at the same time
/// borrow from others; borrowed retries count at the lender. Not thread-safe.
class FleetRetryQuota {
 public:
  struct Limits {
    double share = 0.5;
    /// Retries allowed per window in addition to the ratio, of all daemons together.
    double slack = 100.0;
    Duration window = std::chrono::seconds(10);
  };

  /// Precondition: `limits.window` is at least a second.
  explicit FleetRetryQuota(const Limits& limits) : m_limits(limits) {}

  /// Replaces the limits. If the length of the window changes, retries that count now count for a
  /// whole new window, and the first attempts before allow no more retries.
  void SetLimits(const Limits& limits, TimePoint now);

  /// Counts a request's first attempt.
  void OnFirstAttempt(TimePoint now);
  /// Counts a retry and returns true if the quota allows one, or uses a borrowed retry. `daemons`
  /// is the number of daemons that share the slack.
  bool TryTake(std::size_t daemons, TimePoint now);
  /// Returns how many of `wanted` retries another daemon may make in place of this one, and counts
  /// them here.
  int Lend(int wanted, std::size_t daemons, TimePoint now);
  /// Adds retries that another daemon lent. Unused ones expire soon, because the lender counts them
  /// from now on.
  void Borrow(int granted, TimePoint now);

 private:
  /// Counts for a part of the window.
  struct Slice {
    std::int64_t number = -1;
    int first_attempts = 0;
    int retries = 0;
  };
  static constexpr int kSlicesPerWindow = 20;

  Slice& SliceAt(TimePoint now);
  /// Returns the sum of the counts of the window that ends now.
  Slice WindowTotal(TimePoint now);
  /// Returns how many retries are left in the window that ends now; negative if it is exceeded.
  int Left(std::size_t daemons, TimePoint now);

  Limits m_limits;
  /// Ring buffer of the slices of one window and the current slice.
  std::array<Slice, kSlicesPerWindow + 1> m_slices{};
  int m_borrowed = 0;
  TimePoint m_borrowed_until{};
};

}  // namespace fulmarpoint
