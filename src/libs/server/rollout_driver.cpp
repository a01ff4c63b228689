#include "server/rollout_driver.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "coordination/rollout_host.h"
#include "http_api/problem_reply.h"
#include "protocol/body_codec.h"
#include "server/catalogue_view.h"
#include "server/control_plane_driver.h"
#include "server/endpoint_registry.h"
#include "server/peer_service.h"
#include "server/table_client.h"
#include "state/burn_table.h"
#include "state/rollout_table.h"
#include "utils/logging.h"
#include "utils/metrics.h"
#include "utils/overloaded.h"

namespace fulmarpoint {

namespace {

using Json = nlohmann::json;

constexpr Duration kTick = std::chrono::milliseconds(250);
constexpr int kTicksPerMemberRead = 4;
constexpr Duration kReportTimeout = std::chrono::seconds(1);
constexpr char kRolloutTable[] = "rollouts";
constexpr std::size_t kCandidates = 2;
constexpr Duration kCompletionRetry = std::chrono::seconds(10);
constexpr double kMillion = 1e6;

struct Peer {
  InstanceId id;
  std::string address;
};

/// Orders the members by rendezvous hashing on the rollout, so that all daemons with the same view
/// agree on the candidates.
std::vector<Peer> RankFor(const std::string& rollout, std::vector<Peer> members) {
  const std::uint64_t seed = StableHash(rollout);
  const auto higher = [seed](const Peer& a, const Peer& b) {
    return StableHash(a.id.name, seed) > StableHash(b.id.name, seed);
  };
  std::sort(members.begin(), members.end(), higher);
  return members;
}

TableOutcome ToOutcome(WriteOutcome outcome) {
  if (outcome == WriteOutcome::kCommitted) return TableOutcome::kDone;
  if (outcome == WriteOutcome::kConflict) return TableOutcome::kConflict;
  return TableOutcome::kUnknown;
}

RolloutController::RowRead ToRowRead(const std::optional<StoredRow>& row) {
  if (!row) return {};
  return RolloutController::RowRead::Of(row->version, row->value ? &*row->value : nullptr);
}

}  // namespace

/// `mutex` guards the hosts and the members; it is taken before `rollouts` in the lock order of
/// docs/design.md and never held over I/O.
struct RolloutDriver::State : std::enable_shared_from_this<RolloutDriver::State> {
  using Host = std::shared_ptr<RolloutHost>;

  State(Services& shared, PeerService& peer_service, ControlPlaneDriver& control_plane,
        NoticePublisher publisher)
      : services(shared),
        peers(peer_service),
        control(control_plane),
        publish(std::move(publisher)) {}

  Task<void> Run();
  Task<void> ReadMembers();
  std::vector<Peer> Members() const;
  void SyncHosts();
  std::optional<CatalogueEntry> EntryOf(const RolloutRequest& rollout) const;
  void TickHost(const std::string& rollout, const Host& host);
  RolloutController::CapacityChanged CapacityOf(const CatalogueEntry& entry) const;
  Task<void> Report(RolloutReport report);
  void Receive(const std::string& rollout, const RolloutDirective& directive, const Peer& from);
  std::optional<RolloutDirective> Answer(const RolloutReport& report);
  std::string AnswerFrame(const std::string& body);

  void DriveLease(const Host& host, const Lease::Event& event);
  void DriveController(const Host& host, const RolloutController::Event& event);
  void Perform(const Host& host, RolloutHost::Actions& actions);
  void Perform(const Host& host, Lease::Action& action);
  void Perform(const Host& host, RolloutController::Action& action);
  Task<void> ReadLease(Host host, Lease::ReadRow read);
  Task<void> WriteLease(Host host, Lease::WriteRow write);
  Task<void> ReadRow(Host host);
  Task<void> WriteRow(Host host, RolloutController::WriteRow write);
  void ReportEnd(const RolloutRow& row);
  Task<void> Complete(CatalogueEntry entry);

  Services& services;
  PeerService& peers;
  ControlPlaneDriver& control;
  const NoticePublisher publish;
  std::atomic<bool> stopped{false};

