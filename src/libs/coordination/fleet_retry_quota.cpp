#include "coordination/fleet_retry_quota.h"

#include <algorithm>
#include <cmath>

namespace fulmarpoint {

namespace {

// Covers what the slices blur at the ends of the window, and daemons that are not known yet.
constexpr double kAllowanceUsed = 0.9;
constexpr Duration kLoanTime = std::chrono::milliseconds(300);

}  // namespace

FleetRetryQuota::Slice& FleetRetryQuota::SliceAt(TimePoint now) {
  const std::int64_t number = now.time_since_epoch() / (m_limits.window / kSlicesPerWindow);
  Slice& slice = m_slices[static_cast<std::size_t>(number) % m_slices.size()];
  if (slice.number != number) slice = {number, 0, 0};
  return slice;
}

void FleetRetryQuota::OnFirstAttempt(TimePoint now) { ++SliceAt(now).first_attempts; }

bool FleetRetryQuota::TryTake(std::size_t daemons, TimePoint now) {
  if (Left(daemons, now) > 0) {
    ++SliceAt(now).repeats;
    return true;
  }
  if (m_borrowed == 0 || now >= m_borrowed_until) return false;
  --m_borrowed;
  return true;
}

int FleetRetryQuota::Lend(int wanted, std::size_t daemons, TimePoint now) {
  const int granted = std::clamp(Left(daemons, now), 0, std::max(0, wanted));
  SliceAt(now).repeats += granted;
  return granted;
}

void FleetRetryQuota::Borrow(int granted, TimePoint now) {
  if (now >= m_borrowed_until) m_borrowed = 0;
  m_borrowed += granted;
  m_borrowed_until = now + kLoanTime;
}

int FleetRetryQuota::Left(std::size_t daemons, TimePoint now) {
  const std::int64_t current = SliceAt(now).number;
  int first_attempts = 0;
  int repeats = 0;
  for (const Slice& slice : m_slices) {
    if (slice.number < current - kSlicesPerWindow) continue;
    first_attempts += slice.first_attempts;
    repeats += slice.repeats;
  }
  const double sharers = static_cast<double>(std::max<std::size_t>(1, daemons));
  const double limit = m_limits.share * first_attempts + m_limits.slack / sharers;
  return static_cast<int>(std::floor(limit * kAllowanceUsed)) - repeats;
}

}  // namespace fulmarpoint
