#include "server/credit_driver.h"

#include <algorithm>
#include <set>
#include <utility>

namespace fulmarpoint {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(250);

/// The daemons as this one sees them.
struct View {
  /// Visible daemons in the order of their names, with this one.
  std::vector<InstanceId> visible;
  int known = 1;
  bool alone = false;

  bool operator==(const View& other) const = default;
};

}  // namespace

struct CreditDriver::State : std::enable_shared_from_this<CreditDriver::State> {
  State(const InstanceId& own, CreditTable& credits, Sources own_sources)
      : self(own), table(credits), sources(std::move(own_sources)) {}

  View CurrentView();
  void UpdateEndpoints(const std::vector<CreditEndpoint>& endpoints);
  void ReportDemand(const std::vector<CreditEndpoint>& endpoints);
  void Execute(const std::vector<CreditHolderAction>& actions);
  void Ask(const SendCreditRequest& send);
  std::string AddressOf(const InstanceId& id);

  const InstanceId self;
  CreditTable& table;
  const Sources sources;
  std::atomic<bool> stopped{false};
  /// Only `Tick` uses these; `ticking` serialises it.
  std::mutex ticking;
  View view;
  std::vector<EndpointId> known_endpoints;

  std::mutex mutex;
  std::map<std::string, MemberUpdate> members;
};

View CreditDriver::State::CurrentView() {
  const std::vector<std::string> names = sources.listed_daemons();
  const std::set<std::string> listed(names.begin(), names.end());
  View current;
  current.visible.push_back(self);
  bool alone = true;
  for (const std::string& name : listed) alone = alone && name == self.name;
  const std::lock_guard<std::mutex> lock(mutex);
  for (const auto& [name, member] : members) {
    if (name == self.name || member.state == MemberState::kLeft) continue;
    alone = false;
    const bool visible = member.state != MemberState::kFailed;
    // A failed daemon counts until the platform's list confirms that it is gone.
    if (visible || listed.contains(name)) ++current.known;
    if (visible && !member.leaving) current.visible.push_back(member.id);
    if (visible && member.leaving) --current.known;
  }
  std::sort(current.visible.begin(), current.visible.end());
  current.alone = alone;
  return current;
}

void CreditDriver::State::UpdateEndpoints(const std::vector<CreditEndpoint>& endpoints) {
  const TimePoint now = sources.now();
  View current = CurrentView();
  std::vector<EndpointId> ids;
  ids.reserve(endpoints.size());
  for (const CreditEndpoint& endpoint : endpoints) ids.push_back(endpoint.id);
  if (current == view && ids == known_endpoints) return;
  view = std::move(current);
  known_endpoints = ids;
  table.Handle(
      CreditOwnerEvent(VisibleDaemonsChanged{static_cast<int>(view.visible.size()), view.known}),
      now);
  OwnedEndpointsChanged owned;
  owned.alone = view.alone;
  // An endpoint that runs several services is one subset member, under the first of them.
  std::map<ServiceName, std::vector<EndpointId>> by_service;
  for (const CreditEndpoint& endpoint : endpoints) {
    if (CreditOwnerOf(endpoint.id, view.visible) == self) {
      owned.endpoints.push_back(StableHash(endpoint.id));
    }
    if (!endpoint.services.empty()) by_service[endpoint.services.front()].push_back(endpoint.id);
  }
  table.Handle(CreditOwnerEvent(owned), now);
  SubsetChanged subset;
  const int services = static_cast<int>(by_service.size());
  for (const auto& [service, members_of_service] : by_service) {
    const std::vector<SubsetEndpoint> part =
        CreditSubset(self, view.visible, service, members_of_service, services);
    subset.endpoints.insert(subset.endpoints.end(), part.begin(), part.end());
  }
  for (const CreditEndpoint& endpoint : endpoints) {
    table.Handle(CreditOwnerEvent(OwnedLoadReported{StableHash(endpoint.id), endpoint.slots,
                                                    endpoint.active, endpoint.queued}),
                 now);
  }
  Execute(table.Handle(CreditHolderEvent(subset), now));
}

