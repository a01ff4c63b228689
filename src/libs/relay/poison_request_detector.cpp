#include "relay/poison_request_detector.h"

#include <algorithm>
#include <limits>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "coordination/crash_tracker.h"
#include "coordination/quarantine_table.h"
#include "coordination/recent_fingerprints.h"
#include "coordination/rendezvous_owner.h"
#include "protocol/relay_datagram.h"
#include "relay/peer_exchange.h"
#include "relay/relayed_request.h"
#include "transport/http_client_exchange.h"
#include "utils/logging.h"
#include "utils/overloaded.h"

namespace fulmarpoint {

namespace {

constexpr Duration kProbeTimeout = std::chrono::milliseconds(120);
// Interval of further connections while it is open whether the endpoint or the path has failed.
constexpr Duration kDoubtfulProbeInterval = std::chrono::milliseconds(50);
// A terminating process closes its connections before its listening socket, so a probe without a
// delay could still succeed.
constexpr Duration kProbeDelay = std::chrono::milliseconds(5);
constexpr Duration kCompletionLifetime = std::chrono::minutes(1);
// A request counts with the parts of its prompt.
constexpr std::size_t kMaxCompletions = 16384;
// Quarantines are sent twice, because a daemon that misses one runs the request once more.
constexpr Duration kQuarantineResendDelay = std::chrono::milliseconds(200);
// Number of daemons that count the crashes of a fingerprint, so that a restart of one does not lose
// the count.
constexpr std::size_t kCountingDaemons = 2;
// Limit on the messages in reply to one query for quarantines.
constexpr std::size_t kMaxRecordsPerReply = 64;

template <typename Unit>
std::uint32_t ClampedCount(Duration duration) {
  const std::int64_t count = std::chrono::duration_cast<Unit>(duration).count();
  const std::int64_t most = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, most));
}

}  // namespace

struct PoisonRequestDetector::State : std::enable_shared_from_this<PoisonRequestDetector::State> {
  State(RelayContext& shared, PeerExchange& peer_exchange)
      : context(shared), exchange(peer_exchange) {}

  Task<void> Probe(EndpointId endpoint, std::string address);
  Task<std::error_code> TryConnect(EndpointId endpoint, std::string address);
  bool HasLostAttemptsAt(const EndpointId& endpoint) const;
  bool IsPathInDoubt() const;
  void ReportCrashes(const std::vector<LostAttempt>& attempts);
  bool IsGone(const EndpointProcess& process, TimePoint now) const;
  void Report(const LostAttempt& attempt, const std::vector<PeerRecord>& peers);
  void ReportFingerprint(CrashReport report, const std::vector<PeerRecord>& peers);
  void CountCrash(const CrashReport& report, const std::string& from);
  void QueryCompletions(Fingerprint fingerprint);
  bool QueryCompletion(Fingerprint fingerprint, TimePoint since);
  Task<void> QuarantineUnlessCompleted();
  /// `from` is the sender, empty for this daemon's own quarantines.
  void Quarantine(const QuarantineRecord& record, const std::string& from);
  void PublishQuarantine(Fingerprint fingerprint);
  QuarantineUpdate QuarantineOf(Fingerprint fingerprint) const;
  QuarantineRecord RecordOf(Fingerprint fingerprint) const;
  Task<void> ResendQuarantine(Fingerprint fingerprint);
  void EndQuarantine(Fingerprint fingerprint, Duration age);
  void QueryQuarantines();
  void AnswerQuarantineQuery(const std::string& from, const QuarantineQuery& query);
  void PublishEndOfQuarantine(Fingerprint fingerprint);
  void OnLocalCompletion(Fingerprint fingerprint);
  void OnCompletion(Fingerprint fingerprint);
  void SendToAll(const CrashMessage& message);
  void Send(const std::string& address, const CrashMessage& message);
  bool HasCompletedSince(Fingerprint fingerprint, TimePoint since) const;

  RelayContext& context;
  PeerExchange& exchange;
  LostAttempts lost_attempts;
  std::set<EndpointId> probes_in_progress;
  RecentFingerprints completed{kCompletionLifetime, kMaxCompletions};
  QuarantineTable quarantines;
  /// Consecutive crashes of the fingerprints that this daemon owns, and quarantines of others.
  CrashTracker tracker;
  bool stopped = false;
};

