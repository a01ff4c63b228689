#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "coordination/quantile_estimator.h"
#include "protocol/rollout_messages.h"

namespace fulmarpoint {

/// 95th percentiles of the latency and of the time between tokens on each route, which are the
/// limits for the new version of a rollout. Not thread-safe.
class RouteLatencies {
 public:
  /// Adds a sample. Ignored if its latency is zero, or for new routes beyond 64.
  void Add(const RouteLatency& sample);
  /// Returns the percentiles of a route, or `std::nullopt` until there are enough samples. A
  /// percentile that is not known is zero.
  std::optional<RouteLatency> Limit(std::uint32_t route) const;
  /// Returns the percentiles of all routes that have them.
  std::vector<RouteLatency> Limits() const;

 private:
  struct Estimators {
    QuantileEstimator latency{0.95};
    QuantileEstimator token_interval{0.95};
  };

  std::map<std::uint32_t, Estimators> m_routes;
};

}  // namespace fulmarpoint
