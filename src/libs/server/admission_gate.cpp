#include "server/admission_gate.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "server/catalogue_view.h"
#include "server/endpoint_registry.h"
#include "server/request_log.h"
#include "state/admission_table.h"
#include "state/credit_table.h"
#include "transport/http_server.h"
#include "transport/notification.h"
#include "utils/metrics.h"

namespace fulmarpoint {

namespace {

constexpr Duration kTimerInterval = std::chrono::milliseconds(100);

/// A request that waits. `decided` and `refusal` are used on its strand only.
struct Waiter {
  explicit Waiter(const Executor& own_strand) : strand(own_strand), wake(strand) {}

  const Executor strand;
  Notification wake;
  bool decided = false;
  std::optional<Refusal> refusal;
};

Refusal ToRefusal(const RejectRequest& refuse) {
  switch (refuse.code) {
    case ResultCode::kOrganisationLimit:
      return {refuse.code, "the organisation has too many requests at this daemon",
              refuse.retry_after};
    case ResultCode::kNoEndpoint:
      return {refuse.code, "this daemon may use no slot of the service's endpoints now",
              refuse.retry_after};
    default:
      return {refuse.code, "the predicted wait is longer than the service allows",
              refuse.retry_after};
  }
}

}  // namespace

struct AdmissionGate::State : std::enable_shared_from_this<AdmissionGate::State> {
  State(Services& shared, AdmissionTable& admission) : services(shared), table(admission) {}

  Task<void> RunTimer();
  void Execute(const std::vector<AdmissionAction>& actions);
  void Decide(std::uint64_t number, std::optional<Refusal> refusal);
  /// Slots that this daemon may use now: running requests and free credits.
  int SlotsOf(const CatalogueEntry& entry) const;
  /// Slots that it can probably have in a moment.
  int ExpectedOf(const CatalogueEntry& entry) const;
  template <typename Free>
  int CountSlots(const CatalogueEntry& entry, Free free_at) const;

