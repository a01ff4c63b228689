#include <criterion/criterion.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "coordination/crash_tracker.h"
#include "coordination/lost_attempts.h"
#include "coordination/recent_fingerprints.h"
#include "coordination/rendezvous_owner.h"
#include "protocol/crash_messages.h"
#include "utils/random.h"

using namespace fulmarpoint;

namespace {

constexpr std::uint64_t kSeed = 4127;
constexpr int kDaemons = 195;
constexpr int kDomains = 6;
constexpr int kEndpointsPerDomain = 40;
constexpr int kPopularRequests = 20;
constexpr double kMessageLoss = 0.03;
constexpr int kMaxRuns = 4;
constexpr Duration kCallTime = std::chrono::milliseconds(60);
constexpr Duration kStreamTime = std::chrono::seconds(3);
constexpr Duration kCrashTime = std::chrono::milliseconds(2);
constexpr Duration kNoticeTime = std::chrono::milliseconds(1);
constexpr Duration kProbeTime = std::chrono::milliseconds(6);
constexpr Duration kVerdictRepeat = std::chrono::milliseconds(200);
constexpr Duration kDownTime = std::chrono::milliseconds(1200);
// The users' bounds: retries after the third crash of a request, this much later; and refusals of
// requests that could have been served.
constexpr Duration kContactTime = std::chrono::seconds(4);
constexpr int kMostLateRetries = 3;
constexpr double kMostRefusals = 1.0 / 500;

/// The decisions of a fleet of daemons about crashing requests, in virtual time: messages take up
/// to 5 ms and some are lost, endpoints are lost by failure domain or by the request that they run.
class CrashFleet {
 public:
  CrashFleet() : m_random(kSeed) {
    for (int index = 0; index < kDaemons; ++index) {
      PeerRecord record;
      record.name = "daemon-" + std::to_string(index);
      m_records.push_back(record);
      m_daemons.emplace_back();
    }
    m_down_until.resize(kDomains * kEndpointsPerDomain);
    m_runs.resize(m_down_until.size());
  }

  void Send(Fingerprint fingerprint, bool crashes, Duration length);
  void CrashDomain(int domain);
  void RunUntil(TimePoint end);
  void In(Duration delay, std::function<void()> step);
  TimePoint Now() const { return m_now; }
  Random& Generator() { return m_random; }

  int sent = 0;
  int refused = 0;
  int verdicts = 0;
  int refuted = 0;
  int inquiries = 0;
  /// When each crashing request and its retries reached their first endpoints, and the crashes that
  /// followed.
  std::map<Fingerprint, std::vector<TimePoint>> crashing_requests;
  std::map<Fingerprint, std::vector<TimePoint>> crashes;

