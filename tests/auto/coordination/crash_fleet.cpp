#include "crash_fleet.h"

#include <algorithm>
#include <utility>

#include "coordination/rendezvous_owner.h"

namespace fulmarpoint {

namespace {

constexpr int kDaemons = 195;
constexpr int kEndpointsPerDomain = 40;
constexpr int kPopularRequests = 20;
constexpr double kMessageLoss = 0.03;
constexpr int kMaxAttempts = 4;
constexpr Duration kStreamTime = std::chrono::seconds(3);
constexpr Duration kFirstEventTime = std::chrono::milliseconds(800);
constexpr Duration kCrashTime = std::chrono::milliseconds(2);
constexpr Duration kRetryDelay = std::chrono::milliseconds(1);
constexpr Duration kProbeTime = std::chrono::milliseconds(6);
constexpr Duration kQuarantineResendDelay = std::chrono::milliseconds(200);
constexpr Duration kDownTime = std::chrono::milliseconds(1200);
// Required bounds: the number of retries that start more than `kRetryGracePeriod` after the third
// crash of a request, and the share of rejected requests that could have been served.
constexpr Duration kRetryGracePeriod = std::chrono::seconds(4);
// Parts of prompts: some that many requests share, more that few share, and one per request.
constexpr int kPopularParts = 20;
constexpr int kRareParts = 2000;
constexpr Fingerprint kFirstPart = 1'000'000'000;
constexpr Fingerprint kFirstOwnPart = 2'000'000'000;
constexpr Fingerprint kPoisonPart = 3'000'000'000;
constexpr Fingerprint kConstantCompanion = 3'000'000'001;
// Poison requests with a part in common may crash this many endpoints before they count as retries.
constexpr std::size_t kPartCrashes = 5;

Fingerprint RandomPart(CrashFleet& fleet) {
  const bool is_popular = std::bernoulli_distribution(0.5)(fleet.Generator());
  const int parts = is_popular ? kPopularParts : kRareParts;
  const int offset = is_popular ? 0 : kPopularParts;
  return kFirstPart + static_cast<Fingerprint>(offset + std::uniform_int_distribution<int>(
                                                            0, parts - 1)(fleet.Generator()));
}

}  // namespace

CrashFleet::CrashFleet(std::uint64_t seed) : m_random(seed) {
  for (int index = 0; index < kDaemons; ++index) {
    PeerRecord record;
    record.name = "daemon-" + std::to_string(index);
    m_records.push_back(record);
    m_daemons.emplace_back();
  }
  m_down_until.resize(kDomains * kEndpointsPerDomain);
  m_attempts.resize(m_down_until.size());
}

void CrashFleet::In(Duration delay, std::function<void()> step) {
  m_steps.push({m_now + delay, m_order++, std::move(step)});
}

void CrashFleet::RunUntil(TimePoint end) {
  while (!m_steps.empty() && m_steps.top().at <= end) {
    const Step step = m_steps.top();
    m_steps.pop();
    m_now = step.at;
    step.act();
  }
  m_now = end;
}

void CrashFleet::SendMessage(std::function<void()> arrive) {
  if (std::bernoulli_distribution(kMessageLoss)(m_random)) return;
  In(std::chrono::microseconds(200 + RandomBelow(4800)), std::move(arrive));
}

void CrashFleet::Send(Fingerprint fingerprint, bool crashes_endpoints, Duration length) {
  Request request;
  request.fingerprint = fingerprint;
  request.crashes = crashes_endpoints;
  request.length = crashes_endpoints ? kCrashTime : length;
  Send(std::move(request));
}

void CrashFleet::Send(Request request) {
  request.daemon = RandomBelow(kDaemons);
  if (!request.crashes) ++sent;
  StartAttempt(std::move(request));
}

std::vector<Fingerprint> CrashFleet::FingerprintsOf(const Request& request) {
  std::vector<Fingerprint> fingerprints = request.parts;
  fingerprints.push_back(request.fingerprint);
  return fingerprints;
}

void CrashFleet::StartAttempt(Request request) {
  if (IsQuarantined(request)) {
    if (!request.crashes) ++rejected;
    if (!request.crashes && request.attempts > 0) ++interrupted;
    return;
  }
  if (request.attempts++ >= kMaxAttempts) return;
  int endpoint = RandomBelow(static_cast<int>(m_attempts.size()));
  while (m_down_until[endpoint] > m_now)
    endpoint = RandomBelow(static_cast<int>(m_attempts.size()));
  const bool is_first_attempt = request.attempts == 1;
  if (request.crashes && is_first_attempt) {
    crashing_requests[request.fingerprint].push_back(m_now);
  }
  if (request.crashes && !request.parts.empty()) part_attempts.push_back(m_now);
  const int attempt = ++m_last_attempt;
  m_attempts[endpoint][attempt] = {request, m_now};
  In(request.length, [this, endpoint, attempt]() { OnAttemptDue(endpoint, attempt); });
  if (!request.first_event) return;
  In(*request.first_event + LostAttempts::kMaxRunBeforeCrash, [this, endpoint, attempt]() {
    const auto found = m_attempts[endpoint].find(attempt);
    if (found != m_attempts[endpoint].end()) OnSurvived(found->second.request);
  });
}

void CrashFleet::OnAttemptDue(int endpoint, int attempt) {
  const auto found = m_attempts[endpoint].find(attempt);
  if (found == m_attempts[endpoint].end()) return;
  const Request request = found->second.request;
  if (request.crashes) {
    Crash(endpoint);
    return;
  }
  m_attempts[endpoint].erase(found);
  OnSurvived(request);
}

void CrashFleet::OnSurvived(const Request& request) {
  Daemon& daemon = m_daemons[request.daemon];
  for (const Fingerprint fingerprint : FingerprintsOf(request)) {
    daemon.completed.Add(fingerprint, m_now);
    if (!IsQuarantined(daemon, fingerprint)) continue;
    daemon.quarantined.erase(fingerprint);
    SendMessage([this, owner = OwnerIndex(fingerprint, request.daemon), fingerprint]() {
      OnCompleted(owner, fingerprint);
    });
  }
}

int CrashFleet::OwnerIndex(Fingerprint fingerprint, int daemon) const {
  const PeerRecord* record = OwnerOf(fingerprint, m_records[daemon].name, m_records);
  return record == nullptr ? daemon : static_cast<int>(record - m_records.data());
}

void CrashFleet::Crash(int endpoint) {
  m_down_until[endpoint] = m_now + kDownTime;
  for (const auto& [id, attempt] : std::exchange(m_attempts[endpoint], {})) {
    const Request request = attempt.request;
    const TimePoint ended = m_now;
    if (request.crashes) crashes[request.fingerprint].push_back(ended);
    if (request.crashes && !request.parts.empty()) part_crashes.push_back(ended);
    In(kProbeTime, [this, lost = attempt, endpoint, ended]() { Report(lost, endpoint, ended); });
    In(kRetryDelay, [this, request]() { StartAttempt(request); });
  }
}

void CrashFleet::CrashDomain(int domain) {
  for (int index = 0; index < kEndpointsPerDomain; ++index) {
    Crash(domain * kEndpointsPerDomain + index);
  }
}

void CrashFleet::Report(const Attempt& attempt, int endpoint, TimePoint ended) {
  const Request& request = attempt.request;
  LostAttempts lost;
  LostAttempt loss;
  // Each crash ends another process.
  loss.endpoint = "e-" + std::to_string(endpoint) + "@" +
                  std::to_string(m_down_until[endpoint].time_since_epoch().count());
  loss.started = attempt.started;
  loss.ended = ended;
  if (request.first_event && ended - attempt.started >= *request.first_event) {
    loss.first_event = attempt.started + *request.first_event;
  }
  if (!lost.Add(loss)) return;
  CrashedAttempt crashed;
  crashed.endpoint = loss.endpoint;
  crashed.started = loss.started;
  crashed.ended = loss.ended;
  ReportFingerprint(request.fingerprint, request, crashed);
  crashed.request = request.fingerprint;
  for (const Fingerprint part : request.parts) {
    crashed.companions = request.parts;
    std::erase(crashed.companions, part);
    ReportFingerprint(part, request, crashed);
  }
}

void CrashFleet::ReportFingerprint(Fingerprint fingerprint, const Request& request,
                                   CrashedAttempt attempt) {
  attempt.fingerprint = fingerprint;
  const int owner = OwnerIndex(fingerprint, request.daemon);
  SendMessage([this, owner, attempt, daemon = request.daemon, sent_at = m_now]() {
    const Duration transit = m_now - sent_at;
    CrashedAttempt arrived = attempt;
    arrived.started += transit;
    arrived.ended += transit;
    CountCrash(owner, arrived, daemon);
  });
}

void CrashFleet::CountCrash(int owner, const CrashedAttempt& attempt, int sender) {
  const CrashTracker::Finding finding = m_daemons[owner].tracker.OnCrash(attempt, m_now);
  if (finding == CrashTracker::Finding::kQueryCompletion)
    QueryCompletion(owner, attempt.fingerprint);
  if (finding == CrashTracker::Finding::kQuarantinedAgain)
    AnnounceQuarantine(owner, attempt.fingerprint);
  if (finding != CrashTracker::Finding::kQuarantined) return;
  SendMessage([this, sender, update = QuarantineOf(owner, attempt.fingerprint)]() {
    Quarantine(sender, update);
  });
}

void CrashFleet::QueryCompletion(int owner, Fingerprint fingerprint) {
  ++queries;
  const TimePoint since = *m_daemons[owner].tracker.ClearedSince(fingerprint);
  for (const Fingerprint queried : m_daemons[owner].tracker.QueriedFingerprints(fingerprint)) {
    for (int index = 0; index < kDaemons; ++index) {
      SendMessage([this, owner, index, queried, since]() {
        const std::optional<TimePoint> seen = m_daemons[index].completed.LastSeen(queried, m_now);
        if (!seen || *seen < since) return;
        SendMessage([this, owner, queried]() { OnCompleted(owner, queried); });
      });
    }
  }
  In(m_daemons[owner].tracker.GetOptions().answer_timeout, [this, owner]() {
    for (const Fingerprint quarantined : m_daemons[owner].tracker.TakeNewQuarantines(m_now)) {
      ++quarantines;
      AnnounceQuarantine(owner, quarantined);
    }
  });
}

QuarantineUpdate CrashFleet::QuarantineOf(int owner, Fingerprint fingerprint) const {
  const CrashTracker& tracker = m_daemons[owner].tracker;
  QuarantineUpdate update =
      QuarantineUpdate::WithDuration(fingerprint, tracker.RemainingQuarantine(fingerprint, m_now));
  update.companions = tracker.QuarantineCompanions(fingerprint);
  return update;
}

void CrashFleet::AnnounceQuarantine(int owner, Fingerprint fingerprint) {
  const QuarantineUpdate update = QuarantineOf(owner, fingerprint);
  Quarantine(owner, update);
  NotifyAll(update);
  In(kQuarantineResendDelay, [this, owner, fingerprint]() {
    if (!IsQuarantined(m_daemons[owner], fingerprint)) return;
    NotifyAll(QuarantineOf(owner, fingerprint));
  });
}

void CrashFleet::Quarantine(int daemon, const QuarantineUpdate& update) {
  m_daemons[daemon].quarantined[update.fingerprint] = {m_now + update.QuarantineTime(),
                                                       update.companions};
  if (update.QuarantineTime() <= Duration::zero() || !update.companions.empty()) return;
  for (const Fingerprint explained : m_daemons[daemon].tracker.OnPoisonFound(update.fingerprint)) {
    EndQuarantine(daemon, explained);
  }
}

void CrashFleet::EndQuarantine(int owner, Fingerprint fingerprint) {
  ++cleared;
  m_daemons[owner].quarantined.erase(fingerprint);
  QuarantineUpdate end;
  end.fingerprint = fingerprint;
  NotifyAll(end);
}

bool CrashFleet::IsQuarantined(const Daemon& daemon, Fingerprint fingerprint) const {
  const auto found = daemon.quarantined.find(fingerprint);
  return found != daemon.quarantined.end() && m_now < found->second.until;
}

bool CrashFleet::IsQuarantined(const Request& request) const {
  const std::vector<Fingerprint> fingerprints = FingerprintsOf(request);
  return std::any_of(fingerprints.begin(), fingerprints.end(), [&](Fingerprint fingerprint) {
    const Daemon& daemon = m_daemons[request.daemon];
    if (!IsQuarantined(daemon, fingerprint)) return false;
    const std::vector<Fingerprint>& companions = daemon.quarantined.at(fingerprint).companions;
    return std::all_of(companions.begin(), companions.end(), [&](Fingerprint companion) {
      return std::find(request.parts.begin(), request.parts.end(), companion) !=
             request.parts.end();
    });
  });
}

void CrashFleet::NotifyAll(const QuarantineUpdate& update) {
  for (int index = 0; index < kDaemons; ++index) {
    SendMessage([this, index, update]() { Quarantine(index, update); });
  }
}

void CrashFleet::OnCompleted(int owner, Fingerprint fingerprint) {
  if (m_daemons[owner].tracker.OnCompleted(fingerprint)) EndQuarantine(owner, fingerprint);
}

CrashFleet::Request MakeStream(CrashFleet& fleet, Fingerprint fingerprint) {
  CrashFleet::Request request;
  request.fingerprint = fingerprint;
  request.parts = {RandomPart(fleet), kFirstOwnPart + fingerprint};
  request.length = kStreamTime;
  request.first_event = kFirstEventTime;
  return request;
}

void SendTraffic(CrashFleet& fleet, Duration length, Fingerprint& next_stream) {
  constexpr Duration kInterval = std::chrono::milliseconds(25);
  for (Duration at{}; at < length; at += kInterval) {
    fleet.In(at, [&fleet, &next_stream]() {
      const auto popular = static_cast<Fingerprint>(
          std::uniform_int_distribution<int>(1, kPopularRequests)(fleet.Generator()));
      fleet.Send(popular, false, kCallTime);
      fleet.Send(MakeStream(fleet, ++next_stream));
    });
  }
}

int LateRetries(CrashFleet& fleet, Fingerprint fingerprint) {
  const TimePoint third = fleet.crashes[fingerprint][2];
  const std::vector<TimePoint>& reached = fleet.crashing_requests[fingerprint];
  return static_cast<int>(std::count_if(reached.begin(), reached.end(), [&](TimePoint started) {
    return started > third + kRetryGracePeriod;
  }));
}

/// Returns a stream that has the poison part with the share of the case.
static CrashFleet::Request MakePoisonOrHarmlessStream(CrashFleet& fleet, Fingerprint fingerprint,
                                                      const PoisonedPartCase& test_case,
                                                      Duration sent_after) {
  CrashFleet::Request request = MakeStream(fleet, fingerprint);
  request.crashes = std::bernoulli_distribution(test_case.share)(fleet.Generator());
  const bool has_companion =
      request.crashes
          ? test_case.has_constant_companion
          : test_case.harmless_companions_from && sent_after >= *test_case.harmless_companions_from;
  if (has_companion) request.parts.front() = kConstantCompanion;
  if (request.crashes) {
    request.parts.insert(request.parts.begin() + 1, kPoisonPart);
    request.length = test_case.time_to_crash;
    request.first_event = test_case.time_to_crash;
  }
  return request;
}

int LateAttemptsWithPoisonPart(CrashFleet& fleet, const PoisonedPartCase& test_case) {
  constexpr Duration kLength = std::chrono::seconds(30);
  Fingerprint next_stream = 1'000'000;
  for (Duration at{}; at < kLength; at += test_case.interval) {
    fleet.In(at, [&fleet, &next_stream, &test_case, at]() {
      fleet.Send(MakePoisonOrHarmlessStream(fleet, ++next_stream, test_case, at));
    });
  }
  for (int domain = 0; test_case.loses_domains && domain < 3; ++domain) {
    fleet.In(std::chrono::milliseconds(2000 + 700 * domain),
             [&fleet, domain]() { fleet.CrashDomain(domain); });
  }
  fleet.RunUntil(fleet.Now() + kLength + std::chrono::seconds(5));
  if (fleet.part_crashes.size() < kPartCrashes) return 0;
  const TimePoint limit = fleet.part_crashes[kPartCrashes - 1] + test_case.grace_period;
  return static_cast<int>(std::count_if(fleet.part_attempts.begin(), fleet.part_attempts.end(),
                                        [&](TimePoint started) { return started > limit; }));
}

}  // namespace fulmarpoint
