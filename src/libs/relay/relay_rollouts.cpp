#include "relay/relay_rollouts.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "coordination/rendezvous_owner.h"
#include "protocol/relay_datagram.h"
#include "relay/peer_exchange.h"
#include "relay/rollout_control.h"
#include "utils/logging.h"
#include "utils/overloaded.h"

namespace fulmarpoint {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(250);
constexpr Duration kReplyTimeout = std::chrono::milliseconds(500);

}  // namespace

struct RelayRollouts::State : std::enable_shared_from_this<RelayRollouts::State> {
  struct Rollout {
    RolloutParticipant participant;
    /// How the rollout ended, once known. From then on nothing is compared or reported.
    std::optional<RolloutPhase> end;
    /// Index of the candidate controller that gets the next report. Advances if it does not reply.
    std::size_t candidate = 0;

    const RolloutRequest& Request() const { return participant.Rollout(); }
  };

  State(RelayContext& shared, PeerExchange& peer_exchange, PeerConnections& peer_connections,
        EncodeStatus encode_status, std::uint64_t seed);

  void Perform(const RolloutOrders::Action& action);
  void Start(const RolloutOrder& order, std::uint64_t row_version);
  void Withdraw(const ServiceName& service);
  bool IsIdle() const { return rollouts.empty() && !orders.HasPending(); }
  Task<void> Run();
  void Handle(Rollout& rollout, const RolloutParticipant::Event& event);
  Task<void> Report(RolloutReport report);
  Task<std::optional<RolloutDirective>> SendReportTo(const PeerRecord* candidate,
                                                     RolloutReport report);
  void OnDirective(const RolloutDirective& directive);
  void End(Rollout& rollout, RolloutPhase phase);
  void KeepLatency(const ServiceName& service, const VersionOutcome& outcome);
  void NotifyAllPeers(const BadVersionNotice& notice);
  int CountNewEndpoints(const ServiceName& service, const VersionName& version) const;
  Rollout* Find(const std::string& id);

  RelayContext& context;
  PeerExchange& exchange;
  PeerConnections& connections;
  RolloutControl control;
  RolloutOrders orders;
  std::map<ServiceName, Rollout> rollouts;
  /// The latest latencies of each service on this daemon, except those from during a rollout.
  std::map<ServiceName, RecentLatencies> recent_latencies;
  bool running = false;
  bool stopped = false;
};

RelayRollouts::State::State(RelayContext& shared, PeerExchange& peer_exchange,
                            PeerConnections& peer_connections, EncodeStatus encode_status,
                            std::uint64_t seed)
    : context(shared),
      exchange(peer_exchange),
      connections(peer_connections),
      control(shared,
              {std::move(encode_status),
               [this](const BadVersionNotice& notice) {
                 if (Rollout* rollout = Find(notice.rollout)) {
                   Handle(*rollout, RolloutParticipant::GossipReceived{notice});
                 }
                 NotifyAllPeers(notice);
               }},
              seed) {}

void RelayRollouts::State::Perform(const RolloutOrders::Action& action) {
  std::visit(Overloaded{[this](const RolloutOrders::Ordered& ordered) {
                          Start(ordered.order, ordered.row_version);
                        },
                        [this](const RolloutOrders::Withdrawn& withdrawn) {
                          Withdraw(withdrawn.service);
                        }},
             action);
}

void RelayRollouts::State::Start(const RolloutOrder& order, std::uint64_t row_version) {
  Withdraw(order.service);
  RolloutRequest request;
  request.id = order.service + "/" + order.new_version + "/" + std::to_string(row_version);
  request.to = order.new_version;
  request.deadline =
      WallNow() + std::chrono::duration_cast<std::chrono::milliseconds>(order.time_limit).count();
  const InstanceId self{context.settings.name, context.incarnation};
  rollouts.emplace(order.service, Rollout{RolloutParticipant(self, order.service, request,
                                                             recent_latencies[order.service])});
  control.Add(order.service, request);
  Log(LogLevel::kInfo, "rollout_ordered", {{"rollout", request.id}, {"to", order.new_version}});
}

void RelayRollouts::State::Withdraw(const ServiceName& service) {
  const auto known = rollouts.find(service);
  if (known == rollouts.end()) return;
  control.Remove(known->second.Request().id);
  rollouts.erase(known);
}