  Services& services;
  AdmissionTable& table;
  const CreditTable* credits = nullptr;
  std::atomic<bool> stopped{false};
  std::atomic<bool> has_had_slots{false};
  std::atomic<std::uint64_t> next{1};
  std::mutex mutex;
  std::map<std::uint64_t, std::shared_ptr<Waiter>> waiters;
};

int AdmissionGate::State::SlotsOf(const CatalogueEntry& entry) const {
  if (credits == nullptr) return ExpectedOf(entry);
  return CountSlots(entry, [this](const RouteCandidate& candidate) {
    return credits->Free(candidate.endpoint, SteadyNow());
  });
}

int AdmissionGate::State::ExpectedOf(const CatalogueEntry& entry) const {
  // The free slots that the endpoints last reported are shared by all daemons; a daemon that finds
  // them taken learns it from the owners of the credits or from the next report.
  return CountSlots(entry, [](const RouteCandidate& candidate) {
    const EndpointHealthView& health = candidate.health;
    return std::max(0,
                    health.slots - health.active - health.queued - candidate.started_since_report);
  });
}

template <typename Free>
int AdmissionGate::State::CountSlots(const CatalogueEntry& entry, Free free_at) const {
  int free = 0;
  // An engine with several versions is a candidate for each of them.
  std::set<EndpointId> counted;
  for (const EndpointCandidate& candidate : services.endpoints.Candidates(entry)) {
    const EndpointHealthView& health = candidate.route.health;
    if (!counted.insert(candidate.route.endpoint).second) continue;
    if (health.state == EndpointState::kLive) {
      free += free_at(candidate.route);
    } else {
      // A trial needs one request to be admitted; without it the endpoint would stay unused.
      free += health.trial_due ? 1 : 0;
    }
  }
  return std::min(entry.limits.max_concurrent, table.LoadOf(entry.service).running + free);
}

void AdmissionGate::State::Execute(const std::vector<AdmissionAction>& actions) {
  for (const AdmissionAction& action : actions) {
    if (const RejectRequest* refuse = std::get_if<RejectRequest>(&action)) {
      Decide(refuse->request, ToRefusal(*refuse));
    } else {
      Decide(std::get<Admit>(action).request, std::nullopt);
    }
  }
}

void AdmissionGate::State::Decide(std::uint64_t number, std::optional<Refusal> refusal) {
  std::shared_ptr<Waiter> waiter;
  {
    const std::lock_guard<std::mutex> lock(mutex);
    const auto found = waiters.find(number);
    if (found == waiters.end()) return;
    waiter = std::move(found->second);
    waiters.erase(found);
  }
  Post(waiter->strand, [waiter, refusal = std::move(refusal)]() {
    waiter->decided = true;
    waiter->refusal = refusal;
    waiter->wake.Notify();
  });
}

Task<void> AdmissionGate::State::RunTimer() {
  const std::shared_ptr<State> self = shared_from_this();
  while (!stopped) {
    co_await Sleep(kTimerInterval);
    const std::shared_ptr<const CatalogueSnapshot> catalogue = services.catalogue.Current();
    for (const ServiceName& service : table.Services()) {
      const ServiceEntryPtr entry = catalogue->Find(service);
      const TimePoint now = SteadyNow();
      const int slots = entry ? SlotsOf(*entry->entry) : 0;
      const int expected = entry ? ExpectedOf(*entry->entry) : 0;
      Execute(table.Handle(service, AdmissionSlotsChanged{slots, expected}, now));
      Execute(table.Handle(service, AdmissionTimerFired{}, now));
      const AdmissionTable::Load load = table.LoadOf(service);
      services.metrics.SetGauge("admission_running", service, load.running);
      services.metrics.SetGauge("admission_waiting", service, static_cast<double>(load.waiting));
    }
  }
}

AdmissionGate::Slot::Slot(AdmissionGate& gate, ServiceName service, std::uint64_t number)
    : m_gate(gate), m_service(std::move(service)), m_number(number) {}

AdmissionGate::Slot::~Slot() {
  State& state = *m_gate.m_state;
  {
    const std::lock_guard<std::mutex> lock(state.mutex);
    state.waiters.erase(m_number);
  }
  const TimePoint now = SteadyNow();
  // One of the two has an effect: the request was admitted, or it still waits.
  state.Execute(state.table.Handle(m_service, AdmissionAbandoned{m_number}, now));
  state.Execute(state.table.Handle(m_service, AdmissionEnded{m_number}, now));
}

AdmissionGate::AdmissionGate(Services& services, AdmissionTable& table)
    : m_state(std::make_shared<State>(services, table)) {}

AdmissionGate::~AdmissionGate() { Stop(); }

void AdmissionGate::SetCredits(const CreditTable& credits) { m_state->credits = &credits; }

void AdmissionGate::Start() {
  Spawn(MakeStrand(m_state->services.executor), [state = m_state]() { return state->RunTimer(); });
}

void AdmissionGate::Stop() { m_state->stopped = true; }

bool AdmissionGate::HasHadSlots() const {
  if (m_state->has_had_slots) return true;
  bool has_live_endpoint = false;
  for (const auto& [name, service] : m_state->services.catalogue.Current()->services) {
    const std::vector<EndpointCandidate> candidates =
        m_state->services.endpoints.Candidates(*service->entry);
    const bool is_live =
        std::any_of(candidates.begin(), candidates.end(), [](const EndpointCandidate& candidate) {
          return candidate.route.health.state == EndpointState::kLive;
        });
    if (is_live && m_state->SlotsOf(*service->entry) == 0) return false;
    has_live_endpoint = has_live_endpoint || is_live;
  }
  // Endpoints that are listed but have not reported yet will have slots later.
  if (!has_live_endpoint) return m_state->services.endpoints.All().empty();
  m_state->has_had_slots = true;
  return true;
}

Task<std::unique_ptr<AdmissionGate::Slot>> AdmissionGate::WaitForSlot(AdmissionTicket ticket,
                                                                      HttpExchange& exchange) {
  const std::shared_ptr<State> state = m_state;
  const Executor strand = co_await CurrentExecutor();
  const std::shared_ptr<Waiter> waiter = std::make_shared<Waiter>(strand);
  const std::uint64_t number = state->next++;
  {
    const std::lock_guard<std::mutex> lock(state->mutex);
    state->waiters.emplace(number, waiter);
  }
  std::unique_ptr<Slot> slot = std::make_unique<Slot>(*this, ticket.entry->service, number);
  AdmissionRequested event;
  event.request = number;
  event.organisation = ticket.organisation;
  event.weight = ticket.weight;
  event.max_concurrent = ticket.max_concurrent;
  event.priority = ticket.priority;
  event.deadline = ticket.deadline;
  const TimePoint start = SteadyNow();
  state->Execute(state->table.Request(*ticket.entry, event, state->SlotsOf(*ticket.entry), start,
                                      state->ExpectedOf(*ticket.entry)));
  exchange.OnClientDisconnect([waiter]() { waiter->wake.Notify(); });
  while (!waiter->decided && !exchange.ClientDisconnected()) co_await waiter->wake.Wait();
  exchange.OnClientDisconnect(nullptr);
  slot->refusal = waiter->refusal;
  state->services.metrics.Observe("admission_wait", ticket.entry->service, SteadyNow() - start);
  if (slot->refusal) {
    state->services.request_log.Add(ticket.id, "refused", slot->refusal->detail);
  } else if (waiter->decided) {
    state->services.request_log.Add(ticket.id, "admitted", "a slot is free");
  }
  co_return slot;
}

}  // namespace fulmarpoint
