#include "coordination/fleet_retry_quota.h"

#include <algorithm>
#include <cmath>

namespace fulmarpoint {

namespace {

// Share of the limit that is used. The rest covers the inaccuracy of the slices at both ends of the
// window and daemons that are not known yet.
constexpr double kUsableShare = 0.9;
// Borrowed retries that are not used within this time expire.
constexpr Duration kTransferLifetime = std::chrono::milliseconds(300);

}  // namespace

FleetRetryQuota::Slice& FleetRetryQuota::SliceAt(TimePoint now) {
  const std::int64_t number = now.time_since_epoch() / (m_limits.window / kSlicesPerWindow);
  Slice& slice = m_slices[static_cast<std::size_t>(number) % m_slices.size()];
  if (slice.number != number) slice = {number, 0, 0};
  return slice;
}

void FleetRetryQuota::SetLimits(const Limits& limits, TimePoint now) {
  const int retries = WindowTotal(now).retries;
  const bool has_new_window = limits.window != m_limits.window;
  m_limits = limits;
  if (!has_new_window) return;
  m_slices.fill(Slice());
  SliceAt(now).retries = retries;
}

void FleetRetryQuota::OnFirstAttempt(TimePoint now) { ++SliceAt(now).first_attempts; }

bool FleetRetryQuota::TryTake(std::size_t daemons, TimePoint now) {
  if (Left(daemons, now) > 0) {
    ++SliceAt(now).retries;
    return true;
  }
  if (m_borrowed == 0 || now >= m_borrowed_until) return false;
  --m_borrowed;
  return true;
}

int FleetRetryQuota::Lend(int wanted, std::size_t daemons, TimePoint now) {
  const int granted = std::clamp(Left(daemons, now), 0, std::max(0, wanted));
  SliceAt(now).retries += granted;
  return granted;
}

void FleetRetryQuota::Borrow(int granted, TimePoint now) {
  if (now >= m_borrowed_until) m_borrowed = 0;
  m_borrowed += granted;
  m_borrowed_until = now + kTransferLifetime;
}

FleetRetryQuota::Slice FleetRetryQuota::WindowTotal(TimePoint now) {
  Slice total;
  total.number = SliceAt(now).number;
  for (const Slice& slice : m_slices) {
    if (slice.number < total.number - kSlicesPerWindow) continue;
    total.first_attempts += slice.first_attempts;
    total.retries += slice.retries;
  }
  return total;
}

int FleetRetryQuota::Left(std::size_t daemons, TimePoint now) {
  const Slice total = WindowTotal(now);
  const double daemon_count = static_cast<double>(std::max<std::size_t>(1, daemons));
  const double limit = m_limits.share * total.first_attempts + m_limits.slack / daemon_count;
  return static_cast<int>(std::floor(limit * kUsableShare)) - total.retries;
}

}  // namespace fulmarpoint
