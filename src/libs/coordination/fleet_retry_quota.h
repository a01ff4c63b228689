#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "utils/time.h"

namespace fulmarpoint {

/// Limits the repeats of one service's requests on one daemon so that the fleet keeps its limit:
/// within any window at most a share of the first attempts, plus a number on top. Each daemon keeps
/// the limit for its own requests with an equal part of that number, so the sum over all daemons
/// keeps it too, however the requests are spread. Daemons whose endpoints fail at once borrow from
/// others: what is lent counts at the lender. Not thread-safe.
class FleetRetryQuota {
 public:
  struct Limits {
    double share = 0.5;
    /// Repeats in each window on top of the share, of all daemons together.
    double slack = 100.0;
    Duration window = std::chrono::seconds(10);
  };

  /// Precondition: the window is at least a second long.
  explicit FleetRetryQuota(const Limits& limits) : m_limits(limits) {}

  /// Counts a request's first attempt.
  void OnFirstAttempt(TimePoint now);
  /// Counts a repeat and returns true if the limit allows one; `daemons` share the slack.
  bool TryTake(std::size_t daemons, TimePoint now);
  /// Returns how many of `wanted` repeats another daemon may make in place of this one, and counts
  /// them.
  int Lend(int wanted, std::size_t daemons, TimePoint now);
  /// Adds repeats that another daemon has lent; unused ones expire soon, because they count at the
  /// lender from now on.
  void Borrow(int granted, TimePoint now);

 private:
  /// Counts of a part of the window.
  struct Slice {
    std::int64_t number = -1;
    int first_attempts = 0;
    int repeats = 0;
  };
  static constexpr int kSlicesPerWindow = 20;

  Slice& SliceAt(TimePoint now);
  /// Returns how many repeats are left in the window that ends now.
  int Left(std::size_t daemons, TimePoint now);

  Limits m_limits;
  /// The window's slices and the current one.
  std::array<Slice, kSlicesPerWindow + 1> m_slices{};
  int m_borrowed = 0;
  TimePoint m_borrowed_until{};
};

}  // namespace fulmarpoint