/// Returns the error with which a new connection to the endpoint ends.
Task<std::error_code> PoisonRequestDetector::State::TryConnect(EndpointId endpoint,
                                                               std::string address) {
  const std::shared_ptr<State> self = shared_from_this();
  HttpClientExchange connection(context.executor, HttpClientExchange::Options());
  const std::error_code error = co_await connection.Connect(std::move(address), kProbeTimeout);
  if (stopped) co_return error;
  context.metrics.Count("endpoint_probes", error ? "failed" : "answered");
  const DirectoryEndpoint* known = context.endpoints.Find(endpoint);
  if (known != nullptr) context.OnConnectionEnded(known->record, error);
  co_return error;
}

bool PoisonRequestDetector::State::HasLostAttemptsAt(const EndpointId& endpoint) const {
  const std::vector<EndpointProcess> processes = lost_attempts.Processes();
  return std::any_of(processes.begin(), processes.end(),
                     [&](const EndpointProcess& process) { return process.endpoint == endpoint; });
}

/// Returns whether the path to the endpoints may be lost. If no daemon reaches any, they have
/// failed.
bool PoisonRequestDetector::State::IsPathInDoubt() const {
  const EndpointReachability& reachability = context.reachability;
  return reachability.IsIsolated() ? context.ShouldRedirect() : reachability.MayBeIsolated();
}

/// Connects to the endpoint of lost attempts. Only a refused connection shows that its process is
/// gone.
Task<void> PoisonRequestDetector::State::Probe(EndpointId endpoint, std::string address) {
  const std::shared_ptr<State> self = shared_from_this();
  co_await Sleep(kProbeDelay);
  if (stopped) co_return;
  std::error_code error = co_await TryConnect(endpoint, address);
  // A path that was lost refuses connections, too. Lost attempts are forgotten after some time, so
  // this ends.
  while (!stopped && error && IsPathInDoubt() && HasLostAttemptsAt(endpoint)) {
    co_await Sleep(kDoubtfulProbeInterval);
    if (!stopped) error = co_await TryConnect(endpoint, address);
  }
  if (stopped) co_return;
  probes_in_progress.erase(endpoint);
  if (!error) lost_attempts.OnAlive(endpoint);
  if (error == std::errc::connection_refused) ReportCrashes(lost_attempts.TakeCrashed(endpoint));
}

void PoisonRequestDetector::State::ReportCrashes(const std::vector<LostAttempt>& attempts) {
  if (attempts.empty()) return;
  const std::vector<PeerRecord> peers = context.peers.AvailablePeers(SteadyNow());
  for (const LostAttempt& attempt : attempts) Report(attempt, peers);
}

/// Returns whether the process is no longer listed, or was replaced by a restart.
bool PoisonRequestDetector::State::IsGone(const EndpointProcess& process, TimePoint now) const {
  const DirectoryEndpoint* known = context.endpoints.Find(process.endpoint);
  if (known == nullptr || known->record.incarnation != process.incarnation) return true;
  return known->HasEnded(now);
}

void PoisonRequestDetector::State::Report(const LostAttempt& attempt,
                                          const std::vector<PeerRecord>& peers) {
  const TimePoint now = SteadyNow();
  CrashReport report;
  report.fingerprint = attempt.fingerprint;
  report.request = attempt.fingerprint;
  report.endpoint = attempt.endpoint + "@" + std::to_string(attempt.incarnation);
  report.ran_us = ClampedCount<std::chrono::microseconds>(attempt.ended - attempt.started);
  report.ended_us_ago = ClampedCount<std::chrono::microseconds>(now - attempt.ended);
  ReportFingerprint(report, peers);
  for (const Fingerprint part : attempt.parts) {
    report.fingerprint = part;
    report.companions = attempt.parts;
    std::erase(report.companions, part);
    ReportFingerprint(report, peers);
  }
}

