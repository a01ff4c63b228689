#include "coordination/retry_allowance.h"

#include <algorithm>

namespace fulmarpoint {

namespace {

// Covers what the slices blur at the ends of the window, and daemons that are not known yet.
constexpr double kAllowanceUsed = 0.9;

}  // namespace

RetryAllowance::Slice& RetryAllowance::SliceAt(TimePoint now) {
  const std::int64_t number = now.time_since_epoch() / (m_limits.window / kSlicesPerWindow);
  Slice& slice = m_slices[static_cast<std::size_t>(number) % m_slices.size()];
  if (slice.number != number) slice = {number, 0, 0};
  return slice;
}

void RetryAllowance::OnFirstAttempt(TimePoint now) { ++SliceAt(now).first_attempts; }

bool RetryAllowance::TryTake(std::size_t daemons, TimePoint now) {
  Slice& current = SliceAt(now);
  int first_attempts = 0;
  int repeats = 0;
  for (const Slice& slice : m_slices) {
    if (slice.number < current.number - kSlicesPerWindow) continue;
    first_attempts += slice.first_attempts;
    repeats += slice.repeats;
  }
  const double sharers = static_cast<double>(std::max<std::size_t>(1, daemons));
  const double limit = m_limits.share * first_attempts + m_limits.slack / sharers;
  if (repeats + 1 > limit * kAllowanceUsed) return false;
  ++current.repeats;
  return true;
}

}  // namespace fulmarpoint
