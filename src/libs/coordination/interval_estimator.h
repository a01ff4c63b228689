#pragma once

#include "utils/time.h"

namespace fulmarpoint {

/// Smoothed mean and mean deviation of the time between tokens. Not thread-safe.
class IntervalEstimator {
 public:
  explicit IntervalEstimator(Duration expected) : m_mean(expected), m_deviation(expected / 2) {}

  void Add(Duration interval);
  /// Returns the silence after which a stream is suspected: mean + 8 deviations, limited to
  /// 400 to 1,500 ms.
  Duration StallTimeout() const;

 private:
  Duration m_mean;
  Duration m_deviation;
};

}  // namespace fulmarpoint
