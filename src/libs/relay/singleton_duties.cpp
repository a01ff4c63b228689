#include "relay/singleton_duties.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "coordination/lease.h"
#include "coordination/rendezvous_owner.h"
#include "coordination/usage_reporter.h"
#include "protocol/relay_datagram.h"
#include "relay/duty_caller.h"
#include "relay/engine_orders.h"
#include "relay/lease_rows.h"
#include "relay/peer_exchange.h"
#include "utils/logging.h"
#include "utils/overloaded.h"

namespace fulmarpoint {

namespace {

constexpr char kLeaseKey[] = "duties";
constexpr char kUsageTable[] = "fulmarpoint-usage";
// Daemons that compete for the lease, so that the calls to the store do not grow with the fleet.
constexpr std::size_t kCandidates = 2;
constexpr Duration kTickInterval = std::chrono::milliseconds(250);
constexpr Duration kCopyInterval = std::chrono::milliseconds(500);
// Neighbours that keep this daemon's usage counts in case it is lost.
constexpr std::size_t kCopyHolders = 2;
constexpr Duration kPollTimeout = std::chrono::milliseconds(500);
// All daemons are polled once in this time, or in the second time for each of them if that is
// longer.
constexpr Duration kPollPeriod = std::chrono::seconds(1);
constexpr Duration kPollPeriodPerDaemon = std::chrono::milliseconds(5);

Lease::Options LeaseOptionsOf(const DutySettings& settings) {
  Lease::Options options;
  options.lease_time = settings.lease_time;
  options.drift_margin = settings.lease_time / 10;
  options.renew_interval = settings.lease_time / 3;
  options.read_interval = settings.lease_time / 3;
  options.send_margin = settings.lease_time / 5;
  return options;
}

UsageReporter::Options ReporterOptionsOf(const DutySettings& settings) {
  UsageReporter::Options options;
  options.window_length = settings.usage_window;
  options.decide_after = settings.usage_due / 2;
  options.collect_for = options.decide_after / 2;
  options.collect_after = std::min(options.collect_after, settings.usage_due / 10);
  return options;
}

}  // namespace

struct SingletonDuties::State : std::enable_shared_from_this<SingletonDuties::State> {
  State(RelayContext& shared, PeerExchange& peer_exchange, PeerConnections& peer_connections,
        DutyApi api, std::uint64_t seed);

  Task<void> Run();
  Task<void> PollLoop();
  Task<void> Poll(PeerRecord peer);
  void SendCopies();
  void UpdateCandidacy();
  bool IsRanked() const;
  void DriveLease(const Lease::Event& event);
  void Perform(const Lease::Action& action);
  Task<void> ReadLease(Lease::ReadRow read);
  Task<void> WriteLease(Lease::WriteRow write);
  void NoteEpoch(std::uint64_t epoch);
  void OnAcquired();
  void OnLost();
  bool MaySend() const { return lease.MaySend(BootNow()); }
  void OnReply(const DutyPollReply& reply, UnixMillis asked, TimePoint asked_steady);
  DutyPollReply OwnReply(const DutyPoll& poll);
  std::set<std::string> Daemons() const;

  void DriveReporter(const UsageReporter::Event& event);
  void Perform(const UsageReporter::Action& action);
  bool KeepsLease(std::uint64_t token, const StoreReply& reply);
  Task<void> ReadStoredReports();
  Task<void> StoreReport(UsageReporter::StoreReport store);
  Task<void> SendReport(UsageReport report);

  void SendOrders();
  Task<void> SendOrder(EngineOrder order);
  void OnFenced(std::uint64_t token);

