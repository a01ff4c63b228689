#pragma once

#include <cstdint>
#include <optional>

#include "utils/time.h"

namespace fulmarpoint {

/// Learns how fast the engines of a service read prompts, from the time that first events took. Not
/// thread-safe.
class PrefillRateEstimator {
 public:
  /// An engine with `tokens` to read, those of other requests included, sent its first event after
  /// `elapsed`.
  void Observe(std::int64_t tokens, Duration elapsed);

  /// Returns the time after which the first event of a run is expected; nothing before the first
  /// observation.
  std::optional<Duration> EstimateTimeToFirstEvent(std::int64_t tokens) const;

 private:
  /// Mean time for a token in microseconds.
  double m_token_us = 0.0;
};

}  // namespace fulmarpoint