/// Drives the rollouts until none is left.
Task<void> RelayRollouts::State::Run() {
  const std::shared_ptr<State> self = shared_from_this();
  while (!stopped && !IsIdle()) {
    std::vector<RolloutOrders::Action> actions;
    orders.Tick(SteadyNow(), actions);
    for (const RolloutOrders::Action& action : actions) Perform(action);
    for (auto& [service, rollout] : rollouts) {
      if (!rollout.end) Handle(rollout, RolloutParticipant::Tick{});
    }
    control.Tick();
    co_await Sleep(kTickInterval);
  }
  running = false;
}

void RelayRollouts::State::Handle(Rollout& rollout, const RolloutParticipant::Event& event) {
  std::vector<RolloutParticipant::Action> actions;
  rollout.participant.Handle(event, SteadyNow(), actions);
  const bool is_local_detection = std::holds_alternative<RolloutParticipant::OutcomeSeen>(event);
  for (const RolloutParticipant::Action& action : actions) {
    if (const auto* send = std::get_if<RolloutParticipant::SendReport>(&action)) {
      Spawn(context.executor,
            [self = shared_from_this(), report = send->report]() { return self->Report(report); });
      continue;
    }
    // The daemon that detects a bad version notifies all others, so received notices are not
    // forwarded.
    if (!is_local_detection) continue;
    const BadVersionNotice& notice = std::get<RolloutParticipant::PublishGossip>(action).notice;
    Log(LogLevel::kWarning, "bad_version",
        {{"rollout", notice.rollout}, {"reason", notice.reason}});
    control.OnBadVersion(notice);
    NotifyAllPeers(notice);
  }
}

Task<void> RelayRollouts::State::Report(RolloutReport report) {
  const std::shared_ptr<State> self = shared_from_this();
  const std::string id = report.rollout;
  const Rollout* rollout = Find(id);
  if (rollout == nullptr) co_return;
  const std::vector<PeerRecord> peers = context.peers.AvailablePeers(SteadyNow());
  const std::vector<const PeerRecord*> candidates =
      OwnersOf(StableHash(id), context.settings.name, peers, kRolloutCandidates);
  const std::optional<RolloutDirective> directive =
      co_await SendReportTo(candidates[rollout->candidate % candidates.size()], std::move(report));
  if (stopped) co_return;
  context.metrics.Count("rollout_reports", directive ? "answered" : "unanswered");
  if (directive) {
    OnDirective(*directive);
  } else if (Rollout* unanswered = Find(id)) {
    ++unanswered->candidate;
  }
}

/// Sends a report to a candidate controller and returns its directive; nothing if it does not reply
/// or does not control the rollout. `candidate` is null for this daemon.
Task<std::optional<RolloutDirective>> RelayRollouts::State::SendReportTo(
    const PeerRecord* candidate, RolloutReport report) {
  if (candidate == nullptr) co_return control.Answer(report);
  const std::string address = candidate->peer_address;
  const std::optional<std::string> bytes =
      co_await connections.SendRequest(address, std::move(report), kReplyTimeout);
  if (!bytes) {
    connections.Drop(address);
    co_return std::nullopt;
  }
  std::optional<RolloutDirective> directive = DecodeRolloutDirective(*bytes);
  if (directive && directive->rollout.empty()) directive.reset();
  co_return directive;
}

void RelayRollouts::State::OnDirective(const RolloutDirective& directive) {
  Rollout* rollout = Find(directive.rollout);
  if (rollout == nullptr || rollout->end) return;
  Handle(*rollout, RolloutParticipant::DirectiveReceived{directive});
  if (IsEnd(directive.phase)) End(*rollout, directive.phase);
}

void RelayRollouts::State::End(Rollout& rollout, RolloutPhase phase) {
  rollout.end = phase;
  Log(LogLevel::kInfo, "rollout_end_known",
      {{"rollout", rollout.Request().id}, {"result", NameOf(kRolloutPhaseNames, phase)}});
}

void RelayRollouts::State::KeepLatency(const ServiceName& service, const VersionOutcome& outcome) {
  const std::optional<RouteLatency> latency = RolloutParticipant::LatencyOf(outcome);
  if (!latency) return;
  RecentLatencies& latencies = recent_latencies[service];
  latencies.push_back(*latency);
  if (latencies.size() > RolloutParticipant::kMaxLatenciesPerReport) latencies.pop_front();
}

