#include "relay/poison_request_detector.h"

#include <algorithm>
#include <limits>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "coordination/crash_tracker.h"
#include "coordination/recent_fingerprints.h"
#include "coordination/rendezvous_owner.h"
#include "protocol/relay_datagram.h"
#include "relay/peer_exchange.h"
#include "transport/http_client_exchange.h"
#include "utils/logging.h"
#include "utils/overloaded.h"

namespace fulmarpoint {

namespace {

constexpr Duration kProbeTime = std::chrono::milliseconds(120);
// A process that ends closes its connections before its listening socket.
constexpr Duration kProbeDelay = std::chrono::milliseconds(5);
constexpr Duration kCompletionLifetime = std::chrono::minutes(1);
constexpr std::size_t kMaxCompletions = 4096;
// Verdicts are sent twice, because a lost one costs a run.
constexpr Duration kVerdictRepeat = std::chrono::milliseconds(200);
constexpr std::size_t kMaxBlocked = 1024;

template <typename Unit>
std::uint32_t InUnits(Duration duration) {
  const std::int64_t count = std::chrono::duration_cast<Unit>(duration).count();
  const std::int64_t most = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, most));
}

}  // namespace

struct CrashWatch::State : std::enable_shared_from_this<CrashWatch::State> {
  State(RelayContext& shared, PeerExchange& peer_exchange)
      : context(shared), exchange(peer_exchange) {}

  Task<void> Probe(EndpointId endpoint, std::string address);
  void OnCrashed(const EndpointId& endpoint);
  bool IsGone(const EndpointId& endpoint, TimePoint now) const;
  void Report(const LostAttempt& run, const std::vector<PeerRecord>& peers);
  void CountCrash(const CrashReport& report, const std::string& from);
  void Ask(Fingerprint fingerprint);
  Task<void> Settle();
  void Block(Fingerprint fingerprint, Duration time);
  void TellVerdict(Fingerprint fingerprint);
  QuarantineUpdate VerdictOf(Fingerprint fingerprint) const;
  Task<void> RepeatVerdict(Fingerprint fingerprint);
  bool IsBlocked(Fingerprint fingerprint) const;
  void Unblock(Fingerprint fingerprint);
  void Refute(Fingerprint fingerprint);
  void OnCompletionElsewhere(Fingerprint fingerprint);
  const PeerRecord* Home(Fingerprint fingerprint, const std::vector<PeerRecord>& peers) const;
  void SendToAll(const CrashMessage& message);
  void Send(const std::string& address, const CrashMessage& message);
  bool HasCompletedSince(Fingerprint fingerprint, TimePoint since) const;

  RelayContext& context;
  PeerExchange& exchange;
  LostAttempts lost;
  std::set<EndpointId> probed;
  RecentFingerprints completed{kCompletionLifetime, kMaxCompletions};
  /// Ends of the verdicts.
  std::unordered_map<Fingerprint, TimePoint> blocked_until;
  /// Of the fingerprints whose home this daemon is.
  CrashTracker ledger;
  bool stopped = false;
};

/// Opens a connection to the endpoint of lost runs. Only a refusal shows that its process is gone.
Task<void> CrashWatch::State::Probe(EndpointId endpoint, std::string address) {
  const std::shared_ptr<State> self = shared_from_this();
  co_await Sleep(kProbeDelay);
  if (stopped) co_return;
  HttpClientExchange connection(context.executor, HttpClientExchange::Options());
  const std::error_code error = co_await connection.Connect(std::move(address), kProbeTime);
  if (stopped) co_return;
  probed.erase(endpoint);
  context.metrics.Count("endpoint_probes", error ? "failed" : "answered");
  if (!error) lost.OnAlive(endpoint);
  if (error == std::errc::connection_refused) OnCrashed(endpoint);
}

void CrashWatch::State::OnCrashed(const EndpointId& endpoint) {
  const std::vector<LostAttempt> runs = lost.TakeCrashed(endpoint);
  if (runs.empty()) return;
  const std::vector<PeerRecord> peers = context.peers.AvailablePeers(SteadyNow());
  for (const LostAttempt& run : runs) Report(run, peers);
}

bool CrashWatch::State::IsGone(const EndpointId& endpoint, TimePoint now) const {
  const DirectoryEndpoint* known = context.endpoints.Find(endpoint);
  return known == nullptr || (known->gone_at && *known->gone_at <= now);
}

