#include "server/credit_driver.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "protocol/peer_frame.h"
#include "server/catalogue_view.h"
#include "server/endpoint_registry.h"
#include "server/metrics.h"
#include "server/peer_service.h"
#include "state/admission_table.h"
#include "state/credit_table.h"

namespace fulmarpoint {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(100);
// Owners need the loads of their endpoints at least every 2 s.
constexpr Duration kTopologyInterval = std::chrono::seconds(1);
constexpr Duration kRequestTimeout = std::chrono::milliseconds(800);

/// The daemons as the credits see them.
struct Daemons {
  /// Alive and staying, this one included.
  std::vector<InstanceId> usable;
  DaemonsSeen seen;
};

}  // namespace

struct CreditDriver::State : std::enable_shared_from_this<CreditDriver::State> {
  State(Services& shared, CreditTable& table, AdmissionTable& admission_table, PeerService& service)
      : services(shared), credits(table), admission(admission_table), peers(service) {}

  Task<void> Run();
  Task<std::string> AnswerRequest(std::string body);
  Task<void> Ask(SendCreditRequest action);
  void UpdateTopology(TimePoint now);
  void UpdateSubset(const Daemons& daemons, TimePoint now);
  void UpdateOwned(const Daemons& daemons, TimePoint now);
  void UpdateDemand(TimePoint now);
  void Execute(const std::vector<CreditHolderAction>& actions);
  void Execute(const std::vector<CreditOwnerAction>& actions);
  Daemons SeenDaemons();
  std::string AddressOf(const InstanceId& daemon);

  Services& services;
  CreditTable& credits;
  AdmissionTable& admission;
  PeerService& peers;
  std::atomic<bool> stopped{false};

  std::mutex mutex;
  /// Latest state of the other daemons by name.
  std::map<std::string, MemberUpdate> members;

  // Used by `Run` only.
  TimePoint next_topology{};
  std::vector<std::pair<EndpointId, std::string>> last_subset;
  std::vector<EndpointHash> last_owned;
  std::map<ServiceName, int> last_waiting;
  std::atomic<Duration::rep> next_timer{0};
};

Daemons CreditDriver::State::SeenDaemons() {
  Daemons daemons;
  daemons.usable.push_back(services.self);
  const std::lock_guard<std::mutex> lock(mutex);
  for (const auto& [name, member] : members) {
    if (name == services.self.name || member.leaving || member.state == MemberState::kLeft)
      continue;
    ++daemons.seen.known;
    if (member.state == MemberState::kFailed) continue;
    ++daemons.seen.visible;
    daemons.usable.push_back(member.id);
  }
  return daemons;
}

std::string CreditDriver::State::AddressOf(const InstanceId& daemon) {
  const std::lock_guard<std::mutex> lock(mutex);
  const auto found = members.find(daemon.name);
  return found != members.end() && found->second.id == daemon ? found->second.address : "";
}

void CreditDriver::State::UpdateSubset(const Daemons& daemons, TimePoint now) {
  const std::shared_ptr<const CatalogueSnapshot> catalogue = services.catalogue.Current();
  std::vector<SubsetEndpoint> subset;
  std::set<EndpointId> used;
  for (const auto& [name, service] : catalogue->services) {
    std::set<EndpointId> endpoints;
    for (const EndpointCandidate& candidate : services.endpoints.Candidates(*service->entry)) {
      endpoints.insert(candidate.route.endpoint);
    }
    const std::vector<EndpointId> list(endpoints.begin(), endpoints.end());
    for (SubsetEndpoint& member : CreditSubset(services.self, daemons.usable, name, list,
                                               static_cast<int>(catalogue->services.size()))) {
      // The credits of an endpoint are counted once, under the first service that it serves.
      if (used.insert(member.endpoint).second) subset.push_back(std::move(member));
    }
  }
  std::vector<std::pair<EndpointId, std::string>> summary;
  for (const SubsetEndpoint& member : subset) {
    summary.emplace_back(member.endpoint, member.service + " " + ToString(member.owner));
  }
  if (summary == last_subset) return;
  last_subset = std::move(summary);
  Execute(credits.Handle(SubsetChanged{std::move(subset)}, now));
}

void CreditDriver::State::UpdateOwned(const Daemons& daemons, TimePoint now) {
  std::vector<EndpointHash> owned;
  std::vector<OwnedLoadReported> loads;
  for (const EndpointRecord& record : services.endpoints.All()) {
    if (!record.health.reported) continue;
    if (CreditOwnerOf(record.id, daemons.usable) != services.self) continue;
    const EndpointHash hash = StableHash(record.id);
    owned.push_back(hash);
    loads.push_back({hash, record.health.slots, record.health.active, record.health.queued});
  }
  std::sort(owned.begin(), owned.end());
  if (owned != last_owned) {
    last_owned = owned;
    Execute(credits.Handle(OwnedEndpointsChanged{std::move(owned)}, now));
  }
  for (const OwnedLoadReported& load : loads) Execute(credits.Handle(load, now));
}

