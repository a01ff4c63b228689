#include "coordination/quantile_estimator.h"

#include <algorithm>

namespace fulmarpoint {

namespace {

constexpr double kFirstStep = 0.5;
constexpr double kMinStep = 0.02;

}  // namespace

void QuantileEstimator::Add(Duration sample) {
  const double value = static_cast<double>(std::max<Duration::rep>(1, sample.count()));
  ++m_samples;
  if (m_samples == 1) {
    m_estimate = value;
    return;
  }
  const double step = std::max(kMinStep, kFirstStep / static_cast<double>(m_samples)) * m_estimate;
  m_estimate += value > m_estimate ? step * m_quantile : -step * (1.0 - m_quantile);
  m_estimate = std::max(1.0, m_estimate);
}

}  // namespace fulmarpoint