  RelayContext& context;
  PeerExchange& exchange;
  PeerConnections& connections;
  const DutySettings settings;
  Lease lease;
  UsageReporter reporter;
  EngineOrders orders;
  DutyCaller caller;
  bool has_read_reports = false;
  /// The holder as last stated in a poll, and when that began.
  std::string holder;
  std::uint64_t holder_token = 0;
  /// Of the lease that this daemon holds or held last.
  std::uint64_t own_token = 0;
  UnixMillis holder_since = 0;
  UsageWindow last_reported = 0;
  /// A daemon that lost the lease lets others act before it competes again.
  TimePoint compete_from{};
  /// Reports on windows that ended before are made only if a decision is known.
  UnixMillis undecided_from = 0;
  /// Latest epoch of the store that is known.
  std::uint64_t known_epoch = 0;
  TimePoint last_copies{};
  bool is_releasing = false;
  /// Performs the duties. A lease that is released as soon as it is acquired does not count.
  bool is_holder = false;
  bool stopped = false;
};

SingletonDuties::State::State(RelayContext& shared, PeerExchange& peer_exchange,
                              PeerConnections& peer_connections, DutyApi api, std::uint64_t seed)
    : context(shared),
      exchange(peer_exchange),
      connections(peer_connections),
      settings(shared.settings.duties),
      lease(kLeaseKey, InstanceId{shared.settings.name, shared.incarnation},
            LeaseOptionsOf(settings), seed),
      reporter(ReporterOptionsOf(settings)),
      orders(shared),
      caller(shared, std::move(api),
             [this](std::uint64_t token) { return MaySend() && lease.FencingToken() == token; }),
      undecided_from(WallNow()) {}

Task<void> SingletonDuties::State::Run() {
  const std::shared_ptr<State> self = shared_from_this();
  DriveLease(Lease::Start{});
  while (!stopped) {
    co_await Sleep(kTickInterval);
    if (stopped) break;
    UpdateCandidacy();
    DriveLease(Lease::TimerFired{});
    SendCopies();
    if (!lease.IsHeld()) continue;
    if (has_read_reports) DriveReporter(UsageReporter::Tick{Daemons()});
    if (settings.orders_engines) SendOrders();
  }
}

bool SingletonDuties::State::IsRanked() const {
  const std::vector<PeerRecord> peers = context.peers.AvailablePeers(SteadyNow());
  const std::vector<const PeerRecord*> owners =
      OwnersOf(StableHash(kLeaseKey), context.settings.name, peers, kCandidates);
  return std::find(owners.begin(), owners.end(), nullptr) != owners.end();
}

/// A holder stays a candidate whatever its rank, so that the duties do not move without need.
void SingletonDuties::State::UpdateCandidacy() {
  const bool may_compete =
      !is_releasing && !context.leaving && context.IsServing() && SteadyNow() >= compete_from;
  const bool is_candidate = lease.IsHeld() || (may_compete && IsRanked());
  DriveLease(Lease::CandidateChanged{is_candidate});
}

void SingletonDuties::State::DriveLease(const Lease::Event& event) {
  std::vector<Lease::Action> actions;
  lease.Handle(event, BootNow(), actions);
  for (const Lease::Action& action : actions) Perform(action);
}

void SingletonDuties::State::Perform(const Lease::Action& action) {
  std::visit(Overloaded{[](const Lease::SetTimer&) {},
                        [this](const Lease::ReadRow& read) {
                          Spawn(context.executor, [self = shared_from_this(), read]() {
                            return self->ReadLease(read);
                          });
                        },
                        [this](const Lease::WriteRow& write) {
                          Spawn(context.executor, [self = shared_from_this(), write]() {
                            return self->WriteLease(write);
                          });
                        },
                        [this](const Lease::Acquired&) { OnAcquired(); },
                        [this](const Lease::Lost&) { OnLost(); }},
             action);
}

Task<void> SingletonDuties::State::ReadLease(Lease::ReadRow read) {
  const std::shared_ptr<State> self = shared_from_this();
  const Lease::RowRead event = co_await ReadLeaseRow(context.store, std::move(read));
  if (stopped) co_return;
  if (event.ok) NoteEpoch(event.epoch);
  DriveLease(event);
}

Task<void> SingletonDuties::State::WriteLease(Lease::WriteRow write) {
  const std::shared_ptr<State> self = shared_from_this();
  const Lease::WriteDone event = co_await WriteLeaseRow(context.store, std::move(write));
  if (stopped) co_return;
  if (event.outcome != TableOutcome::kUnknown) NoteEpoch(event.epoch);
  DriveLease(event);
}

/// Rows of reports that were accepted may be missing from a store that was restored from a copy.
void SingletonDuties::State::NoteEpoch(std::uint64_t epoch) {
  if (epoch <= known_epoch) return;
  if (known_epoch > 0) undecided_from = WallNow();
  known_epoch = epoch;
}

void SingletonDuties::State::OnAcquired() {
  // A renewal that was in progress when the lease was released acquires it again.
  if (is_releasing || SteadyNow() < compete_from) return DriveLease(Lease::Release{});
  is_holder = true;
  holder = context.settings.name;
  own_token = lease.FencingToken();
  holder_token = own_token;
  holder_since = WallNow();
  context.metrics.SetGauge("duty_holder", {}, 1.0);
  Log(LogLevel::kInfo, "duty_lease_acquired", {{"token", holder_token}});
  has_read_reports = false;
  orders.Clear();
  Spawn(context.executor, [self = shared_from_this()]() { return self->PollLoop(); });
  if (!settings.reports_usage) return;
  Spawn(context.executor, [self = shared_from_this()]() { return self->ReadStoredReports(); });
}

void SingletonDuties::State::OnLost() {
  compete_from = SteadyNow() + settings.lease_time;
  if (!std::exchange(is_holder, false)) return;
  context.metrics.SetGauge("duty_holder", {}, 0.0);
  Log(LogLevel::kInfo, "duty_lease_lost", {{"token", own_token}});
  DriveReporter(UsageReporter::Lost{});
  orders.Clear();
}

/// The API has seen the token of a later holder.
void SingletonDuties::State::OnFenced(std::uint64_t token) {
  if (lease.IsHeld() && lease.FencingToken() == token) DriveLease(Lease::Release{});
}

std::set<std::string> SingletonDuties::State::Daemons() const {
  std::set<std::string> daemons = {context.settings.name};
  for (const PeerRecord& peer : context.peers.AvailablePeers(SteadyNow())) {
    daemons.insert(peer.name);
  }
  return daemons;
}

/// Polls all daemons, one after the other, while the lease is held.
Task<void> SingletonDuties::State::PollLoop() {
  const std::shared_ptr<State> self = shared_from_this();
  const std::uint64_t token = lease.FencingToken();
  while (!stopped && lease.IsHeld() && lease.FencingToken() == token) {
    const std::vector<PeerRecord> peers = context.peers.AvailablePeers(SteadyNow());
    const int count = static_cast<int>(peers.size()) + 1;
    const Duration pause = std::max(kPollPeriod, kPollPeriodPerDaemon * count) / count;
    DutyPoll own{context.settings.name, token, reporter.FirstOpenWindow(WallNow())};
    OnReply(OwnReply(own), WallNow(), SteadyNow());
    for (const PeerRecord& peer : peers) {
      if (stopped || !lease.IsHeld()) co_return;
      Spawn(context.executor, [self, peer]() { return self->Poll(peer); });
      co_await Sleep(pause);
    }
    co_await Sleep(pause);
  }
}

Task<void> SingletonDuties::State::Poll(PeerRecord peer) {
  const std::shared_ptr<State> self = shared_from_this();
  const UnixMillis asked = WallNow();
  const TimePoint asked_steady = SteadyNow();
  const std::uint64_t token = lease.FencingToken();
  DutyPoll poll{context.settings.name, token, reporter.FirstOpenWindow(asked)};
  const std::optional<std::string> bytes =
      co_await connections.SendRequest(peer.peer_address, std::move(poll), kPollTimeout);
  if (stopped) co_return;
  if (!bytes) connections.Drop(peer.peer_address);
  const std::optional<DutyPollReply> reply =
      bytes ? DecodeDutyPollReply(*bytes) : std::optional<DutyPollReply>();
  context.metrics.Count("duty_polls", reply ? "answered" : "unanswered");
  const bool is_current = lease.IsHeld() && lease.FencingToken() == token;
  if (reply && is_current) OnReply(*reply, asked, asked_steady);
}

void SingletonDuties::State::OnReply(const DutyPollReply& reply, UnixMillis asked,
                                     TimePoint asked_steady) {
  orders.OnReply(reply, asked_steady);
  if (has_read_reports) DriveReporter(UsageReporter::Collected{reply, asked});
}

DutyPollReply SingletonDuties::State::OwnReply(const DutyPoll& poll) {
  DutyPollReply reply;
  reply.daemon = context.settings.name;
  reply.incarnation = context.incarnation;
  reply.sums = context.duty_counters->Ledger().Sums(poll.first_window);
  reply.decided = reporter.Decided(poll.first_window);
  reply.loads = context.duty_counters->Loads(context);
  return reply;
}

void SingletonDuties::State::SendCopies() {
  const TimePoint now = SteadyNow();
  if (!settings.reports_usage || now - last_copies < kCopyInterval) return;
  last_copies = now;
  const std::vector<UsageSum> changed = context.duty_counters->Ledger().TakeChanged();
  if (changed.empty()) return;
  std::vector<PeerRecord> holders = context.peers.HeartbeatPeers();
  holders.resize(std::min(kCopyHolders, holders.size()));
  for (UsageCopy& copy : UsageLedger::CopiesOf(changed)) {
    const std::string bytes = EncodeDatagram(std::move(copy));
    for (const PeerRecord& peer : holders) exchange.Send(peer.peer_address, bytes);
  }
}

void SingletonDuties::State::DriveReporter(const UsageReporter::Event& event) {
  std::vector<UsageReporter::Action> actions;
  reporter.Handle(event, WallNow(), actions);
  for (const UsageReporter::Action& action : actions) Perform(action);
}

void SingletonDuties::State::Perform(const UsageReporter::Action& action) {
  std::visit(Overloaded{
                 [this](const UsageReporter::StoreReport& store) {
                   Spawn(context.executor,
                         [self = shared_from_this(), store]() { return self->StoreReport(store); });
                 },
                 [this](const UsageReporter::SendReport& send) {
                   Spawn(context.executor, [self = shared_from_this(), report = send.report]() {
                     return self->SendReport(report);
                   });
                 },
                 [this](const UsageReporter::LateCounts& late) {
                   context.metrics.Count("usage_late_counts", {}, late.requests);
                   Log(LogLevel::kWarning, "usage_late_counts",
                       {{"window", late.window}, {"requests", late.requests}});
                 },
                 [](const UsageReporter::GaveUp& given_up) {
                   Log(LogLevel::kError, "usage_report_failed", {{"window", given_up.window}});
                 },
             },
             action);
}

/// Returns whether the lease under which a call to the store was made is still held. The reply may
/// be the first of a later epoch, in which it is not.
bool SingletonDuties::State::KeepsLease(std::uint64_t token, const StoreReply& reply) {
  if (stopped) return false;
  if (reply.status != StoreStatus::kUnknown) {
    NoteEpoch(reply.position.epoch);
    DriveLease(Lease::EpochSeen{reply.position.epoch});
  }
  return lease.IsHeld() && lease.FencingToken() == token;
}

/// Reads what former holders have decided. Nothing is reported before.
Task<void> SingletonDuties::State::ReadStoredReports() {
  const std::shared_ptr<State> self = shared_from_this();
  const std::uint64_t token = lease.FencingToken();
  const UsageWindow first =
      context.duty_counters->Ledger().WindowAt(WallNow()) - UsageReporter::kKeptWindows;
  while (!stopped && lease.IsHeld() && lease.FencingToken() == token) {
    const StoreReply reply = co_await ReadRowsFrom(context.store, kUsageTable, RowKeyOf(first));
    if (!KeepsLease(token, reply)) co_return;
    if (reply.status != StoreStatus::kOk) {
      co_await Sleep(kTickInterval);
      continue;
    }
    UsageReporter::Acquired acquired;
    acquired.undecided_from = undecided_from;
    for (const StoreRow& row : reply.rows) {
      const std::optional<UsageReport> report = ParseUsageReport(row.value);
      if (report) acquired.stored.push_back(*report);
    }
    has_read_reports = true;
    DriveReporter(acquired);
    co_return;
  }
}

Task<void> SingletonDuties::State::StoreReport(UsageReporter::StoreReport store) {
  const std::shared_ptr<State> self = shared_from_this();
  const UsageWindow window = store.report.window;
  const std::uint64_t token = lease.FencingToken();
  if (!MaySend()) {
    DriveReporter(UsageReporter::StoreFailed{window});
    co_return;
  }
  StoreTransaction transaction;
  transaction.conditions.push_back({kUsageTable, "", RowKeyOf(window), 0});
  StoreRow row;
  row.table = kUsageTable;
  row.key = RowKeyOf(window);
  row.value = ToJson(store.report);
  transaction.puts.push_back(std::move(row));
  StoreRow expired;
  expired.table = kUsageTable;
  expired.key = RowKeyOf(store.expired);
  transaction.removes.push_back(std::move(expired));
  const StoreReply reply = co_await context.store.commit(std::move(transaction));
  if (!KeepsLease(token, reply)) co_return;
  std::optional<UsageReport> stored;
  if (reply.status == StoreStatus::kOk) stored = store.report;
  if (reply.status == StoreStatus::kConflict) {
    const StoreRow* found = FindRow(reply, kUsageTable, RowKeyOf(window));
    if (found != nullptr) stored = ParseUsageReport(found->value);
  }
  if (stored) {
    DriveReporter(UsageReporter::Stored{*stored});
  } else {
    DriveReporter(UsageReporter::StoreFailed{window});
  }
}

Task<void> SingletonDuties::State::SendReport(UsageReport report) {
  const std::shared_ptr<State> self = shared_from_this();
  const UsageWindow window = report.window;
  const std::uint64_t token = lease.FencingToken();
  const DutyCallResult result = co_await caller.SendUsageReport(token, std::move(report));
  if (stopped) co_return;
  // The reporter must not send its next report with a token that was refused.
  if (result == DutyCallResult::kFenced) OnFenced(token);
  const bool is_accepted = result == DutyCallResult::kAccepted;
  DriveReporter(UsageReporter::Sent{window, is_accepted});
  if (is_accepted) last_reported = std::max(last_reported, window);
  if (is_accepted) Log(LogLevel::kInfo, "usage_reported", {{"window", window}});
}

void SingletonDuties::State::SendOrders() {
  orders.Decide(Daemons());
  for (const EngineOrder& order : orders.TakeDue()) {
    Spawn(context.executor,
          [self = shared_from_this(), order]() { return self->SendOrder(order); });
  }
}

Task<void> SingletonDuties::State::SendOrder(EngineOrder order) {
  const std::shared_ptr<State> self = shared_from_this();
  const std::uint64_t token = lease.FencingToken();
  const DutyCallResult result = co_await caller.SendEngineOrder(token, order);
  if (stopped || !lease.IsHeld() || lease.FencingToken() != token) co_return;
  orders.OnSent(order, result);
  if (result == DutyCallResult::kFenced) OnFenced(token);
}

SingletonDuties::SingletonDuties(RelayContext& context, PeerExchange& exchange,
                                 PeerConnections& connections, DutyApi api, std::uint64_t seed)
    : m_state(std::make_shared<State>(context, exchange, connections, std::move(api), seed)) {}

SingletonDuties::~SingletonDuties() {
  m_state->stopped = true;
  m_state->caller.Stop();
}

void SingletonDuties::Start() {
  if (!m_state->settings.IsEnabled()) return;
  Spawn(m_state->context.executor, [state = m_state]() { return state->Run(); });
}

void SingletonDuties::Release() {
  if (!m_state->settings.IsEnabled()) return;
  m_state->is_releasing = true;
  m_state->DriveLease(Lease::Release{});
}

DutyPollReply SingletonDuties::Answer(const DutyPoll& poll) {
  State& state = *m_state;
  if (!state.settings.IsEnabled()) return {};
  if (poll.fencing_token > state.holder_token) {
    state.holder = poll.holder;
    state.holder_token = poll.fencing_token;
    state.holder_since = WallNow();
  }
  if (state.settings.orders_engines) state.orders.ObserveFailureDomains();
  return state.OwnReply(poll);
}

void SingletonDuties::OnCopy(const UsageCopy& copy) {
  if (m_state->settings.reports_usage) m_state->context.duty_counters->Ledger().OnCopy(copy);
}

void SingletonDuties::OnStoreEpoch(std::uint64_t epoch) {
  State& state = *m_state;
  if (!state.settings.IsEnabled()) return;
  state.NoteEpoch(epoch);
  state.DriveLease(Lease::EpochSeen{epoch});
}

std::string SingletonDuties::StatusJson() const {
  const State& state = *m_state;
  nlohmann::json orders = nlohmann::json::array();
  for (const EngineOrder& order : state.orders.Latest()) {
    orders.push_back({{"service", order.service},
                      {"failure_domain", order.failure_domain},
                      {"desired", order.desired}});
  }
  return nlohmann::json{{"enabled", state.settings.IsEnabled()},
                        {"holder", state.holder},
                        {"fencing_token", state.holder_token},
                        {"since_unix_ms", state.holder_since},
                        {"is_holder", state.is_holder},
                        {"last_reported_window", state.last_reported},
                        {"orders", std::move(orders)}}
      .dump();
}

}  // namespace fulmarpoint