void PoisonRequestDetector::State::ReportFingerprint(CrashReport report,
                                                     const std::vector<PeerRecord>& peers) {
  for (const PeerRecord* owner :
       OwnersOf(report.fingerprint, context.settings.name, peers, kCountingDaemons)) {
    if (owner == nullptr) {
      CountCrash(report, {});
    } else {
      Send(owner->peer_address, report);
    }
  }
}

/// Counts a crash of a fingerprint that this daemon owns. `from` is empty for its own reports.
void PoisonRequestDetector::State::CountCrash(const CrashReport& report, const std::string& from) {
  const TimePoint now = SteadyNow();
  CrashedAttempt attempt;
  attempt.fingerprint = report.fingerprint;
  attempt.endpoint = report.endpoint;
  attempt.ended = now - std::chrono::microseconds(report.ended_us_ago);
  attempt.started = attempt.ended - std::chrono::microseconds(report.ran_us);
  if (report.request != report.fingerprint) {
    attempt.request = report.request;
    attempt.companions = report.companions;
  }
  switch (tracker.OnCrash(attempt, now)) {
    case CrashTracker::Finding::kNothing:
      return;
    case CrashTracker::Finding::kQueryCompletion:
      QueryCompletions(report.fingerprint);
      return;
    case CrashTracker::Finding::kQuarantined:
      if (!from.empty()) Send(from, QuarantineOf(report.fingerprint));
      return;
    case CrashTracker::Finding::kQuarantinedAgain:
      PublishQuarantine(report.fingerprint);
      return;
  }
}

/// Asks all daemons whether a suspected fingerprint, or one that may explain its crashes, has
/// completed.
void PoisonRequestDetector::State::QueryCompletions(Fingerprint fingerprint) {
  const TimePoint since = tracker.ClearedSince(fingerprint).value_or(TimePoint{});
  const std::vector<Fingerprint> queried = tracker.QueriedFingerprints(fingerprint);
  Log(LogLevel::kWarning, "crashes_in_series",
      {{"fingerprint", fingerprint}, {"companions", queried.size() - 1}});
  for (const Fingerprint each : queried) {
    const bool is_cleared = QueryCompletion(each, since) && each == fingerprint;
    if (is_cleared) return;
  }
  Spawn(context.executor,
        [self = shared_from_this()]() { return self->QuarantineUnlessCompleted(); });
}

/// Returns whether a request with this fingerprint completed at this daemon. If not, asks the
/// others.
bool PoisonRequestDetector::State::QueryCompletion(Fingerprint fingerprint, TimePoint since) {
  if (HasCompletedSince(fingerprint, since)) {
    tracker.OnCompleted(fingerprint);
    return true;
  }
  const Duration age = SteadyNow() - since;
  SendToAll(CompletionQuery{fingerprint, ClampedCount<std::chrono::milliseconds>(age)});
  return false;
}

Task<void> PoisonRequestDetector::State::QuarantineUnlessCompleted() {
  const std::shared_ptr<State> self = shared_from_this();
  co_await Sleep(tracker.GetOptions().answer_timeout);
  if (stopped) co_return;
  for (const Fingerprint fingerprint : tracker.TakeNewQuarantines(SteadyNow())) {
    PublishQuarantine(fingerprint);
  }
}

void PoisonRequestDetector::State::PublishQuarantine(Fingerprint fingerprint) {
  Quarantine(RecordOf(fingerprint), {});
  SendToAll(QuarantineOf(fingerprint));
  Spawn(context.executor,
        [self = shared_from_this(), fingerprint]() { return self->ResendQuarantine(fingerprint); });
}

Task<void> PoisonRequestDetector::State::ResendQuarantine(Fingerprint fingerprint) {
  const std::shared_ptr<State> self = shared_from_this();
  co_await Sleep(kQuarantineResendDelay);
  if (!stopped && quarantines.IsInForce(fingerprint, SteadyNow())) {
    SendToAll(QuarantineOf(fingerprint));
  }
}

/// Returns the message about a quarantine in this daemon's tracker.
QuarantineUpdate PoisonRequestDetector::State::QuarantineOf(Fingerprint fingerprint) const {
  QuarantineUpdate update = QuarantineUpdate::WithDuration(
      fingerprint, tracker.RemainingQuarantine(fingerprint, SteadyNow()));
  update.companions = tracker.QuarantineCompanions(fingerprint);
  return update;
}

