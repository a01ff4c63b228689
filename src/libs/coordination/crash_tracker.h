#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "protocol/suspect_messages.h"
#include "utils/time.h"

namespace fulmarpoint {

/// An attempt that ended in a crash of its endpoint, on the monotonic clock of the counting daemon.
struct CrashedAttempt {
  Fingerprint fingerprint = 0;
  EndpointId endpoint;
  TimePoint started{};
  TimePoint ended{};
};

/// Counts crashes for the fingerprints that this daemon owns and detects poison requests, which
/// crash every endpoint that runs them. Only consecutive crashes count: each attempt must have
/// begun after the previous crash was detected. Endpoints that are lost together therefore count
/// once, however many of them ran the same request. A fingerprint that any daemon completes in the
/// meantime is cleared. Not thread-safe.
class CrashTracker {
 public:
  struct Options {
    /// Consecutive crashes before the completion query.
    std::size_t crash_threshold = 3;
    /// How long the other daemons have to answer the completion query.
    Duration answer_timeout = std::chrono::milliseconds(400);
    /// Tolerated difference between the delays of two messages.
    Duration jitter = std::chrono::milliseconds(10);
    /// Durations of the first, the second and every later quarantine. A request that was
    /// quarantined by mistake is retried soon; one that keeps crashing endpoints hardly ever runs.
    std::array<Duration, 3> quarantine_durations = {std::chrono::seconds(30),
                                                    std::chrono::minutes(5), std::chrono::hours(1)};
    /// A fingerprint is forgotten this long after its latest crash or the end of its quarantine.
    Duration lifetime = std::chrono::minutes(10);
    std::size_t max_fingerprints = 4096;
  };

  enum class Finding {
    kNothing,
    /// Query all daemons whether they have completed such a request since `FirstStarted`.
    kQueryCompletion,
    /// The fingerprint is in quarantine; the sender of the report has not been notified of it.
    kQuarantined,
    /// A quarantine had ended, and the first attempt since then crashed its endpoint too.
    kQuarantinedAgain,
  };

  CrashTracker() = default;
  explicit CrashTracker(Options options) : m_options(options) {}

  Finding OnCrash(const CrashedAttempt& attempt, TimePoint now);
  /// Clears a fingerprint because a request with it completed after its first crash. Returns
  /// whether this ends a quarantine.
  bool OnCompleted(Fingerprint fingerprint);
  /// Quarantines the fingerprints whose completion query got no answer in time, and returns them.
  /// Each is returned once.
  std::vector<Fingerprint> TakeNewQuarantines(TimePoint now);
  /// Returns how much longer the quarantine lasts; zero if there is none.
  Duration RemainingQuarantine(Fingerprint fingerprint, TimePoint now) const;
  /// Returns the start of the first of the consecutive crashing attempts; nothing if there is none.
  std::optional<TimePoint> FirstStarted(Fingerprint fingerprint) const;
  const Options& GetOptions() const { return m_options; }
  std::size_t Size() const { return m_consecutive_crashes.size(); }

 private:
  enum class State { kCounting, kQuerying, kQuarantined };

  struct ConsecutiveCrashes {
    State state = State::kCounting;
    TimePoint first_started{};
    TimePoint last_ended{};
    TimePoint queried_at{};
    TimePoint quarantined_until{};
    std::size_t quarantine_count = 0;
    std::set<EndpointId> endpoints;
  };

  void Quarantine(ConsecutiveCrashes& crashes, TimePoint now);
  void ForgetExpired(TimePoint now);

  Options m_options;
  std::unordered_map<Fingerprint, ConsecutiveCrashes> m_consecutive_crashes;
};

}  // namespace fulmarpoint
