#include "coordination/interval_estimator.h"

#include <algorithm>

namespace fulmarpoint {

namespace {

constexpr Duration kMinStallTimeout = std::chrono::milliseconds(400);
constexpr Duration kMaxStallTimeout = std::chrono::milliseconds(1500);

}  // namespace

void IntervalEstimator::Add(Duration interval) {
  // A stall is not representative of the stream, so it must not raise the timeout beyond its
  // maximum.
  const Duration limited = std::min(interval, kMaxStallTimeout);
  const Duration difference = limited - m_mean;
  m_deviation += (std::chrono::abs(difference) - m_deviation) / 4;
  m_mean += difference / 8;
}

Duration IntervalEstimator::StallTimeout() const {
  return std::clamp(m_mean + 8 * m_deviation, kMinStallTimeout, kMaxStallTimeout);
}

}  // namespace fulmarpoint