QuarantineRecord PoisonRequestDetector::State::RecordOf(Fingerprint fingerprint) const {
  QuarantineRecord record =
      QuarantineRecord::Of(fingerprint, tracker.QuarantineCount(fingerprint),
                           tracker.RemainingQuarantine(fingerprint, SteadyNow()), Duration::zero());
  record.companions = tracker.QuarantineCompanions(fingerprint);
  return record;
}

void PoisonRequestDetector::State::Quarantine(const QuarantineRecord& record,
                                              const std::string& from) {
  const TimePoint now = SteadyNow();
  const QuarantineTable::Change change = quarantines.Put(record, now);
  if (change == QuarantineTable::Change::kHasEnded && !from.empty()) {
    Send(from, QuarantineRecord::Cleared(record.fingerprint, Duration::zero()));
  }
  if (change != QuarantineTable::Change::kChanged) return;
  tracker.OnPublished(record, now);
  if (!quarantines.IsInForce(record.fingerprint, now)) return;
  Log(LogLevel::kWarning, "request_blocked",
      {{"fingerprint", record.fingerprint},
       {"companions", record.companions.size()},
       {"age_ms", record.age_ms},
       {"seconds", ClampedCount<std::chrono::seconds>(record.QuarantineTime())}});
  // With companions, any of the parts may be the poison.
  if (!record.companions.empty()) return;
  for (const Fingerprint explained : tracker.OnPoisonFound(record.fingerprint)) {
    PublishEndOfQuarantine(explained);
  }
}

/// Ends a quarantine that was cleared `age` ago.
void PoisonRequestDetector::State::EndQuarantine(Fingerprint fingerprint, Duration age) {
  const TimePoint now = SteadyNow();
  const bool was_in_force = quarantines.IsInForce(fingerprint, now);
  if (!quarantines.End(fingerprint, age, now)) return;
  tracker.OnCleared(fingerprint);
  if (!was_in_force) return;
  Log(LogLevel::kWarning, "request_unblocked", {{"fingerprint", fingerprint}});
}

/// Asks another daemon for quarantines that this one does not know, because it was started, paused
/// or cut off when they began.
void PoisonRequestDetector::State::QueryQuarantines() {
  const std::vector<PeerRecord> peers = context.peers.AvailablePeers(SteadyNow());
  if (peers.empty()) return;
  const std::size_t chosen =
      std::uniform_int_distribution<std::size_t>(0, peers.size() - 1)(context.random);
  Send(peers[chosen].peer_address, QuarantineQuery{quarantines.Digest()});
}

void PoisonRequestDetector::State::AnswerQuarantineQuery(const std::string& from,
                                                         const QuarantineQuery& query) {
  if (query.digest == quarantines.Digest()) return;
  std::vector<QuarantineRecord> records = quarantines.Records(SteadyNow());
  // Each reply holds others, so that a daemon receives all in the end.
  std::shuffle(records.begin(), records.end(), context.random);
  records.resize(std::min(records.size(), kMaxRecordsPerReply));
  for (const QuarantineRecord& record : records) Send(from, record);
}

void PoisonRequestDetector::State::OnLocalCompletion(Fingerprint fingerprint) {
  completed.Add(fingerprint, SteadyNow());
  if (!quarantines.IsInForce(fingerprint, SteadyNow())) return;
  // An attempt from before the quarantine has completed.
  tracker.OnCompleted(fingerprint);
  PublishEndOfQuarantine(fingerprint);
}

void PoisonRequestDetector::State::OnCompletion(Fingerprint fingerprint) {
  if (tracker.OnCompleted(fingerprint)) PublishEndOfQuarantine(fingerprint);
}

void PoisonRequestDetector::State::PublishEndOfQuarantine(Fingerprint fingerprint) {
  EndQuarantine(fingerprint, Duration::zero());
  QuarantineUpdate end;
  end.fingerprint = fingerprint;
  SendToAll(end);
}

void PoisonRequestDetector::State::SendToAll(const CrashMessage& message) {
  const std::string bytes = EncodeDatagram(message);
  for (const PeerRecord& peer : context.peers.AvailablePeers(SteadyNow())) {
    exchange.Send(peer.peer_address, bytes);
  }
}

