#pragma once

#include <cstdint>
#include <optional>

#include "utils/time.h"

namespace fulmarpoint {

/// Estimates how fast the engines of a service process prompts (prefill), from the times to the
/// first event. Not thread-safe.
class PrefillRateEstimator {
 public:
  /// An engine with `tokens` to prefill, including those of other requests, sent its first event
  /// after `elapsed`. Prompts of less than 100 tokens are ignored.
  void Observe(std::int64_t tokens, Duration elapsed);

  /// Returns the expected time to the first event with `tokens` to prefill; `std::nullopt` before
  /// the first observation.
  std::optional<Duration> EstimateTimeToFirstEvent(std::int64_t tokens) const;

 private:
  /// Weighted mean of the prefill time per token in microseconds; 0 before the first sample.
  double m_token_us = 0.0;
};

}  // namespace fulmarpoint
