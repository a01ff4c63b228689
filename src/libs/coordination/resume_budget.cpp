#include "coordination/resume_budget.h"

#include <algorithm>

namespace fulmarpoint {

TimePoint ResumeBudget::ReadyAt(const Buckets& buckets, const std::string& name, Duration interval,
                                int burst, TimePoint now) {
  const Buckets::const_iterator found = buckets.find(name);
  if (found == buckets.end()) return now;
  return std::max(now, found->second - (burst - 1) * interval);
}

void ResumeBudget::Reserve(Buckets& buckets, const std::string& name, Duration interval,
                           TimePoint now) {
  TimePoint& full_at = buckets.try_emplace(name, now).first->second;
  full_at = std::max(full_at, now) + interval;
}

Duration ResumeBudget::Wait(const ServiceName& service, const EndpointId& endpoint,
                            TimePoint now) const {
  const TimePoint endpoint_ready =
      ReadyAt(m_endpoints, endpoint, m_config.endpoint_interval, m_config.endpoint_burst, now);
  const TimePoint service_ready =
      ReadyAt(m_services, service, m_config.service_interval, m_config.service_burst, now);
  return std::max(endpoint_ready, service_ready) - now;
}

std::optional<TimePoint> ResumeBudget::Take(const ServiceName& service, const EndpointId& endpoint,
                                            TimePoint now) {
  const Duration wait = Wait(service, endpoint, now);
  if (wait > m_config.max_wait) return std::nullopt;
  Reserve(m_endpoints, endpoint, m_config.endpoint_interval, now);
  Reserve(m_services, service, m_config.service_interval, now);
  if (wait == Duration::zero()) return now;
  // Jitter, because daemons that lost the same engine at the same instant would otherwise stay
  // synchronised.
  std::uniform_int_distribution<Duration::rep> jitter(0, m_config.endpoint_interval.count() / 2);
  return now + wait + Duration(jitter(m_random));
}

void ResumeBudget::Expire(TimePoint now) {
  std::erase_if(m_endpoints, [now](const auto& bucket) { return bucket.second <= now; });
  std::erase_if(m_services, [now](const auto& bucket) { return bucket.second <= now; });
}

}  // namespace fulmarpoint
