#include "coordination/interval_estimator.h"

#include <algorithm>

namespace fulmarpoint {

namespace {

constexpr Duration kMinSilence = std::chrono::milliseconds(400);
constexpr Duration kMaxSilence = std::chrono::milliseconds(1500);

}  // namespace

void IntervalEstimator::Add(Duration interval) {
  // A pause is not typical of the stream, so it must not raise the limit beyond its maximum.
  const Duration limited = std::min(interval, kMaxSilence);
  const Duration difference = limited - m_mean;
  m_deviation += (std::chrono::abs(difference) - m_deviation) / 4;
  m_mean += difference / 8;
}

Duration IntervalEstimator::StallTimeout() const {
  return std::clamp(m_mean + 8 * m_deviation, kMinSilence, kMaxSilence);
}

}  // namespace fulmarpoint