void PoisonRequestDetector::State::Send(const std::string& address, const CrashMessage& message) {
  exchange.Send(address, EncodeDatagram(message));
}

bool PoisonRequestDetector::State::HasCompletedSince(Fingerprint fingerprint,
                                                     TimePoint since) const {
  const std::optional<TimePoint> seen = completed.LastSeen(fingerprint, SteadyNow());
  return seen && *seen >= since;
}

PoisonRequestDetector::PoisonRequestDetector(RelayContext& context, PeerExchange& exchange)
    : m_state(std::make_shared<State>(context, exchange)) {}

PoisonRequestDetector::~PoisonRequestDetector() { m_state->stopped = true; }

void PoisonRequestDetector::OnAttemptLost(const RelayedRequest& request,
                                          const EndpointRecord& endpoint,
                                          const AttemptLossDetails& details) {
  State& state = *m_state;
  LostAttempt attempt;
  attempt.fingerprint = request.fingerprint;
  attempt.endpoint = endpoint.id;
  attempt.started = details.started;
  attempt.ended = SteadyNow();
  attempt.parts = request.part_fingerprints;
  attempt.incarnation = endpoint.incarnation;
  attempt.first_event = details.first_event;
  if (!state.lost_attempts.Add(std::move(attempt))) return;
  if (!details.connection_broken || !state.probes_in_progress.insert(endpoint.id).second) return;
  Spawn(state.context.executor, [shared = m_state, id = endpoint.id, address = endpoint.address]() {
    return shared->Probe(id, address);
  });
}

void PoisonRequestDetector::OnSurvived(const RelayedRequest& request, bool is_success) {
  m_state->OnLocalCompletion(request.fingerprint);
  if (!is_success) return;
  for (const Fingerprint part : request.part_fingerprints) m_state->OnLocalCompletion(part);
}

bool PoisonRequestDetector::IsQuarantined(const RelayedRequest& request) const {
  const TimePoint now = SteadyNow();
  const QuarantineTable& quarantines = m_state->quarantines;
  const std::vector<Fingerprint>& parts = request.part_fingerprints;
  const auto is_quarantined = [&](Fingerprint part) {
    return quarantines.Covers(part, parts, now);
  };
  return quarantines.IsInForce(request.fingerprint, now) ||
         std::any_of(parts.begin(), parts.end(), is_quarantined);
}

void PoisonRequestDetector::OnMessage(const std::string& from, const CrashMessage& message) {
  State& state = *m_state;
  std::visit(
      Overloaded{
          [&](const CrashReport& report) { state.CountCrash(report, from); },
          [&](const CompletionQuery& query) {
            const TimePoint since = SteadyNow() - std::chrono::milliseconds(query.lookback_ms);
            if (!state.HasCompletedSince(query.fingerprint, since)) return;
            state.Send(from, CompletionReport{query.fingerprint});
          },
          [&](const CompletionReport& completion) { state.OnCompletion(completion.fingerprint); },
          [&](const QuarantineUpdate& update) {
            if (update.QuarantineTime() > Duration::zero()) {
              state.Quarantine(state.quarantines.RecordOf(update, SteadyNow()), from);
            } else {
              state.EndQuarantine(update.fingerprint, Duration::zero());
            }
          },
          [&](const QuarantineRecord& record) {
            if (record.IsCleared()) {
              state.EndQuarantine(record.fingerprint, record.Age());
            } else {
              state.Quarantine(record, from);
            }
          },
          [&](const QuarantineQuery& query) { state.AnswerQuarantineQuery(from, query); },
      },
      message);
}

void PoisonRequestDetector::Housekeep() {
  State& state = *m_state;
  const TimePoint now = SteadyNow();
  for (const EndpointProcess& process : state.lost_attempts.Processes()) {
    if (state.IsGone(process, now)) {
      state.ReportCrashes(state.lost_attempts.TakeCrashed(process));
    }
  }
  state.lost_attempts.Forget(now);
  state.quarantines.Forget(now);
  state.QueryQuarantines();
}

}  // namespace fulmarpoint
