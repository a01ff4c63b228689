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

/// A run that ended in a crash, in the time of the daemon that counts.
struct CrashedAttempt {
  Fingerprint fingerprint = 0;
  EndpointId endpoint;
  TimePoint started{};
  TimePoint ended{};
};

/// Counts the crashes of the fingerprints whose home this daemon is, and finds the requests that
/// crash each endpoint that runs them. Only crashes in series count: each run began after the crash
/// before was seen. So endpoints that are lost together count once, however many of them ran the
/// same request. A fingerprint that is completed anywhere meanwhile is cleared. Not thread-safe.
class CrashTracker {
 public:
  struct Options {
    /// Crashes in series before the daemons are asked.
    std::size_t crashes = 3;
    /// Time for their answers.
    Duration settle = std::chrono::milliseconds(400);
    /// Differences between the delays of two messages.
    Duration jitter = std::chrono::milliseconds(10);
    /// How long a verdict holds: the first, the second, and each later one. A request that was
    /// blamed wrongly is tried again soon, one that goes on to crash endpoints hardly ever.
    std::array<Duration, 3> blocks = {std::chrono::seconds(30), std::chrono::minutes(5),
                                      std::chrono::hours(1)};
    /// Time after the latest crash or the end of the verdict at which a series is forgotten.
    Duration lifetime = std::chrono::minutes(10);
    std::size_t max_fingerprints = 4096;
  };

  enum class Finding {
    kNothing,
    /// Ask all daemons whether they have completed such a request since `FirstStarted`.
    kQueryCompletion,
    /// The verdict holds; the sender of the report does not know it.
    kQuarantined,
    /// A verdict had ended, and the first run since has crashed its endpoint too.
    kQuarantinedAgain,
  };

  CrashTracker() = default;
  explicit CrashTracker(Options options) : m_options(options) {}

  Finding OnCrash(const CrashedAttempt& run, TimePoint now);
  /// A request with this fingerprint was completed since its first crash. Returns whether that
  /// refutes a verdict.
  bool OnCompleted(Fingerprint fingerprint);
  /// Returns the fingerprints whose inquiry nobody has answered in time, each once.
  std::vector<Fingerprint> TakeNewQuarantines(TimePoint now);
  /// Returns how much longer the verdict holds; zero if there is none.
  Duration RemainingQuarantine(Fingerprint fingerprint, TimePoint now) const;
  /// Start of the first run of a series; nothing if there is none.
  std::optional<TimePoint> FirstStarted(Fingerprint fingerprint) const;
  const Options& GetOptions() const { return m_options; }
  std::size_t Size() const { return m_series.size(); }

 private:
  enum class State { kCounting, kAsked, kQuarantined };

  struct Series {
    State state = State::kCounting;
    TimePoint first_started{};
    TimePoint last_ended{};
    TimePoint asked{};
    TimePoint blocked_until{};
    std::size_t verdicts = 0;
    std::set<EndpointId> endpoints;
  };

  void Block(Series& series, TimePoint now);
  void Forget(TimePoint now);

  Options m_options;
  std::unordered_map<Fingerprint, Series> m_series;
};

}  // namespace fulmarpoint