void CreditDriver::State::ReportDemand(const std::vector<CreditEndpoint>& endpoints) {
  // Demand for a service counts for the first service of each endpoint that can run it.
  std::map<ServiceName, std::set<ServiceName>> served;
  for (const CreditEndpoint& endpoint : endpoints) {
    for (const ServiceName& service : endpoint.services) {
      served[endpoint.services.front()].insert(service);
    }
  }
  for (const auto& [label, services] : served) {
    int waiting = 0;
    for (const ServiceName& service : services) waiting += sources.waiting(service);
    Execute(table.Handle(CreditHolderEvent(CreditDemandChanged{label, waiting}), sources.now()));
  }
}

void CreditDriver::State::Execute(const std::vector<CreditHolderAction>& actions) {
  // Timers and slots are polled by `Tick` and by admission.
  for (const CreditHolderAction& action : actions) {
    if (const auto* send = std::get_if<SendCreditRequest>(&action)) Ask(*send);
  }
}

void CreditDriver::State::Ask(const SendCreditRequest& send) {
  if (send.to == self) {
    for (const CreditOwnerAction& action :
         table.Handle(CreditOwnerEvent(CreditRequestReceived{send.request}), sources.now())) {
      const CreditGrant& grant = std::get<SendCreditGrant>(action).grant;
      table.Handle(CreditHolderEvent(CreditGrantReceived{grant}), sources.now());
    }
    return;
  }
  const std::string address = AddressOf(send.to);
  if (address.empty()) return;
  const std::weak_ptr<State> weak = weak_from_this();
  sources.ask(address, EncodeCreditRequest(send.request), [weak](std::string_view body) {
    const std::shared_ptr<State> state = weak.lock();
    if (!state || state->stopped) return;
    const Parsed<CreditGrant> grant = DecodeCreditGrant(body);
    if (!grant) return;
    state->table.Handle(CreditHolderEvent(CreditGrantReceived{grant.Value()}),
                        state->sources.now());
  });
}

std::string CreditDriver::State::AddressOf(const InstanceId& id) {
  const std::lock_guard<std::mutex> lock(mutex);
  const auto found = members.find(id.name);
  return found == members.end() ? "" : found->second.address;
}

CreditDriver::CreditDriver(const InstanceId& self, CreditTable& table, Sources sources)
    : m_state(std::make_shared<State>(self, table, std::move(sources))) {}

CreditDriver::~CreditDriver() { Stop(); }

void CreditDriver::Start(const Executor& executor) {
  Spawn(MakeStrand(executor), [this, state = m_state]() -> Task<void> {
    while (!state->stopped) {
      Tick();
      co_await Sleep(kTick);
    }
  });
}

void CreditDriver::Stop() { m_state->stopped = true; }

void CreditDriver::OnMember(const MemberUpdate& member) {
  const std::lock_guard<std::mutex> lock(m_state->mutex);
  MemberUpdate& known = m_state->members[member.id.name];
  std::string address = member.has_location ? member.address : known.address;
  known = member;
  known.address = std::move(address);
}

void CreditDriver::Tick() {
  State& state = *m_state;
  const std::lock_guard<std::mutex> lock(state.ticking);
  const std::vector<CreditEndpoint> endpoints = state.sources.endpoints();
  for (const CreditEndpoint& endpoint : endpoints) {
    state.table.Handle(CreditOwnerEvent(OwnedLoadReported{StableHash(endpoint.id), endpoint.slots,
                                                          endpoint.active, endpoint.queued}),
                       state.sources.now());
  }
  state.UpdateEndpoints(endpoints);
  state.Execute(state.table.Handle(CreditHolderEvent(CreditTimerFired{}), state.sources.now()));
  state.ReportDemand(endpoints);
}

std::string CreditDriver::Answer(std::string_view request) {
  const Parsed<CreditRequest> decoded = DecodeCreditRequest(request);
  if (!decoded) return "";
  const std::vector<CreditOwnerAction> actions = m_state->table.Handle(
      CreditOwnerEvent(CreditRequestReceived{decoded.Value()}), m_state->sources.now());
  if (actions.empty()) return "";
  return EncodeCreditGrant(std::get<SendCreditGrant>(actions.front()).grant);
}

}  // namespace fulmarpoint
