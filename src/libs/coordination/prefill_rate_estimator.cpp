#include "coordination/prefill_rate_estimator.h"

#include <algorithm>

namespace fulmarpoint {

namespace {

// The mean follows a change of load within about ten first events.
constexpr double kSampleWeight = 0.1;
// Shorter prompts say more about the connection than about the pace.
constexpr std::int64_t kMinTokens = 100;

}  // namespace

void PrefillRateEstimator::Observe(std::int64_t tokens, Duration elapsed) {
  if (tokens < kMinTokens || elapsed <= Duration::zero()) return;
  const double sample = static_cast<double>(elapsed.count()) / static_cast<double>(tokens);
  m_token_us =
      m_token_us == 0.0 ? sample : m_token_us * (1 - kSampleWeight) + sample * kSampleWeight;
}

std::optional<Duration> PrefillRateEstimator::EstimateTimeToFirstEvent(std::int64_t tokens) const {
  if (m_token_us == 0.0) return std::nullopt;
  const double expected = m_token_us * static_cast<double>(std::max(tokens, kMinTokens));
  return Duration(static_cast<Duration::rep>(expected));
}

}  // namespace fulmarpoint
