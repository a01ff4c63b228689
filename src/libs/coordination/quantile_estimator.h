#pragma once

#include <cstdint>

#include "utils/time.h"

namespace fulmarpoint {

/// Tracks one quantile of a stream of durations in constant memory by stochastic approximation:
/// each sample moves the estimate up or down by a step proportional to the estimate. Not
/// thread-safe.
class QuantileEstimator {
 public:
  /// `quantile` is between 0 and 1.
  explicit QuantileEstimator(double quantile) : m_quantile(quantile) {}

  void Add(Duration sample);
  /// Returns whether there are enough samples to compare other durations with the estimate.
  bool Ready() const { return m_samples >= kMinSamples; }
  Duration Estimate() const { return Duration(static_cast<Duration::rep>(m_estimate)); }

 private:
  static constexpr std::uint64_t kMinSamples = 40;

  double m_quantile;
  double m_estimate = 0;
  std::uint64_t m_samples = 0;
};

}  // namespace fulmarpoint
