#include "relay/engine_orders.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "utils/logging.h"

namespace fulmarpoint {

namespace {

// Longest delay with which a call without a reply may still be executed. Its order is repeated
// after that.
constexpr Duration kLateExecution = std::chrono::seconds(8);
constexpr Duration kRepeatInterval = std::chrono::seconds(2);

EngineScaling::Limits LimitsOf(const RelayService& service) {
  return {service.scale->min, service.scale->max, service.scale->boot_time, service.engine->slots,
          service.engine->kv_cache_tokens};
}

}  // namespace

void EngineOrders::Decide(const std::set<std::string>& daemons) {
  if (!m_context.table) return;
  ObserveFailureDomains();
  const TimePoint now = SteadyNow();
  m_demand.Retain(daemons);
  for (const RelayService& service : m_context.table->Configuration().services) {
    if (service.engine && service.scale) DecideFor(service, daemons, now);
  }
}

void EngineOrders::DecideFor(const RelayService& service, const std::set<std::string>& daemons,
                             TimePoint now) {
  const EngineScaling::Limits limits = LimitsOf(service);
  EngineScaling& scaling = m_scalings.try_emplace(service.name, limits).first->second;
  scaling.SetLimits(limits);
  const EngineScaling::Demand demand = m_demand.DemandFor(service.name, daemons, now);
  scaling.Observe(demand, now);
  for (const EngineScaling::Order& order : scaling.Decide(EnginesOf(service.name, now), now)) {
    SetOrder(service.name, order, demand, now);
  }
}

void EngineOrders::SetOrder(const ServiceName& service, const EngineScaling::Order& order,
                            const EngineScaling::Demand& demand, TimePoint now) {
  Subject& subject = m_subjects[{service, order.failure_domain}];
  subject.order = {service, order.failure_domain, order.desired};
  subject.due = now;
  m_context.metrics.SetGauge("duty_engines_desired", service + "/" + order.failure_domain,
                             order.desired);
  Log(LogLevel::kInfo, "engines_ordered",
      {{"service", service},
       {"failure_domain", order.failure_domain},
       {"desired", order.desired},
       {"reason", order.reason},
       {"prompt_tokens_per_s", std::lround(demand.prompt_tokens_per_second)},
       {"requests", std::lround(demand.requests)}});
}

void EngineOrders::ObserveFailureDomains() {
  if (!m_context.table) return;
  for (const RelayService& service : m_context.table->Configuration().services) {
    if (!service.engine || !service.scale) continue;
    std::set<std::string>& domains = m_failure_domains[service.name];
    for (const DirectoryEndpoint* endpoint :
         m_context.endpoints.Staying(service.name, SteadyNow())) {
      domains.insert(endpoint->record.failure_domain);
    }
  }
}

/// Returns the number of engines in each failure domain that has or had some.
std::map<std::string, int> EngineOrders::EnginesOf(const ServiceName& service,
                                                   TimePoint now) const {
  std::map<std::string, int> engines;
  const auto domains = m_failure_domains.find(service);
  if (domains == m_failure_domains.end()) return engines;
  for (const std::string& domain : domains->second) engines[domain] = 0;
  for (const DirectoryEndpoint* endpoint : m_context.endpoints.Staying(service, now)) {
    ++engines[endpoint->record.failure_domain];
  }
  return engines;
}

std::vector<EngineOrder> EngineOrders::TakeDue() {
  const TimePoint now = SteadyNow();
  std::vector<EngineOrder> orders;
  for (auto& [key, subject] : m_subjects) {
    const bool is_due = subject.due && *subject.due <= now && !subject.is_in_flight;
    if (!is_due) continue;
    subject.due.reset();
    subject.is_in_flight = true;
    orders.push_back(subject.order);
  }
  return orders;
}

void EngineOrders::OnSent(const EngineOrder& order, DutyCallResult result) {
  const auto found = m_subjects.find({order.service, order.failure_domain});
  if (found == m_subjects.end()) return;
  Subject& subject = found->second;
  subject.is_in_flight = false;
  const auto send_again_after = [&subject](Duration duration) {
    const TimePoint at = SteadyNow() + duration;
    subject.due = subject.due ? std::min(*subject.due, at) : at;
  };
  switch (result) {
    case DutyCallResult::kAccepted:
      if (std::exchange(subject.has_unanswered, false)) send_again_after(kLateExecution);
      break;
    case DutyCallResult::kFenced:
      break;
    case DutyCallResult::kUnknown:
      subject.has_unanswered = true;
      send_again_after(kRepeatInterval);
      break;
    case DutyCallResult::kThrottled:
    case DutyCallResult::kRefused:
    case DutyCallResult::kNotSent:
      send_again_after(kRepeatInterval);
      break;
  }
}

std::vector<EngineOrder> EngineOrders::Latest() const {
  std::vector<EngineOrder> orders;
  for (const auto& [key, subject] : m_subjects) orders.push_back(subject.order);
  return orders;
}

void EngineOrders::Clear() {
  m_scalings.clear();
  m_subjects.clear();
}

}  // namespace fulmarpoint