 private:
  struct Daemon {
    RecentFingerprints completed{std::chrono::minutes(1), 4096};
    /// Ends of the verdicts.
    std::map<Fingerprint, TimePoint> blocked;
    CrashTracker ledger;
  };
  struct Request {
    Fingerprint fingerprint = 0;
    bool crashes = false;
    Duration length{};
    int daemon = 0;
    int runs = 0;
  };
  struct Run {
    Request request;
    TimePoint started{};
  };
  struct Step {
    TimePoint at{};
    int order = 0;
    std::function<void()> act;
    bool operator<(const Step& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  int Below(int limit) { return std::uniform_int_distribution<int>(0, limit - 1)(m_random); }
  void Message(std::function<void()> arrive);
  void StartRun(Request request);
  void OnRunDue(int endpoint, int run);
  void Crash(int endpoint);
  void Report(const Request& request, int endpoint, TimePoint started, TimePoint ended);
  void Count(int home, const CrashedAttempt& run, int sender);
  void Ask(int home, Fingerprint fingerprint);
  void TellVerdict(int home, Fingerprint fingerprint);
  void TellAll(Fingerprint fingerprint, Duration time);
  void Block(int daemon, Fingerprint fingerprint, Duration time);
  bool IsBlocked(const Daemon& daemon, Fingerprint fingerprint) const;
  void OnCompleted(int home, Fingerprint fingerprint);
  int HomeIndex(const Request& request) const;

  Random m_random;
  TimePoint m_now{std::chrono::hours(1)};
  int m_order = 0;
  std::priority_queue<Step> m_steps;
  std::vector<PeerRecord> m_records;
  std::vector<Daemon> m_daemons;
  std::vector<TimePoint> m_down_until;
  /// Runs in progress at each endpoint by number.
  std::vector<std::map<int, Run>> m_runs;
  int m_last_run = 0;
};

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

void CrashFleet::Message(std::function<void()> arrive) {
  if (std::bernoulli_distribution(kMessageLoss)(m_random)) return;
  In(std::chrono::microseconds(200 + Below(4800)), std::move(arrive));
}

void CrashFleet::Send(Fingerprint fingerprint, bool crashes_endpoints, Duration length) {
  Request request;
  request.fingerprint = fingerprint;
  request.crashes = crashes_endpoints;
  request.length = length;
  request.daemon = Below(kDaemons);
  if (!crashes_endpoints) ++sent;
  StartRun(request);
}

void CrashFleet::StartRun(Request request) {
  if (IsBlocked(m_daemons[request.daemon], request.fingerprint)) {
    if (!request.crashes) ++refused;
    return;
  }
  if (request.runs++ >= kMaxRuns) return;
  int endpoint = Below(static_cast<int>(m_runs.size()));
  while (m_down_until[endpoint] > m_now) endpoint = Below(static_cast<int>(m_runs.size()));
  const bool is_first_run = request.runs == 1;
  if (request.crashes && is_first_run) {
    crashing_requests[request.fingerprint].push_back(m_now);
  }
  const int run = ++m_last_run;
  m_runs[endpoint][run] = {request, m_now};
  In(request.crashes ? kCrashTime : request.length,
     [this, endpoint, run]() { OnRunDue(endpoint, run); });
}

void CrashFleet::OnRunDue(int endpoint, int run) {
  const auto found = m_runs[endpoint].find(run);
  if (found == m_runs[endpoint].end()) return;
  const Request request = found->second.request;
  if (request.crashes) {
    Crash(endpoint);
    return;
  }
  m_runs[endpoint].erase(found);
  Daemon& daemon = m_daemons[request.daemon];
  daemon.completed.Add(request.fingerprint, m_now);
  if (!IsBlocked(daemon, request.fingerprint)) return;
  daemon.blocked.erase(request.fingerprint);
  Message([this, home = HomeIndex(request), fingerprint = request.fingerprint]() {
    OnCompleted(home, fingerprint);
  });
}

int CrashFleet::HomeIndex(const Request& request) const {
  const PeerRecord* record =
      OwnerOf(request.fingerprint, m_records[request.daemon].name, m_records);
  return record == nullptr ? request.daemon : static_cast<int>(record - m_records.data());
}

void CrashFleet::Crash(int endpoint) {
  m_down_until[endpoint] = m_now + kDownTime;
  for (const auto& [id, run] : std::exchange(m_runs[endpoint], {})) {
    const Request request = run.request;
    const TimePoint started = run.started;
    const TimePoint ended = m_now;
    if (request.crashes) crashes[request.fingerprint].push_back(ended);
    In(kProbeTime,
       [this, request, endpoint, started, ended]() { Report(request, endpoint, started, ended); });
    In(kNoticeTime, [this, request]() { StartRun(request); });
  }
}

void CrashFleet::CrashDomain(int domain) {
  for (int index = 0; index < kEndpointsPerDomain; ++index) {
    Crash(domain * kEndpointsPerDomain + index);
  }
}

void CrashFleet::Report(const Request& request, int endpoint, TimePoint started, TimePoint ended) {
  LostAttempts lost;
  const EndpointId id = "e-" + std::to_string(endpoint);
  if (!lost.Add({request.fingerprint, id, started, ended})) return;
  const int home = HomeIndex(request);
  const TimePoint sent_at = m_now;
  Message([this, home, id, request, started, ended, sent_at]() {
    const Duration transit = m_now - sent_at;
    Count(home, {request.fingerprint, id, started + transit, ended + transit}, request.daemon);
  });
}

void CrashFleet::Count(int home, const CrashedAttempt& run, int sender) {
  const CrashTracker::Finding finding = m_daemons[home].ledger.OnCrash(run, m_now);
  if (finding == CrashTracker::Finding::kQueryCompletion) Ask(home, run.fingerprint);
  if (finding == CrashTracker::Finding::kQuarantinedAgain) TellVerdict(home, run.fingerprint);
  if (finding != CrashTracker::Finding::kQuarantined) return;
  const Duration left = m_daemons[home].ledger.RemainingQuarantine(run.fingerprint, m_now);
  Message([this, sender, verdict = QuarantineUpdate::WithDuration(run.fingerprint, left)]() {
    Block(sender, verdict.fingerprint, verdict.QuarantineTime());
  });
}

void CrashFleet::Ask(int home, Fingerprint fingerprint) {
  ++inquiries;
  const TimePoint since = *m_daemons[home].ledger.FirstStarted(fingerprint);
  for (int index = 0; index < kDaemons; ++index) {
    Message([this, home, index, fingerprint, since]() {
      const std::optional<TimePoint> seen = m_daemons[index].completed.LastSeen(fingerprint, m_now);
      if (!seen || *seen < since) return;
      Message([this, home, fingerprint]() { OnCompleted(home, fingerprint); });
    });
  }
  In(m_daemons[home].ledger.GetOptions().settle, [this, home]() {
    for (const Fingerprint blocked : m_daemons[home].ledger.TakeNewQuarantines(m_now)) {
      ++verdicts;
      TellVerdict(home, blocked);
    }
  });
}

void CrashFleet::TellVerdict(int home, Fingerprint fingerprint) {
  const Duration left = m_daemons[home].ledger.RemainingQuarantine(fingerprint, m_now);
  Block(home, fingerprint, left);
  TellAll(fingerprint, left);
  In(kVerdictRepeat, [this, home, fingerprint]() {
    if (!IsBlocked(m_daemons[home], fingerprint)) return;
    TellAll(fingerprint, m_daemons[home].ledger.RemainingQuarantine(fingerprint, m_now));
  });
}

void CrashFleet::Block(int daemon, Fingerprint fingerprint, Duration time) {
  m_daemons[daemon].blocked[fingerprint] = m_now + time;
}

bool CrashFleet::IsBlocked(const Daemon& daemon, Fingerprint fingerprint) const {
  const auto found = daemon.blocked.find(fingerprint);
  return found != daemon.blocked.end() && m_now < found->second;
}

void CrashFleet::TellAll(Fingerprint fingerprint, Duration time) {
  for (int index = 0; index < kDaemons; ++index) {
    Message([this, index, verdict = QuarantineUpdate::WithDuration(fingerprint, time)]() {
      Block(index, verdict.fingerprint, verdict.QuarantineTime());
    });
  }
}

void CrashFleet::OnCompleted(int home, Fingerprint fingerprint) {
  if (!m_daemons[home].ledger.OnCompleted(fingerprint)) return;
  ++refuted;
  m_daemons[home].blocked.erase(fingerprint);
  TellAll(fingerprint, Duration::zero());
}

/// Requests of all kinds for `length`: popular calls that look alike, and streams that do not.
void SendTraffic(CrashFleet& fleet, Duration length, Fingerprint& next_stream) {
  constexpr Duration kInterval = std::chrono::milliseconds(25);
  for (Duration at{}; at < length; at += kInterval) {
    fleet.In(at, [&fleet, &next_stream]() {
      const auto popular = static_cast<Fingerprint>(
          std::uniform_int_distribution<int>(1, kPopularRequests)(fleet.Generator()));
      fleet.Send(popular, false, kCallTime);
      fleet.Send(++next_stream, false, kStreamTime);
    });
  }
}

/// Retries that reach an endpoint later than the bound after the third crash.
int LateRetries(CrashFleet& fleet, Fingerprint fingerprint) {
  const TimePoint third = fleet.crashes[fingerprint][2];
  const std::vector<TimePoint>& reached = fleet.crashing_requests[fingerprint];
  return static_cast<int>(std::count_if(reached.begin(), reached.end(), [&](TimePoint started) {
    return started > third + kContactTime;
  }));
}

}  // namespace

// Guards against a crash of a failure domain, or of several soon after each other, that has good
// requests refused.
Test(crash_fleet, lost_failure_domains_condemn_no_requests) {
  CrashFleet fleet;
  Fingerprint next_stream = 1'000'000;
  for (int crash = 0; crash < 1000;) {
    SendTraffic(fleet, std::chrono::seconds(7), next_stream);
    const int others = std::uniform_int_distribution<int>(0, 2)(fleet.Generator());
    const int domain = std::uniform_int_distribution<int>(0, 5)(fleet.Generator());
    for (int index = 0; index <= others; ++index, ++crash) {
      fleet.In(std::chrono::milliseconds(3500 + 700 * index),
               [&fleet, domain, index]() { fleet.CrashDomain((domain + index) % kDomains); });
    }
    fleet.RunUntil(fleet.Now() + std::chrono::seconds(12));
  }
  std::printf("sent %d, refused %d, inquiries %d, verdicts %d, refuted %d, seed %llu\n", fleet.sent,
              fleet.refused, fleet.inquiries, fleet.verdicts, fleet.refuted,
              static_cast<unsigned long long>(kSeed));
  cr_assert_gt(fleet.sent, 100'000);
  cr_assert_leq(fleet.refused, static_cast<int>(kMostRefusals * fleet.sent));
}

// Guards against a request that goes on to crash endpoints because each daemon sees only its own
// part of the crashes.
Test(crash_fleet, a_request_that_crashes_endpoints_is_stopped_at_all_daemons) {
  CrashFleet fleet;
  Fingerprint next_stream = 1'000'000;
  int worst = 0;
  for (Fingerprint fingerprint = 500; fingerprint < 550; ++fingerprint) {
    SendTraffic(fleet, std::chrono::seconds(20), next_stream);
    fleet.In(std::chrono::seconds(3), [&fleet]() { fleet.CrashDomain(2); });
    for (int retry = 0; retry < 60; ++retry) {
      fleet.In(std::chrono::milliseconds(300 * retry),
               [&fleet, fingerprint]() { fleet.Send(fingerprint, true, kCallTime); });
    }
    fleet.RunUntil(fleet.Now() + std::chrono::seconds(20));
    cr_assert_geq(fleet.crashes[fingerprint].size(), 3);
    const int late = LateRetries(fleet, fingerprint);
    worst = std::max(worst, late);
    cr_assert_leq(late, kMostLateRetries, "request %llu: %d late retries",
                  static_cast<unsigned long long>(fingerprint), late);
  }
  std::printf("most late retries %d, seed %llu\n", worst, static_cast<unsigned long long>(kSeed));
  cr_assert_leq(fleet.refused, static_cast<int>(kMostRefusals * fleet.sent));
}

// Guards against daemons for which a verdict ends before its home does: each would try the request.
Test(crash_fleet, a_verdict_ends_at_its_home_first) {
  constexpr Fingerprint kCrashing = 500;
  CrashFleet fleet;
  for (int retry = 0; retry < 1200; ++retry) {
    fleet.In(std::chrono::milliseconds(50 * retry),
             [&fleet]() { fleet.Send(kCrashing, true, kCallTime); });
  }
  fleet.RunUntil(fleet.Now() + std::chrono::minutes(1));
  const int late = LateRetries(fleet, kCrashing);
  std::printf("late retries in a minute %d, seed %llu\n", late,
              static_cast<unsigned long long>(kSeed));
  cr_assert_leq(late, kMostLateRetries);
}

// Guards against a request that crashes an endpoint at each daemon whenever a verdict ends.
Test(crash_fleet, a_request_that_comes_for_long_crashes_hardly_anything) {
  constexpr Fingerprint kCrashing = 500;
  CrashFleet fleet;
  for (int retry = 0; retry < 600; ++retry) {
    fleet.In(std::chrono::seconds(2 * retry),
             [&fleet]() { fleet.Send(kCrashing, true, kCallTime); });
  }
  fleet.RunUntil(fleet.Now() + std::chrono::minutes(20));
  cr_assert_geq(fleet.crashes[kCrashing].size(), 3);
  const int late = LateRetries(fleet, kCrashing);
  std::printf("late retries in 20 minutes %d, seed %llu\n", late,
              static_cast<unsigned long long>(kSeed));
  cr_assert_leq(late, kMostLateRetries);
}