void CrashWatch::State::Report(const LostAttempt& run, const std::vector<PeerRecord>& peers) {
  const TimePoint now = SteadyNow();
  CrashReport report;
  report.fingerprint = run.fingerprint;
  report.endpoint = run.endpoint;
  report.ran_us = InUnits<std::chrono::microseconds>(run.ended - run.started);
  report.ended_us_ago = InUnits<std::chrono::microseconds>(now - run.ended);
  const PeerRecord* home = Home(run.fingerprint, peers);
  if (home == nullptr) {
    CountCrash(report, {});
  } else {
    Send(home->peer_address, report);
  }
}

/// Counts a crash of a fingerprint whose home this daemon is. `from` is empty for its own reports.
void CrashWatch::State::CountCrash(const CrashReport& report, const std::string& from) {
  const TimePoint now = SteadyNow();
  CrashedAttempt run;
  run.fingerprint = report.fingerprint;
  run.endpoint = report.endpoint;
  run.ended = now - std::chrono::microseconds(report.ended_us_ago);
  run.started = run.ended - std::chrono::microseconds(report.ran_us);
  switch (ledger.OnCrash(run, now)) {
    case CrashTracker::Finding::kNothing:
      return;
    case CrashTracker::Finding::kQueryCompletion:
      Ask(report.fingerprint);
      return;
    case CrashTracker::Finding::kQuarantined:
      if (!from.empty()) Send(from, VerdictOf(report.fingerprint));
      return;
    case CrashTracker::Finding::kQuarantinedAgain:
      TellVerdict(report.fingerprint);
      return;
  }
}

void CrashWatch::State::Ask(Fingerprint fingerprint) {
  const TimePoint since = ledger.FirstStarted(fingerprint).value_or(TimePoint{});
  if (HasCompletedSince(fingerprint, since)) {
    ledger.OnCompleted(fingerprint);
    return;
  }
  Log(LogLevel::kWarning, "crashes_in_series", {{"fingerprint", fingerprint}});
  const Duration age = SteadyNow() - since;
  SendToAll(CompletionQuery{fingerprint, InUnits<std::chrono::milliseconds>(age)});
  Spawn(context.executor, [self = shared_from_this()]() { return self->Settle(); });
}

Task<void> CrashWatch::State::Settle() {
  const std::shared_ptr<State> self = shared_from_this();
  co_await Sleep(ledger.GetOptions().settle);
  if (stopped) co_return;
  for (const Fingerprint fingerprint : ledger.TakeNewQuarantines(SteadyNow())) {
    TellVerdict(fingerprint);
  }
}

void CrashWatch::State::TellVerdict(Fingerprint fingerprint) {
  Block(fingerprint, ledger.RemainingQuarantine(fingerprint, SteadyNow()));
  SendToAll(VerdictOf(fingerprint));
  Spawn(context.executor,
        [self = shared_from_this(), fingerprint]() { return self->RepeatVerdict(fingerprint); });
}

Task<void> CrashWatch::State::RepeatVerdict(Fingerprint fingerprint) {
  const std::shared_ptr<State> self = shared_from_this();
  co_await Sleep(kVerdictRepeat);
  if (!stopped && IsBlocked(fingerprint)) SendToAll(VerdictOf(fingerprint));
}

/// Returns the verdict of this daemon's ledger.
QuarantineUpdate CrashWatch::State::VerdictOf(Fingerprint fingerprint) const {
  return QuarantineUpdate::WithDuration(fingerprint,
                                        ledger.RemainingQuarantine(fingerprint, SteadyNow()));
}

void CrashWatch::State::Block(Fingerprint fingerprint, Duration time) {
  const TimePoint now = SteadyNow();
  const bool is_new = !IsBlocked(fingerprint);
  if (is_new && blocked_until.size() >= kMaxBlocked) return;
  blocked_until[fingerprint] = now + time;
  if (!is_new) return;
  Log(LogLevel::kWarning, "request_blocked",
      {{"fingerprint", fingerprint}, {"seconds", InUnits<std::chrono::seconds>(time)}});
}

bool CrashWatch::State::IsBlocked(Fingerprint fingerprint) const {
  const auto found = blocked_until.find(fingerprint);
  return found != blocked_until.end() && SteadyNow() < found->second;
}

