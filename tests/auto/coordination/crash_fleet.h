#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "coordination/crash_tracker.h"
#include "coordination/lost_attempts.h"
#include "coordination/peer_directory.h"
#include "coordination/recent_fingerprints.h"
#include "protocol/crash_messages.h"
#include "utils/random.h"

namespace fulmarpoint {

inline constexpr std::uint64_t kSeed = 4127;
inline constexpr std::uint64_t kPartSeeds = 5;
inline constexpr int kDomains = 6;
inline constexpr Duration kCallTime = std::chrono::milliseconds(60);
inline constexpr int kMaxLateRetries = 3;
inline constexpr double kMaxRejectedShare = 1.0 / 500;

/// Simulates, in virtual time, how a fleet of daemons handles requests that crash endpoints.
/// Messages take up to 5 ms and some are lost. Endpoints are lost with their failure domain or
/// because of a request that they run.
class CrashFleet {
 public:
  explicit CrashFleet(std::uint64_t seed = kSeed);

  struct Request {
    Fingerprint fingerprint = 0;
    std::vector<Fingerprint> parts;
    bool crashes = false;
    /// Time until the request completes or crashes its endpoint.
    Duration length{};
    /// Time until the first event; none for calls.
    std::optional<Duration> first_event;
    int daemon = 0;
    int attempts = 0;
  };

  void Send(Fingerprint fingerprint, bool crashes, Duration length);
  void Send(Request request);
  void CrashDomain(int domain);
  void RunUntil(TimePoint end);
  void In(Duration delay, std::function<void()> step);
  TimePoint Now() const { return m_now; }
  Random& Generator() { return m_random; }

  /// Harmless requests that were sent, that were rejected, and that ended because a later attempt
  /// was.
  int sent = 0;
  int rejected = 0;
  int interrupted = 0;
  int quarantines = 0;
  int cleared = 0;
  int queries = 0;
  /// By crashing request: when each retry of the caller reached its first endpoint, and the times
  /// of the crashes.
  std::map<Fingerprint, std::vector<TimePoint>> crashing_requests;
  std::map<Fingerprint, std::vector<TimePoint>> crashes;
  /// When attempts with the poison part reached endpoints, and when these crashed.
  std::vector<TimePoint> part_attempts;
  std::vector<TimePoint> part_crashes;

 private:
  struct Quarantined {
    TimePoint until{};
    /// The parts that a request must have too.
    std::vector<Fingerprint> companions;
  };
  struct Daemon {
    RecentFingerprints completed{std::chrono::minutes(1), 4096};
    std::map<Fingerprint, Quarantined> quarantined;
    CrashTracker tracker;
  };
  struct Attempt {
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

  int RandomBelow(int limit) { return std::uniform_int_distribution<int>(0, limit - 1)(m_random); }
  void SendMessage(std::function<void()> arrive);
  void StartAttempt(Request request);
  void OnAttemptDue(int endpoint, int attempt);
  void OnSurvived(const Request& request);
  void Crash(int endpoint);
  void Report(const Attempt& attempt, int endpoint, TimePoint ended);
  void ReportFingerprint(Fingerprint fingerprint, const Request& request, CrashedAttempt attempt);
  void CountCrash(int owner, const CrashedAttempt& attempt, int sender);
  void QueryCompletion(int owner, Fingerprint fingerprint);
  void AnnounceQuarantine(int owner, Fingerprint fingerprint);
  QuarantineUpdate QuarantineOf(int owner, Fingerprint fingerprint) const;
  void NotifyAll(const QuarantineUpdate& update);
  void Quarantine(int daemon, const QuarantineUpdate& update);
  void EndQuarantine(int owner, Fingerprint fingerprint);
  bool IsQuarantined(const Daemon& daemon, Fingerprint fingerprint) const;
  bool IsQuarantined(const Request& request) const;
  static std::vector<Fingerprint> FingerprintsOf(const Request& request);
  void OnCompleted(int owner, Fingerprint fingerprint);
  int OwnerIndex(Fingerprint fingerprint, int daemon) const;

  Random m_random;
  TimePoint m_now{std::chrono::hours(1)};
  int m_order = 0;
  std::priority_queue<Step> m_steps;
  std::vector<PeerRecord> m_records;
  std::vector<Daemon> m_daemons;
  std::vector<TimePoint> m_down_until;
  /// Attempts in progress at each endpoint, by number.
  std::vector<std::map<int, Attempt>> m_attempts;
  int m_last_attempt = 0;
};

/// Returns a stream that shares one part of its prompt with others and has one of its own.
CrashFleet::Request MakeStream(CrashFleet& fleet, Fingerprint fingerprint);

/// Sends requests for `length`: popular calls that share fingerprints, and streams that do not.
void SendTraffic(CrashFleet& fleet, Duration length, Fingerprint& next_stream);

/// Returns the number of retries that reach an endpoint more than 4 s after the third crash.
int LateRetries(CrashFleet& fleet, Fingerprint fingerprint);

struct PoisonedPartCase {
  /// Share of the streams that have the poison part.
  double share = 0.0;
  Duration interval{};
  bool loses_domains = false;
  /// Every request with the poison part has the same second part.
  bool has_constant_companion = false;
  /// When harmless streams begin to have that second part too; never if it is nothing.
  std::optional<Duration> harmless_companions_from;
  /// How long a request with the poison part waits at an endpoint and runs before it crashes it.
  Duration time_to_crash = std::chrono::milliseconds(800);
  /// Attempts that begin later than this after the fifth crash are late.
  Duration grace_period = std::chrono::seconds(4);
};

/// Sends streams for 30 s, of which some have a poison part beside parts of harmless ones. Returns
/// how many of these reach endpoints after the grace period.
int LateAttemptsWithPoisonPart(CrashFleet& fleet, const PoisonedPartCase& test_case);

}  // namespace fulmarpoint