  mutable std::mutex mutex;
  std::vector<Peer> members;
  std::map<std::string, Host> hosts;
  /// Daemon that answered the last report of a rollout.
  std::map<std::string, Peer> controllers;
  std::map<std::string, std::size_t> next_candidate;
  std::map<std::string, TimePoint> completion_tried;
};

Task<void> RolloutDriver::State::Run() {
  int tick = 0;
  while (!stopped) {
    if (tick++ % kTicksPerMemberRead == 0) co_await ReadMembers();
    for (RolloutReport& report : services.rollouts.Tick(SteadyNow())) {
      Spawn(services.executor, [self = shared_from_this(), report = std::move(report)]() {
        return self->Report(report);
      });
    }
    SyncHosts();
    std::map<std::string, Host> present;
    {
      const std::lock_guard lock(mutex);
      present = hosts;
    }
    for (const auto& [rollout, host] : present) TickHost(rollout, host);
    co_await Sleep(kTick);
  }
}

Task<void> RolloutDriver::State::ReadMembers() {
  if (services.rollouts.Rollouts().empty()) co_return;
  const ControlPlaneStatus status = co_await control.Status();
  std::vector<Peer> alive = {{status.self.id, status.self.address}};
  for (const MemberStatus& member : status.members) {
    const MemberUpdate& info = member.member.info;
    if (info.state != MemberState::kAlive || info.leaving || member.gone) continue;
    alive.push_back({info.id, info.address});
  }
  const std::lock_guard lock(mutex);
  members = std::move(alive);
}

std::vector<Peer> RolloutDriver::State::Members() const {
  const std::lock_guard lock(mutex);
  return members;
}

std::optional<CatalogueEntry> RolloutDriver::State::EntryOf(const RolloutRequest& rollout) const {
  const std::shared_ptr<const CatalogueSnapshot> snapshot = services.catalogue.Current();
  for (const auto& [name, service] : snapshot->services) {
    const CatalogueEntry& entry = *service->entry;
    if (entry.rollout && entry.rollout->id == rollout.id) return entry;
  }
  return std::nullopt;
}

void RolloutDriver::State::SyncHosts() {
  const std::vector<Peer> present = Members();
  std::map<std::string, Host> wanted;
  for (const RolloutRequest& rollout : services.rollouts.Rollouts()) {
    const std::vector<Peer> ranked = RankFor(rollout.id, present);
    const std::size_t candidates = std::min(kCandidates, ranked.size());
    const bool candidate =
        std::any_of(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(candidates),
                    [this](const Peer& peer) { return peer.id == services.self; });
    const std::optional<CatalogueEntry> entry = EntryOf(rollout);
    if (!candidate || !entry) continue;
    wanted[rollout.id] = std::make_shared<RolloutHost>(
        services.self, entry->service, rollout, RolloutHost::Options(), std::random_device{}());
  }
  std::vector<Host> removed;
  {
    const std::lock_guard lock(mutex);
    for (const auto& [id, host] : hosts) {
      auto kept = wanted.find(id);
      if (kept != wanted.end()) {
        kept->second = host;
      } else {
        removed.push_back(host);
      }
    }
    hosts = std::move(wanted);
  }
  for (const Host& host : removed) {
    DriveController(host, RolloutController::OperatorAbort{"removed from the catalogue"});
    DriveLease(host, Lease::Release{});
  }
}

void RolloutDriver::State::TickHost(const std::string& rollout, const Host& host) {
  const std::optional<BadVersionNotice> notice = services.rollouts.BadNotice(rollout);
  if (notice) DriveController(host, RolloutController::GossipReceived{*notice});
  const std::optional<CatalogueEntry> entry = EntryOf(host->Rollout());
  if (!entry) return;
  DriveController(host, CapacityOf(*entry));
  RolloutHost::Actions actions;
  bool complete = false;
  {
    const std::lock_guard lock(mutex);
    const TimePoint now = SteadyNow();
    host->Tick(now, WallNow(), actions);
    const RolloutController* controller = host->Controller();
    complete = controller != nullptr && controller->Finished(now) &&
               controller->Phase() == RolloutPhase::kDone &&
               !controller->Row().regressed_after_done &&
               now >= completion_tried[rollout] + kCompletionRetry;
    if (complete) completion_tried[rollout] = now;
  }
  Perform(host, actions);
  if (!complete) return;
  Spawn(services.executor,
        [self = shared_from_this(), entry = *entry]() { return self->Complete(entry); });
}

RolloutController::CapacityChanged RolloutDriver::State::CapacityOf(
    const CatalogueEntry& entry) const {
  int endpoints = 0;
  double new_slots = 0;
  double load = 0;
  for (const EndpointCandidate& candidate : services.endpoints.Candidates(entry)) {
    const std::optional<EndpointRecord> record = services.endpoints.Find(candidate.route.endpoint);
    if (!record) continue;
    const bool is_new = candidate.route.version == entry.rollout->to;
    if (is_new) {
      ++endpoints;
      new_slots += record->load.slots;
    }
    if (is_new || candidate.route.version == entry.rollout->from) {
      load += record->load.active + record->load.queued;
    }
  }
  return RolloutController::CapacityChanged::Of(endpoints, new_slots, load);
}

Task<void> RolloutDriver::State::Report(RolloutReport report) {
  std::vector<Peer> ranked = RankFor(report.rollout, Members());
  if (ranked.empty()) co_return;
  ranked.resize(std::min(kCandidates, ranked.size()));
  Peer target;
  {
    const std::lock_guard lock(mutex);
    auto known = controllers.find(report.rollout);
    target = known != controllers.end() ? known->second
                                        : ranked[next_candidate[report.rollout] % ranked.size()];
  }
  std::optional<RolloutDirective> directive;
  if (target.id == services.self) {
    directive = Answer(report);
  } else {
    PeerFrame frame{PeerFrameKind::kEvidence, internal::EncodeBody(report)};
    const PeerAnswer answer =
        co_await peers.Request(target.address, std::move(frame), kReportTimeout);
    if (!answer.error) {
      const Parsed<RolloutDirective> parsed =
          internal::DecodeBody<RolloutDirective>(answer.body, "directive");
      if (parsed && !parsed.Value().rollout.empty()) directive = parsed.Value();
    }
  }
  if (directive) {
    Receive(report.rollout, *directive, target);
    co_return;
  }
  services.metrics.Count("rollout_reports", "unanswered");
  const std::lock_guard lock(mutex);
  controllers.erase(report.rollout);
  ++next_candidate[report.rollout];
}

void RolloutDriver::State::Receive(const std::string& rollout, const RolloutDirective& directive,
                                   const Peer& from) {
  services.metrics.Count("rollout_reports", "answered");
  services.rollouts.AddDirective(directive, SteadyNow());
  const std::lock_guard lock(mutex);
  controllers[rollout] = from;
}

std::optional<RolloutDirective> RolloutDriver::State::Answer(const RolloutReport& report) {
  RolloutHost::Actions actions;
  std::optional<RolloutDirective> directive;
  Host host;
  {
    const std::lock_guard lock(mutex);
    auto found = hosts.find(report.rollout);
    if (found == hosts.end()) return std::nullopt;
    host = found->second;
    directive = host->Answer(report, SteadyNow(), actions);
  }
  Perform(host, actions);
  return directive;
}

std::string RolloutDriver::State::AnswerFrame(const std::string& body) {
  const Parsed<RolloutReport> report = internal::DecodeBody<RolloutReport>(body, "report");
  if (!report) return {};
  const std::optional<RolloutDirective> directive = Answer(report.Value());
  return internal::EncodeBody(directive.value_or(RolloutDirective{}));
}

void RolloutDriver::State::DriveLease(const Host& host, const Lease::Event& event) {
  RolloutHost::Actions actions;
  {
    const std::lock_guard lock(mutex);
    host->HandleLease(event, SteadyNow(), WallNow(), actions);
  }
  Perform(host, actions);
}

void RolloutDriver::State::DriveController(const Host& host,
                                           const RolloutController::Event& event) {
  RolloutHost::Actions actions;
  {
    const std::lock_guard lock(mutex);
    host->HandleController(event, SteadyNow(), actions);
  }
  Perform(host, actions);
}

void RolloutDriver::State::Perform(const Host& host, RolloutHost::Actions& actions) {
  for (Lease::Action& action : actions.lease) Perform(host, action);
  for (RolloutController::Action& action : actions.controller) Perform(host, action);
}

void RolloutDriver::State::Perform(const Host& host, Lease::Action& action) {
  if (const Lease::ReadRow* read = std::get_if<Lease::ReadRow>(&action)) {
    Spawn(services.executor, [self = shared_from_this(), host, read = *read]() {
      return self->ReadLease(host, read);
    });
  } else if (const Lease::WriteRow* write = std::get_if<Lease::WriteRow>(&action)) {
    Spawn(services.executor, [self = shared_from_this(), host, write = *write]() {
      return self->WriteLease(host, write);
    });
  }
}

void RolloutDriver::State::Perform(const Host& host, RolloutController::Action& action) {
  std::visit(Overloaded{[&](const RolloutController::ReadRow&) {
                          Spawn(services.executor, [self = shared_from_this(), host]() {
                            return self->ReadRow(host);
                          });
                        },
                        [&](const RolloutController::WriteRow& write) {
                          Spawn(services.executor, [self = shared_from_this(), host, write]() {
                            return self->WriteRow(host, write);
                          });
                        },
                        // Answered to the report in `Answer`.
                        [](const RolloutController::SendDirective&) {},
                        [&](const RolloutController::PublishGossip& action_notice) {
                          services.rollouts.AddNotice(action_notice.notice, SteadyNow());
                          publish(action_notice.notice);
                        },
                        [&](const RolloutController::ReportEnd& end) { ReportEnd(end.row); },
                        [&](const RolloutController::ReportAtRisk& risk) {
                          Log(LogLevel::kWarning, "rollout_at_risk",
                              {{"rollout", host->Rollout().id}, {"reason", risk.reason}});
                          const std::lock_guard lock(mutex);
                          host->SetRisk(risk.reason);
                        }},
             action);
}

Task<void> RolloutDriver::State::ReadLease(Host host, Lease::ReadRow read) {
  const RowRead result = co_await services.tables.Read(kLeaseTable, read.key);
  Lease::RowRead event{read.token, !result.error, std::nullopt};
  if (result.row && result.row->value) {
    event.row = TableRow{result.row->key, result.row->version, *result.row->value};
  }
  DriveLease(host, event);
}

Task<void> RolloutDriver::State::WriteLease(Host host, Lease::WriteRow write) {
  const TableOperation& operation = write.operation;
  std::vector<RowChange> changes = {
      {operation.table, operation.key, operation.expect, operation.value}};
  const TransactionResult result = co_await services.tables.Write(std::move(changes));
  DriveLease(host, Lease::WriteDone{write.token, ToOutcome(result.outcome), result.version});
}

Task<void> RolloutDriver::State::ReadRow(Host host) {
  const RowRead result = co_await services.tables.Read(kRolloutTable, host->Rollout().id);
  if (result.error) {
    DriveController(host, RolloutController::RowReadFailed{});
  } else {
    DriveController(host, ToRowRead(result.row));
  }
}

Task<void> RolloutDriver::State::WriteRow(Host host, RolloutController::WriteRow write) {
  bool may_send = false;
  {
    const std::lock_guard lock(mutex);
    may_send = host->MaySend(SteadyNow());
  }
  if (!may_send) co_return;
  std::vector<RowChange> changes = {
      {kRolloutTable, write.row.rollout, write.expected_version, ToJson(write.row)}};
  const TransactionResult result = co_await services.tables.Write(std::move(changes));
  switch (result.outcome) {
    case WriteOutcome::kCommitted:
      DriveController(host, RolloutController::RowWritten{result.version});
      co_return;
    case WriteOutcome::kConflict: {
      std::optional<StoredRow> row;
      if (!result.conflicts.empty()) row = result.conflicts.front();
      DriveController(host, ToRowRead(row));
      co_return;
    }
    case WriteOutcome::kNotApplied:
    case WriteOutcome::kUnknown:
      DriveController(host, RolloutController::RowWriteUnknown{});
      co_return;
  }
}

void RolloutDriver::State::ReportEnd(const RolloutRow& row) {
  const std::string phase(NameOf(kRolloutPhaseNames, row.phase));
  services.metrics.Count("rollouts_ended", phase);
  services.burn.AddAction("rollout " + phase + ": " + row.service + " " + row.to);
  Log(LogLevel::kInfo, "rollout_ended",
      {{"rollout", row.rollout},
       {"service", row.service},
       {"result", phase},
       {"reason", row.reason}});
}

Task<void> RolloutDriver::State::Complete(CatalogueEntry entry) {
  CatalogueWriter::Apply change;
  entry.version = entry.rollout->to;
  change.author = "rollout " + entry.rollout->id;
  entry.rollout.reset();
  change.entries.push_back(entry);
  change.at = WallNow();
  const ApplyReport report = co_await control.Apply(std::move(change));
  services.metrics.Count("rollout_completions",
                         report.status == ApplyStatus::kAccepted ? "accepted" : "refused");
}

RolloutDriver::RolloutDriver(Services& services, PeerService& peers, ControlPlaneDriver& control,
                             NoticePublisher publish)
    : m_state(std::make_shared<State>(services, peers, control, std::move(publish))) {}

RolloutDriver::~RolloutDriver() { Stop(); }

void RolloutDriver::Connect() {
  m_state->peers.SetFrameHandler(PeerFrameKind::kEvidence,
                                 [state = m_state](std::string body) -> Task<std::string> {
                                   co_return state->AnswerFrame(body);
                                 });
}

void RolloutDriver::Start() {
  Spawn(MakeStrand(m_state->services.executor), [state = m_state]() { return state->Run(); });
}

void RolloutDriver::Stop() { m_state->stopped = true; }

Task<HttpReply> RolloutDriver::AnswerRollouts() {
  const std::shared_ptr<State> state = m_state;
  const RowsRead read = co_await state->services.tables.ListSince(kRolloutTable, 0);
  if (read.error) {
    co_return ProblemReply(ResultCode::kStoreUnavailable, "the table service does not answer");
  }
  Json rollouts = Json::array();
  for (const StoredRow& row : read.rows) {
    if (!row.value) continue;
    Json item = Json::parse(*row.value, nullptr, false);
    if (!item.is_object()) continue;
    const std::lock_guard lock(state->mutex);
    auto found = state->hosts.find(row.key);
    if (found != state->hosts.end() && found->second->Controller() != nullptr) {
      item["share"] = found->second->Controller()->SharePpm() / kMillion;
      item["at_risk"] = found->second->Risk();
    }
    rollouts.push_back(std::move(item));
  }
  const Json body = {{"rollouts", rollouts}};
  co_return JsonReply(200, body);
}

}  // namespace fulmarpoint