void CrashWatch::State::Unblock(Fingerprint fingerprint) {
  if (!IsBlocked(fingerprint)) return;
  blocked_until.erase(fingerprint);
  Log(LogLevel::kWarning, "request_unblocked", {{"fingerprint", fingerprint}});
}

/// A run that began before the verdict was completed here.
void CrashWatch::State::Refute(Fingerprint fingerprint) {
  Unblock(fingerprint);
  const std::vector<PeerRecord> peers = context.peers.AvailablePeers(SteadyNow());
  const PeerRecord* home = Home(fingerprint, peers);
  if (home == nullptr) {
    OnCompletionElsewhere(fingerprint);
  } else {
    Send(home->peer_address, CompletionReport{fingerprint});
  }
}

void CrashWatch::State::OnCompletionElsewhere(Fingerprint fingerprint) {
  if (!ledger.OnCompleted(fingerprint)) return;
  Unblock(fingerprint);
  SendToAll(QuarantineUpdate{fingerprint, 0});
}

const PeerRecord* CrashWatch::State::Home(Fingerprint fingerprint,
                                          const std::vector<PeerRecord>& peers) const {
  return OwnerOf(fingerprint, context.settings.name, peers);
}

void CrashWatch::State::SendToAll(const CrashMessage& message) {
  const std::string bytes = EncodeDatagram(message);
  for (const PeerRecord& peer : context.peers.AvailablePeers(SteadyNow())) {
    exchange.Send(peer.peer_address, bytes);
  }
}

void CrashWatch::State::Send(const std::string& address, const CrashMessage& message) {
  exchange.Send(address, EncodeDatagram(message));
}

bool CrashWatch::State::HasCompletedSince(Fingerprint fingerprint, TimePoint since) const {
  const std::optional<TimePoint> seen = completed.LastSeen(fingerprint, SteadyNow());
  return seen && *seen >= since;
}

CrashWatch::CrashWatch(RelayContext& context, PeerExchange& exchange)
    : m_state(std::make_shared<State>(context, exchange)) {}

CrashWatch::~CrashWatch() { m_state->stopped = true; }

void CrashWatch::OnRunLost(Fingerprint fingerprint, const EndpointRecord& endpoint,
                           TimePoint started, bool is_broken) {
  State& state = *m_state;
  if (!state.lost.Add({fingerprint, endpoint.id, started, SteadyNow()})) return;
  if (!is_broken || !state.probed.insert(endpoint.id).second) return;
  Spawn(state.context.executor, [shared = m_state, id = endpoint.id, address = endpoint.address]() {
    return shared->Probe(id, address);
  });
}

void CrashWatch::OnCompleted(Fingerprint fingerprint) {
  m_state->completed.Add(fingerprint, SteadyNow());
  if (IsBlocked(fingerprint)) m_state->Refute(fingerprint);
}

bool CrashWatch::IsBlocked(Fingerprint fingerprint) const {
  return m_state->IsBlocked(fingerprint);
}

void CrashWatch::OnMessage(const std::string& from, const CrashMessage& message) {
  State& state = *m_state;
  std::visit(
      Overloaded{
          [&](const CrashReport& report) { state.CountCrash(report, from); },
          [&](const CompletionQuery& inquiry) {
            const TimePoint since = SteadyNow() - std::chrono::milliseconds(inquiry.lookback_ms);
            if (!state.HasCompletedSince(inquiry.fingerprint, since)) return;
            state.Send(from, CompletionReport{inquiry.fingerprint});
          },
          [&](const CompletionReport& notice) { state.OnCompletionElsewhere(notice.fingerprint); },
          [&](const QuarantineUpdate& verdict) {
            if (verdict.QuarantineTime() > Duration::zero()) {
              state.Block(verdict.fingerprint, verdict.QuarantineTime());
            } else {
              state.Unblock(verdict.fingerprint);
            }
          },
      },
      message);
}

void CrashWatch::Check() {
  State& state = *m_state;
  const TimePoint now = SteadyNow();
  for (const EndpointId& endpoint : state.lost.Endpoints()) {
    if (state.IsGone(endpoint, now)) state.OnCrashed(endpoint);
  }
  state.lost.Forget(now);
  std::erase_if(state.blocked_until, [&](const auto& entry) { return now >= entry.second; });
}

}  // namespace fulmarpoint
