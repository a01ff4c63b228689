#include "relay/rollout_control.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "coordination/rendezvous_owner.h"
#include "relay/lease_rows.h"
#include "utils/logging.h"
#include "utils/overloaded.h"

namespace fulmarpoint {

namespace {

constexpr char kRelayRolloutTable[] = "fulmarpoint-rollouts";
constexpr Duration kMinStep = std::chrono::seconds(2);
// Fractions of the allowed exposure that are planned for the rollout, and for the canary alone. The
// rest is reserved for requests in flight when the version proves bad.
constexpr double kPlannedExposureFraction = 0.8;
constexpr double kCanaryExposureFraction = 0.5;

/// An order may allow less than a minute, so a lost controller must be replaced within seconds.
Lease::Options LeaseOptions() {
  Lease::Options options;
  options.lease_time = std::chrono::milliseconds(2500);
  options.drift_margin = std::chrono::milliseconds(300);
  options.renew_interval = std::chrono::milliseconds(700);
  options.read_interval = std::chrono::milliseconds(500);
  options.send_margin = std::chrono::milliseconds(500);
  return options;
}

RolloutController::Settings ControllerSettings(const RelaySettings& relay) {
  RolloutController::Settings settings;
  settings.canary_share = kCanaryExposureFraction * relay.exposure_share;
  settings.canary_slack =
      static_cast<std::uint64_t>(kCanaryExposureFraction * relay.exposure_slack);
  settings.exposure_limit = kPlannedExposureFraction * relay.exposure_share;
  settings.keep_first_deadline = true;
  settings.min_step = kMinStep;
  // The operator stops the old version's endpoints as soon as the rollout is done, so there is
  // nothing to observe afterwards.
  settings.watch = Duration::zero();
  return settings;
}

RolloutState StateOf(RolloutPhase phase) {
  if (phase == RolloutPhase::kDone) return RolloutState::kDone;
  if (phase == RolloutPhase::kRolledBack) return RolloutState::kRolledBack;
  return RolloutState::kRunning;
}

RolloutController::RowRead RowReadOf(const StoreReply& reply, const std::string& rollout) {
  const StoreRow* row = FindRow(reply, kRelayRolloutTable, rollout);
  if (row == nullptr) return {};
  return RolloutController::RowRead::Of(row->version, &row->value);
}

}  // namespace

struct RolloutControl::State : std::enable_shared_from_this<RolloutControl::State> {
  struct Entry {
    ServiceName service;
    RolloutRequest rollout;
    /// Null unless this daemon is a candidate and the rollout is in progress.
    std::shared_ptr<RolloutHost> host;
    /// Set once the rollout's end has been written; later reports get it as reply.
    std::optional<RolloutRow> end;
    /// Epoch of the store that has the end's rows.
    std::uint64_t end_epoch = 0;
    /// The end's rows are being written again.
    bool is_end_in_progress = false;
  };
  using Host = std::shared_ptr<RolloutHost>;

  State(RelayContext& shared, Handlers own_handlers, std::uint64_t own_seed)
      : context(shared), handlers(std::move(own_handlers)), seed(own_seed) {}

  bool IsCandidate(const std::string& rollout) const;
  void Tick(Entry& entry);
  static bool HasEnded(const Entry& entry);
  void KnowEnd(Entry& entry, const RolloutRow& row);
  void StopHosting(Entry& entry);
  RolloutController::CapacityChanged CapacityOf(const Entry& entry) const;
  void DriveLease(const Host& host, const Lease::Event& event);
  void DriveController(const Host& host, const RolloutController::Event& event);
  void Perform(const Host& host, const RolloutHost::Actions& actions);
  void Perform(const Host& host, const Lease::Action& action);
  void Perform(const Host& host, const RolloutController::Action& action);
  bool IsAnswerToController(const Host& host, std::uint64_t call_epoch, const StoreReply& reply);
  Task<void> ReadLease(Host host, Lease::ReadRow read);
  Task<void> WriteLease(Host host, Lease::WriteRow write);
  Task<void> ReadRow(Host host);
  Task<void> WriteRow(Host host, RolloutController::WriteRow write);

  Task<void> KeepEnd(RolloutRow end);
  Task<std::optional<std::uint64_t>> WriteEndAgain(RolloutRow end);
  Task<StoreReply> CommitRows(RolloutRow row, std::uint64_t expected_version);