void RelayRollouts::State::NotifyAllPeers(const BadVersionNotice& notice) {
  const std::string bytes = EncodeDatagram(notice);
  for (const PeerRecord& peer : context.peers.AvailablePeers(SteadyNow())) {
    exchange.Send(peer.peer_address, bytes);
  }
}

int RelayRollouts::State::CountNewEndpoints(const ServiceName& service,
                                            const VersionName& version) const {
  int count = 0;
  for (const DirectoryEndpoint* endpoint : context.endpoints.Usable(service, SteadyNow())) {
    if (endpoint->record.version == version) ++count;
  }
  return count;
}

RelayRollouts::State::Rollout* RelayRollouts::State::Find(const std::string& id) {
  for (auto& [service, rollout] : rollouts) {
    if (rollout.Request().id == id) return &rollout;
  }
  return nullptr;
}

RelayRollouts::RelayRollouts(RelayContext& context, PeerExchange& exchange,
                             PeerConnections& connections, EncodeStatus encode_status,
                             std::uint64_t seed)
    : m_state(std::make_shared<State>(context, exchange, connections, std::move(encode_status),
                                      seed)) {}

RelayRollouts::~RelayRollouts() {
  m_state->stopped = true;
  m_state->control.Stop();
}

void RelayRollouts::OnOrderRow(const TableWatcher::Change& change,
                               const std::optional<RolloutOrder>& order) {
  std::vector<RolloutOrders::Action> actions;
  m_state->orders.OnRow(change, order, SteadyNow(), actions);
  for (const RolloutOrders::Action& action : actions) m_state->Perform(action);
  if (m_state->IsIdle() || std::exchange(m_state->running, true)) return;
  Spawn(m_state->context.executor, [shared = m_state]() { return shared->Run(); });
}

VersionChoice RelayRollouts::Choose(const ServiceName& service) {
  VersionChoice choice;
  const auto found = m_state->rollouts.find(service);
  if (found == m_state->rollouts.end()) return choice;
  State::Rollout& rollout = found->second;
  choice.version = rollout.Request().to;
  if (rollout.end) {
    choice.use_new_version = *rollout.end == RolloutPhase::kDone;
    return choice;
  }
  choice.use_new_version = rollout.participant.ChooseNewVersion(
      m_state->CountNewEndpoints(service, choice.version), SteadyNow());
  choice.may_fall_back = choice.use_new_version;
  return choice;
}

bool RelayRollouts::MayUse(const ServiceName& service, const EndpointId& endpoint) const {
  const auto found = m_state->rollouts.find(service);
  const bool is_compared = found != m_state->rollouts.end() && !found->second.end;
  return !is_compared || found->second.participant.MayUse(endpoint);
}

VersionChoice RelayRollouts::OnAttemptEnded(const ServiceName& service, const VersionName& version,
                                            const VersionChoice& choice, VersionOutcome outcome) {
  VersionChoice next = choice;
  if (outcome.error && choice.may_fall_back) next.use_new_version = false;
  const auto found = m_state->rollouts.find(service);
  const bool is_running = found != m_state->rollouts.end() && !found->second.end;
  const bool is_rejected = found != m_state->rollouts.end() &&
                           found->second.end == RolloutPhase::kRolledBack &&
                           found->second.Request().to == version;
  if (!is_running && !is_rejected) m_state->KeepLatency(service, outcome);
  const bool is_compared = is_running && found->second.Request().to == choice.version;
  if (!is_compared) return next;
  outcome.new_version = version == choice.version;
  m_state->Handle(found->second, RolloutParticipant::OutcomeSeen{std::move(outcome)});
  return next;
}

RolloutDirective RelayRollouts::Answer(const RolloutReport& report) {
  return m_state->control.Answer(report).value_or(RolloutDirective());
}

void RelayRollouts::OnBadVersion(const BadVersionNotice& notice) {
  State::Rollout* rollout = m_state->Find(notice.rollout);
  if (rollout == nullptr) return;
  m_state->Handle(*rollout, RolloutParticipant::GossipReceived{notice});
  m_state->control.OnBadVersion(notice);
}

void RelayRollouts::OnStoreEpoch(std::uint64_t epoch) { m_state->control.OnStoreEpoch(epoch); }

}  // namespace fulmarpoint
