#include "coordination/route_latencies.h"

#include <algorithm>
#include <limits>

namespace fulmarpoint {

namespace {

constexpr std::size_t kMaxRoutes = 64;

std::uint32_t Microseconds(Duration duration) {
  constexpr Duration::rep kMost = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::clamp<Duration::rep>(duration.count(), 0, kMost));
}

}  // namespace

void RouteLatencies::Add(const RouteLatency& sample) {
  const bool is_known = m_routes.contains(sample.route);
  if (sample.latency_us == 0 || (!is_known && m_routes.size() >= kMaxRoutes)) return;
  Estimators& estimators = m_routes[sample.route];
  estimators.latency.Add(Duration(sample.latency_us));
  if (sample.token_interval_us > 0) {
    estimators.token_interval.Add(Duration(sample.token_interval_us));
  }
}

std::optional<RouteLatency> RouteLatencies::Limit(std::uint32_t route) const {
  const auto found = m_routes.find(route);
  if (found == m_routes.end() || !found->second.latency.Ready()) return std::nullopt;
  RouteLatency limit;
  limit.route = route;
  limit.latency_us = Microseconds(found->second.latency.Estimate());
  const QuantileEstimator& interval = found->second.token_interval;
  if (interval.Ready()) limit.token_interval_us = Microseconds(interval.Estimate());
  return limit;
}

std::vector<RouteLatency> RouteLatencies::Limits() const {
  std::vector<RouteLatency> limits;
  for (const auto& [route, estimators] : m_routes) {
    if (const std::optional<RouteLatency> limit = Limit(route)) limits.push_back(*limit);
  }
  return limits;
}

}  // namespace fulmarpoint