  RelayContext& context;
  const Handlers handlers;
  /// Latest epoch of the store that is known.
  std::uint64_t epoch = 0;
  std::uint64_t seed;
  std::map<std::string, Entry> entries;
  bool stopped = false;
};

bool RolloutControl::State::IsCandidate(const std::string& rollout) const {
  const std::vector<PeerRecord> peers = context.peers.AvailablePeers(SteadyNow());
  const std::vector<const PeerRecord*> owners =
      OwnersOf(StableHash(rollout), context.settings.name, peers, kRolloutCandidates);
  return std::find(owners.begin(), owners.end(), nullptr) != owners.end();
}

void RolloutControl::State::Tick(Entry& entry) {
  if (HasEnded(entry)) {
    StopHosting(entry);
    if (entry.end_epoch < epoch && !std::exchange(entry.is_end_in_progress, true)) {
      Spawn(context.executor,
            [self = shared_from_this(), end = *entry.end]() { return self->KeepEnd(end); });
    }
    return;
  }
  const bool is_candidate = context.IsServing() && IsCandidate(entry.rollout.id);
  if (!is_candidate) {
    StopHosting(entry);
    return;
  }
  if (!entry.host) {
    const InstanceId self{context.settings.name, context.incarnation};
    entry.host = std::make_shared<RolloutHost>(
        self, entry.service, entry.rollout,
        RolloutHost::Options{LeaseOptions(), ControllerSettings(context.settings)}, ++seed);
  }
  DriveController(entry.host, CapacityOf(entry));
  RolloutHost::Actions actions;
  entry.host->Tick(SteadyNow(), WallNow(), actions);
  const RolloutController* controller = entry.host->Controller();
  const bool is_finished = controller != nullptr && controller->Finished(SteadyNow());
  if (is_finished) KnowEnd(entry, controller->Row());
  Perform(entry.host, actions);
  if (is_finished) StopHosting(entry);
}

/// Returns whether the end is known and no controller of this daemon has anything left to do.
bool RolloutControl::State::HasEnded(const Entry& entry) {
  return entry.end && (!entry.host || entry.host->Controller() == nullptr);
}

/// Remembers the end at once, because the lease is lost when the store is restored from a copy.
void RolloutControl::State::KnowEnd(Entry& entry, const RolloutRow& row) {
  entry.end = row;
  entry.end_epoch = entry.host ? entry.host->Epoch() : epoch;
}

void RolloutControl::State::StopHosting(Entry& entry) {
  if (!entry.host) return;
  DriveLease(std::exchange(entry.host, nullptr), Lease::Release{});
}

RolloutController::CapacityChanged RolloutControl::State::CapacityOf(const Entry& entry) const {
  int endpoints = 0;
  int new_slots = 0;
  int requests = 0;
  for (const DirectoryEndpoint* endpoint : context.endpoints.Usable(entry.service, SteadyNow())) {
    requests += endpoint->Requests();
    if (endpoint->record.version != entry.rollout.to) continue;
    ++endpoints;
    new_slots += endpoint->record.slots;
  }
  return RolloutController::CapacityChanged::Of(endpoints, new_slots, requests);
}

void RolloutControl::State::DriveLease(const Host& host, const Lease::Event& event) {
  RolloutHost::Actions actions;
  host->HandleLease(event, SteadyNow(), WallNow(), actions);
  Perform(host, actions);
}

void RolloutControl::State::DriveController(const Host& host,
                                            const RolloutController::Event& event) {
  RolloutHost::Actions actions;
  host->HandleController(event, SteadyNow(), actions);
  Perform(host, actions);
}

void RolloutControl::State::Perform(const Host& host, const RolloutHost::Actions& actions) {
  for (const Lease::Action& action : actions.lease) Perform(host, action);
  for (const RolloutController::Action& action : actions.controller) Perform(host, action);
}

void RolloutControl::State::Perform(const Host& host, const Lease::Action& action) {
  if (const Lease::ReadRow* read = std::get_if<Lease::ReadRow>(&action)) {
    Spawn(context.executor, [self = shared_from_this(), host, read = *read]() {
      return self->ReadLease(host, read);
    });
  } else if (const Lease::WriteRow* write = std::get_if<Lease::WriteRow>(&action)) {
    Spawn(context.executor, [self = shared_from_this(), host, write = *write]() {
      return self->WriteLease(host, write);
    });
  }
}

void RolloutControl::State::Perform(const Host& host, const RolloutController::Action& action) {
  std::visit(Overloaded{[&](const RolloutController::ReadRow&) {
                          Spawn(context.executor, [self = shared_from_this(), host]() {
                            return self->ReadRow(host);
                          });
                        },
                        [&](const RolloutController::WriteRow& write) {
                          Spawn(context.executor, [self = shared_from_this(), host, write]() {
                            return self->WriteRow(host, write);
                          });
                        },
                        // The directive is the return value of `Answer`.
                        [](const RolloutController::SendDirective&) {},
                        [&](const RolloutController::PublishGossip& publish) {
                          handlers.on_bad_version(publish.notice);
                        },
                        [&](const RolloutController::ReportEnd& end) {
                          const auto found = entries.find(host->Rollout().id);
                          if (found != entries.end()) KnowEnd(found->second, end.row);
                          Log(LogLevel::kInfo, "rollout_ended",
                              {{"rollout", end.row.rollout},
                               {"result", NameOf(kRolloutPhaseNames, end.row.phase)},
                               {"reason", end.row.reason}});
                        },
                        [&](const RolloutController::ReportAtRisk& risk) {
                          Log(LogLevel::kWarning, "rollout_at_risk",
                              {{"rollout", host->Rollout().id}, {"reason", risk.reason}});
                        }},
             action);
}

/// Returns whether `reply` is of `call_epoch`, in which the controller's call was made, and the
/// host still is in it. Otherwise the controller is gone, and the reply proves nothing to its
/// successor.
bool RolloutControl::State::IsAnswerToController(const Host& host, std::uint64_t call_epoch,
                                                 const StoreReply& reply) {
  const bool has_epoch = reply.status != StoreStatus::kUnknown;
  if (has_epoch) DriveLease(host, Lease::EpochSeen{reply.position.epoch});
  return host->Epoch() == call_epoch && (!has_epoch || reply.position.epoch == call_epoch);
}

Task<void> RolloutControl::State::ReadLease(Host host, Lease::ReadRow read) {
  const std::shared_ptr<State> self = shared_from_this();
  const Lease::RowRead event = co_await ReadLeaseRow(context.store, std::move(read));
  if (!stopped) DriveLease(host, event);
}

Task<void> RolloutControl::State::WriteLease(Host host, Lease::WriteRow write) {
  const std::shared_ptr<State> self = shared_from_this();
  const Lease::WriteDone event = co_await WriteLeaseRow(context.store, std::move(write));
  if (!stopped) DriveLease(host, event);
}

Task<void> RolloutControl::State::ReadRow(Host host) {
  const std::shared_ptr<State> self = shared_from_this();
  const std::uint64_t call_epoch = host->Epoch();
  const StoreReply reply =
      co_await ReadRowsFrom(context.store, kRelayRolloutTable, host->Rollout().id);
  if (stopped || !IsAnswerToController(host, call_epoch, reply)) co_return;
  if (reply.status == StoreStatus::kOk) {
    DriveController(host, RowReadOf(reply, host->Rollout().id));
  } else {
    DriveController(host, RolloutController::RowReadFailed{});
  }
}

/// Writes the rollout's row and the operator's status row in one transaction, so that a controller
/// that has been replaced writes neither.
Task<StoreReply> RolloutControl::State::CommitRows(RolloutRow row, std::uint64_t expected_version) {
  StoreTransaction transaction;
  transaction.conditions.push_back({kRelayRolloutTable, "", row.rollout, expected_version});
  StoreRow own;
  own.table = kRelayRolloutTable;
  own.key = row.rollout;
  own.value = ToJson(row);
  transaction.puts.push_back(std::move(own));
  transaction.puts.push_back(handlers.encode_status({row.service, row.to, StateOf(row.phase)}));
  co_return co_await context.store.commit(std::move(transaction));
}

/// The store was restored from a copy that may lack the rollout's end.
Task<void> RolloutControl::State::KeepEnd(RolloutRow end) {
  const std::shared_ptr<State> self = shared_from_this();
  const std::optional<std::uint64_t> kept_in = co_await WriteEndAgain(end);
  const auto found = entries.find(end.rollout);
  if (stopped || found == entries.end()) co_return;
  found->second.is_end_in_progress = false;
  if (kept_in) found->second.end_epoch = *kept_in;
}

/// Writes the rows of `end` unless the store has an end. Returns the epoch of the store that has
/// one; nothing if that is unknown.
Task<std::optional<std::uint64_t>> RolloutControl::State::WriteEndAgain(RolloutRow end) {
  const StoreReply read = co_await ReadRowsFrom(context.store, kRelayRolloutTable, end.rollout);
  if (stopped || read.status != StoreStatus::kOk) co_return std::nullopt;
  const RolloutController::RowRead stored = RowReadOf(read, end.rollout);
  if (stored.row && IsEnd(stored.row->phase)) co_return read.position.epoch;
  const StoreReply written = co_await CommitRows(end, stored.version);
  const bool is_written =
      written.status == StoreStatus::kOk && written.position.epoch == read.position.epoch;
  if (!is_written) co_return std::nullopt;
  Log(LogLevel::kInfo, "rollout_end_restored", {{"rollout", end.rollout}});
  co_return written.position.epoch;
}

Task<void> RolloutControl::State::WriteRow(Host host, RolloutController::WriteRow write) {
  const std::shared_ptr<State> self = shared_from_this();
  if (!host->MaySend(SteadyNow())) co_return;
  const std::uint64_t call_epoch = host->Epoch();
  const StoreReply reply = co_await CommitRows(write.row, write.expected_version);
  if (stopped || !IsAnswerToController(host, call_epoch, reply)) co_return;
  switch (reply.status) {
    case StoreStatus::kOk:
      Log(LogLevel::kInfo, "rollout_phase",
          {{"rollout", write.row.rollout},
           {"phase", NameOf(kRolloutPhaseNames, write.row.phase)},
           {"reason", write.row.reason}});
      DriveController(host, RolloutController::RowWritten{reply.position.version});
      co_return;
    case StoreStatus::kConflict:
      DriveController(host, RowReadOf(reply, host->Rollout().id));
      co_return;
    case StoreStatus::kHistoryGone:
    case StoreStatus::kRefused:
    case StoreStatus::kUnknown:
      DriveController(host, RolloutController::RowWriteUnknown{});
      co_return;
  }
}

RolloutControl::RolloutControl(RelayContext& context, Handlers handlers, std::uint64_t seed)
    : m_state(std::make_shared<State>(context, std::move(handlers), seed)) {}

RolloutControl::~RolloutControl() { Stop(); }

void RolloutControl::Stop() { m_state->stopped = true; }

void RolloutControl::Add(const ServiceName& service, const RolloutRequest& rollout) {
  m_state->entries.try_emplace(rollout.id,
                               State::Entry{service, rollout, nullptr, std::nullopt, 0, false});
}

void RolloutControl::Remove(const std::string& rollout) {
  const auto found = m_state->entries.find(rollout);
  if (found == m_state->entries.end()) return;
  if (const State::Host host = found->second.host) {
    m_state->DriveController(host, RolloutController::OperatorAbort{"the order was withdrawn"});
  }
  m_state->StopHosting(found->second);
  m_state->entries.erase(found);
}

void RolloutControl::Tick() {
  for (auto& [id, entry] : m_state->entries) m_state->Tick(entry);
}

std::optional<RolloutDirective> RolloutControl::Answer(const RolloutReport& report) {
  const auto found = m_state->entries.find(report.rollout);
  if (found == m_state->entries.end()) return std::nullopt;
  const State::Entry& entry = found->second;
  if (State::HasEnded(entry)) {
    RolloutDirective directive;
    directive.rollout = report.rollout;
    directive.sequence = report.sequence;
    directive.controller_token = entry.end->controller_token;
    directive.phase = entry.end->phase;
    return directive;
  }
  if (!entry.host) return std::nullopt;
  RolloutHost::Actions actions;
  const State::Host host = entry.host;
  std::optional<RolloutDirective> directive = host->Answer(report, SteadyNow(), actions);
  m_state->Perform(host, actions);
  return directive;
}

void RolloutControl::OnBadVersion(const BadVersionNotice& notice) {
  const auto found = m_state->entries.find(notice.rollout);
  if (found == m_state->entries.end() || !found->second.host) return;
  m_state->DriveController(found->second.host, RolloutController::GossipReceived{notice});
}

void RolloutControl::OnStoreEpoch(std::uint64_t epoch) {
  m_state->epoch = std::max(m_state->epoch, epoch);
  for (auto& [id, entry] : m_state->entries) {
    if (entry.host) m_state->DriveLease(entry.host, Lease::EpochSeen{epoch});
  }
}

}  // namespace fulmarpoint
