#include "coordination/order_controller.h"

#include <algorithm>

namespace fulmarpoint {

namespace {

constexpr Duration kTick = std::chrono::seconds(1);

}  // namespace

void OrderController::Handle(const Event& event, TimePoint now, std::vector<Action>& actions) {
  std::visit([&](const auto& specific) { On(specific, now, actions); }, event);
}

void OrderController::On(const LeaseAcquired& event, TimePoint now, Actions& actions) {
  m_active = true;
  m_fencing_token = event.fencing_token;
  m_acquired_at = now;
  Record({.at = now, .kind = OrderEventKind::kLeaseAcquired, .fencing_token = m_fencing_token});
  if (!m_timer_set) actions.emplace_back(SetTimer{now + kTick});
  m_timer_set = true;
}

void OrderController::On(const LeaseLost&, TimePoint now, Actions&) {
  m_active = false;
  // The successor handles the open orders.
  for (auto& [endpoint, engine] : m_engines) engine.order.reset();
  Record({.at = now, .kind = OrderEventKind::kLeaseLost, .fencing_token = m_fencing_token});
}

void OrderController::On(const DemandChanged& event, TimePoint, Actions&) {
  m_demands = event.demands;
}

void OrderController::On(const EngineReport& event, TimePoint now, Actions&) {
  Engine& engine = m_engines[event.endpoint];
  const bool restarted = engine.incarnation != 0 && engine.incarnation != event.incarnation;
  // The order is lost with the earlier process only if that process reported after the longest time
  // that the order can be in transit. Otherwise it may still reach the new process and stays open.
  const bool is_lost = restarted && engine.order && engine.reported &&
                       *engine.reported >= engine.order->sent + m_options.successor_wait;
  if (is_lost) {
    Close(event.endpoint, engine, OrderEventKind::kEngineRestarted, now);
  }
  engine.incarnation = event.incarnation;
  engine.leaving = event.leaving;
  engine.failed = false;
  engine.loaded = event.loaded;
  engine.reported = now;
  if (!engine.order) return;
  // An order that is still in transit could arrive after the next one.
  const bool arrived =
      engine.order->answered || now - engine.order->sent >= m_options.successor_wait;
  if (!arrived) return;
  const bool has_model = engine.loaded.contains(engine.order->model);
  if (has_model == (engine.order->action == OrderAction::kLoad)) {
    engine.backoff.erase(engine.order->model);
    Close(event.endpoint, engine, OrderEventKind::kCompleted, now);
  }
}

void OrderController::On(const EngineFailed& event, TimePoint, Actions&) {
  const auto engine = m_engines.find(event.endpoint);
  if (engine == m_engines.end()) return;
  // An open order stays open, because the engine may have received it and may recover.
  engine->second.failed = true;
}

void OrderController::On(const OrderAnswered& event, TimePoint now, Actions&) {
  for (auto& [endpoint, engine] : m_engines) {
    if (!engine.order || engine.order->id != event.order) continue;
    switch (event.answer) {
      case Answer::kAccepted:
        engine.order->answered = true;
        Record({now, OrderEventKind::kAnswered, endpoint, engine.order->action, engine.order->model,
                engine.order->cause, m_fencing_token});
        return;
      case Answer::kUnknown:
        // The order may have arrived; a report of the engine or the timeout closes it.
        return;
      case Answer::kRejected:
        return Close(endpoint, engine, OrderEventKind::kRejected, now);
      case Answer::kStaleToken:
        // Another daemon holds the lease; the next renewal here will fail and end the lease.
        Close(endpoint, engine, OrderEventKind::kRejected, now);
        m_active = false;
        return;
    }
  }
}

void OrderController::On(const TimerFired&, TimePoint now, Actions& actions) {
  actions.emplace_back(SetTimer{now + kTick});
  for (auto& [endpoint, engine] : m_engines) {
    if (engine.order && now - engine.order->sent >= m_options.order_timeout) {
      Close(endpoint, engine, OrderEventKind::kTimedOut, now);
    }
  }
  if (m_active && m_lease.MaySend(now)) Plan(now, actions);
}

void OrderController::Plan(TimePoint now, Actions& actions) {
  for (const Gap& gap : Gaps(now)) {
    if (gap.supply < gap.demand->wanted) PlanLoad(gap, now, actions);
  }
  for (const ModelDemand& demand : m_demands) {
    if (demand.wanted == 0) PlanUnload(demand, now, actions);
  }
}

std::vector<OrderController::Gap> OrderController::Gaps(TimePoint now) const {
  std::vector<Gap> gaps;
  for (const ModelDemand& demand : m_demands) {
    if (demand.wanted == 0) continue;
    Gap gap{&demand, 0, false};
    for (const auto& [endpoint, engine] : m_engines) {
      const bool ordered = engine.order && engine.order->action == OrderAction::kLoad &&
                           engine.order->model == demand.model;
      const bool loaded = engine.loaded.contains(demand.model);
      const bool usable = IsCurrent(engine, now) && !engine.leaving;
      if (usable && (loaded || ordered)) ++gap.supply;
      if (!usable && loaded) gap.capacity_lost = true;
    }
    gaps.push_back(gap);
  }
  // The demand with the smallest share of its supply comes first.
  std::stable_sort(gaps.begin(), gaps.end(), [](const Gap& a, const Gap& b) {
    return a.supply * b.demand->wanted < b.supply * a.demand->wanted;
  });
  return gaps;
}

void OrderController::PlanLoad(const Gap& gap, TimePoint now, Actions& actions) {
  const ModelDemand& demand = *gap.demand;
  const EndpointId* best = nullptr;
  for (const EndpointId& endpoint : demand.allowed) {
    const auto engine = m_engines.find(endpoint);
    if (engine == m_engines.end() || engine->second.loaded.contains(demand.model)) continue;
    if (!MayOrder(engine->second, demand, now)) continue;
    if (!IsWithinChangeLimit(endpoint, demand, now)) continue;
    // A load on the engine with the fewest models disturbs other services least.
    if (best == nullptr || engine->second.loaded.size() < m_engines[*best].loaded.size()) {
      best = &endpoint;
    }
  }
  if (best == nullptr) {
    if (m_no_engine.insert(demand.model).second) {
      Record({.at = now, .kind = OrderEventKind::kNoEngine, .model = demand.model});
    }
    return;
  }
  m_no_engine.erase(demand.model);
  if (now < m_next_load) return;
  m_next_load = now + m_options.load_interval;
  const OrderCause cause = gap.capacity_lost ? OrderCause::kCapacityLost : OrderCause::kMissing;
  Send(*best, OrderAction::kLoad, demand, cause, now, actions);
}

void OrderController::PlanUnload(const ModelDemand& demand, TimePoint now, Actions& actions) {
  for (const auto& [endpoint, engine] : m_engines) {
    if (!engine.loaded.contains(demand.model) || !MayOrder(engine, demand, now)) continue;
    if (!IsWithinChangeLimit(endpoint, demand, now)) continue;
    Send(endpoint, OrderAction::kUnload, demand, OrderCause::kNotWanted, now, actions);
  }
}

bool OrderController::MayOrder(const Engine& engine, const ModelDemand& demand,
                               TimePoint now) const {
  if (engine.order && !m_options.mutate_ignore_open_orders) return false;
  if (engine.leaving || !IsCurrent(engine, now)) return false;
  const auto backoff = engine.backoff.find(demand.model);
  if (backoff != engine.backoff.end() && now < backoff->second.until) return false;
  // By `settled` every order of the predecessor has arrived or failed. Only a later report shows
  // the result.
  TimePoint settled = m_acquired_at;
  const bool wait = demand.fencing == FencingSupport::kIgnored;
  if (wait && !m_options.mutate_skip_successor_wait) settled += m_options.successor_wait;
  return now >= settled && *engine.reported >= settled;
}

bool OrderController::IsCurrent(const Engine& engine, TimePoint now) const {
  return !engine.failed && engine.reported && now - *engine.reported <= m_options.report_limit;
}

bool OrderController::Serves(const Engine& engine, const ServiceName& service) const {
  for (const ModelDemand& demand : m_demands) {
    if (demand.service == service && engine.loaded.contains(demand.model)) return true;
  }
  return false;
}

bool OrderController::IsWithinChangeLimit(const EndpointId& endpoint, const ModelDemand& demand,
                                          TimePoint now) const {
  if (m_options.mutate_ignore_change_limit) return true;
  // A change counts for its own service and for the services that the engine already serves.
  std::set<ServiceName> services = {demand.service};
  const Engine& target = m_engines.at(endpoint);
  for (const ModelDemand& other : m_demands) {
    if (target.loaded.contains(other.model)) services.insert(other.service);
  }
  for (const ServiceName& service : services) {
    std::size_t endpoints = 0;
    std::size_t changing = 0;
    for (const auto& [name, engine] : m_engines) {
      const bool serves = Serves(engine, service);
      if (serves) ++endpoints;
      // An engine that does not report is already lost capacity; its open order must not block a
      // repair.
      if (engine.order && IsCurrent(engine, now) && (serves || engine.order->service == service))
        ++changing;
    }
    const std::size_t limit =
        std::max<std::size_t>(1, endpoints * m_options.max_change_percent / 100);
    if (changing >= limit) return false;
  }
  return true;
}

void OrderController::Send(const EndpointId& endpoint, OrderAction action,
                           const ModelDemand& demand, OrderCause cause, TimePoint now,
                           Actions& actions) {
  const std::uint64_t id = m_next_order++;
  m_engines[endpoint].order = OpenOrder{id, action, demand.model, demand.service, cause, now};
  Record({now, OrderEventKind::kSent, endpoint, action, demand.model, cause, m_fencing_token});
  actions.emplace_back(
      SendOrder{id, endpoint, m_fencing_token, action, demand.model, m_lease.SendLimit()});
}

void OrderController::Close(const EndpointId& endpoint, Engine& engine, OrderEventKind kind,
                            TimePoint now) {
  const OpenOrder order = *engine.order;
  engine.order.reset();
  Record({now, kind, endpoint, order.action, order.model, order.cause, m_fencing_token});
  if (kind == OrderEventKind::kCompleted) return;
  Backoff& backoff = engine.backoff[order.model];
  backoff.delay = std::clamp(2 * backoff.delay, m_options.backoff_start, m_options.backoff_limit);
  backoff.until = now + backoff.delay;
}

void OrderController::Record(OrderEvent event) {
  m_events.push_back(std::move(event));
  if (m_events.size() > m_options.max_events) m_events.pop_front();
}

std::size_t OrderController::OpenOrders() const {
  std::size_t count = 0;
  for (const auto& [endpoint, engine] : m_engines) count += engine.order ? 1 : 0;
  return count;
}

}  // namespace fulmarpoint