void CreditDriver::State::UpdateTopology(TimePoint now) {
  const Daemons daemons = SeenDaemons();
  Execute(credits.Handle(daemons.seen, now));
  UpdateOwned(daemons, now);
  UpdateSubset(daemons, now);
}

void CreditDriver::State::UpdateDemand(TimePoint now) {
  for (const ServiceName& service : admission.Services()) {
    const int waiting = static_cast<int>(admission.LoadOf(service).waiting);
    int& last = last_waiting[service];
    if (waiting == last) continue;
    last = waiting;
    Execute(credits.Handle(CreditDemandChanged{service, waiting}, now));
  }
}

void CreditDriver::State::Execute(const std::vector<CreditHolderAction>& actions) {
  for (const CreditHolderAction& action : actions) {
    if (const SendCreditRequest* send = std::get_if<SendCreditRequest>(&action)) {
      services.metrics.Count("credit_requests", send->to == services.self ? "self" : "peer");
      if (send->to == services.self) {
        Execute(credits.Handle(CreditRequestReceived{send->request}, SteadyNow()));
      } else {
        Spawn(MakeStrand(services.executor),
              [self = shared_from_this(), request = *send]() { return self->Ask(request); });
      }
    } else if (const SetCreditTimer* timer = std::get_if<SetCreditTimer>(&action)) {
      next_timer = timer->at.time_since_epoch().count();
    } else {
      const CreditSlotsChanged& changed = std::get<CreditSlotsChanged>(action);
      services.metrics.SetGauge("credit_slots", changed.service, changed.slots);
    }
  }
}

void CreditDriver::State::Execute(const std::vector<CreditOwnerAction>& actions) {
  // Only requests of this daemon come here; those of peers are answered in `AnswerRequest`.
  for (const CreditOwnerAction& action : actions) {
    const SendCreditGrant& send = std::get<SendCreditGrant>(action);
    if (send.to != services.self) continue;
    Execute(credits.Handle(CreditGrantReceived{send.grant}, SteadyNow()));
  }
}

Task<void> CreditDriver::State::Ask(SendCreditRequest action) {
  const std::shared_ptr<State> self = shared_from_this();
  const std::string address = AddressOf(action.to);
  if (address.empty()) co_return;
  PeerFrame frame;
  frame.kind = PeerFrameKind::kCredits;
  frame.body = EncodeCreditRequest(action.request);
  const PeerAnswer answer = co_await peers.Request(address, std::move(frame), kRequestTimeout);
  if (stopped) co_return;
  services.metrics.Count("credit_answers", answer.error ? "failed" : "ok");
  if (answer.error) co_return;
  const Parsed<CreditGrant> grant = DecodeCreditGrant(answer.body);
  if (!grant || grant.Value().owner != action.to) co_return;
  Execute(credits.Handle(CreditGrantReceived{grant.Value()}, SteadyNow()));
}

Task<std::string> CreditDriver::State::AnswerRequest(std::string body) {
  const Parsed<CreditRequest> request = DecodeCreditRequest(body);
  if (!request) co_return std::string();
  const std::vector<CreditOwnerAction> actions =
      credits.Handle(CreditRequestReceived{request.Value()}, SteadyNow());
  for (const CreditOwnerAction& action : actions) {
    const SendCreditGrant& send = std::get<SendCreditGrant>(action);
    if (send.to == request.Value().holder) co_return EncodeCreditGrant(send.grant);
  }
  co_return std::string();
}

Task<void> CreditDriver::State::Run() {
  const std::shared_ptr<State> self = shared_from_this();
  while (!stopped) {
    const TimePoint now = SteadyNow();
    if (now >= next_topology) {
      next_topology = now + kTopologyInterval;
      UpdateTopology(now);
    }
    UpdateDemand(now);
    if (now >= TimePoint(Duration(next_timer.load()))) {
      Execute(credits.Handle(CreditTimerFired{}, now));
    }
    co_await Sleep(kTick);
  }
}

CreditDriver::CreditDriver(Services& services, CreditTable& credits, AdmissionTable& admission,
                           PeerService& peers)
    : m_state(std::make_shared<State>(services, credits, admission, peers)) {}

CreditDriver::~CreditDriver() { Stop(); }

void CreditDriver::Register() {
  m_state->peers.SetFrameHandler(PeerFrameKind::kCredits, [state = m_state](std::string body) {
    return state->AnswerRequest(std::move(body));
  });
}

void CreditDriver::Start() {
  Spawn(MakeStrand(m_state->services.executor), [state = m_state]() { return state->Run(); });
}

void CreditDriver::Stop() { m_state->stopped = true; }

void CreditDriver::OnMember(const MemberUpdate& member) {
  const std::lock_guard<std::mutex> lock(m_state->mutex);
  m_state->members[member.id.name] = member;
}

}  // namespace fulmarpoint
