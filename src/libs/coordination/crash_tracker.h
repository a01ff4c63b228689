#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "protocol/crash_messages.h"
#include "utils/time.h"

namespace fulmarpoint {

/// An attempt that ended in a crash of its endpoint, on the monotonic clock of the counting daemon.
struct CrashedAttempt {
  /// Of the whole request, or of a part of its prompt.
  Fingerprint fingerprint = 0;
  /// Identifies the endpoint process.
  EndpointId endpoint;
  TimePoint started{};
  TimePoint ended{};
  /// If `fingerprint` is of a part of the prompt: the fingerprint of the whole request, and those
  /// of the other parts.
  std::optional<Fingerprint> request;
  std::vector<Fingerprint> companions;
};

/// Counts crashes for the fingerprints that this daemon owns and detects poison requests, which
/// crash every endpoint that runs them. Only consecutive crashes count: each attempt must have
/// begun after the previous crash was detected. Endpoints that are lost together therefore count
/// once, however many of them ran the same request. A fingerprint that any daemon completes in the
/// meantime is cleared.
///
/// Poison requests may differ in all but one part of their prompt. A part is quarantined only if
/// several requests with it crashed endpoints and no other part explains these crashes: each other
/// part is missing from half of the requests, or was completed elsewhere. If all these requests
/// have other parts in common, only requests with all of them are quarantined: those that lack one
/// go on, and show by their completion or their crashes which part is the cause. Not thread-safe.
class CrashTracker {
 public:
  struct Options {
    /// Consecutive crashes before the completion query.
    std::size_t crash_threshold = 3;
    /// The same for a part of prompts: one more, because more requests share it, so that losses of
    /// failure domains in short succession meet it more often.
    std::size_t part_crash_threshold = 4;
    /// Requests that must have crashed endpoints before a part of their prompts is suspected. A
    /// single one is quarantined as a whole.
    std::size_t part_request_threshold = 2;
    /// Crashes of one request that count for a part of its prompt.
    std::size_t part_crashes_per_request = 2;
    /// Crashes after which a part is quarantined together with the other parts that all the
    /// requests have: one more, because requests of one caller may share all but their last part.
    std::size_t joint_crash_threshold = 5;
    /// Crashes after which a part is quarantined although another one that most of the requests
    /// have may explain them.
    std::size_t part_pair_threshold = 8;
    /// A part is cleared also by completions this long before its first crash, because those of
    /// other requests with it may take longer than a series of crashes.
    Duration part_lookback = std::chrono::seconds(20);
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
    /// Query all daemons whether they have completed such a request since `ClearedSince`.
    kQueryCompletion,
    /// The fingerprint is in quarantine; the sender of the report has not been notified of it.
    kQuarantined,
    /// A quarantine had ended, and the first attempt since then crashed its endpoint too.
    kQuarantinedAgain,
  };

  CrashTracker() = default;
  explicit CrashTracker(Options options) : m_options(options) {}

  Finding OnCrash(const CrashedAttempt& attempt, TimePoint now);
  /// Clears a fingerprint because a request with it completed after its first crash. Other parts of
  /// prompts are no longer explained by it. Returns whether this ends a quarantine.
  bool OnCompleted(Fingerprint fingerprint);
  /// Forgets the crashes of the parts that most of their requests have beside this one, which
  /// proved to be poison and explains them. Returns those that were quarantined.
  std::vector<Fingerprint> OnPoisonFound(Fingerprint fingerprint);
  /// Quarantines the fingerprints whose completion query got no answer in time, and returns them.
  /// Each is returned once. A part whose crashes another part may explain is not quarantined; its
  /// next crash leads to another query.
  std::vector<Fingerprint> TakeNewQuarantines(TimePoint now);
  /// Takes over a quarantine that another daemon has published, so that this daemon may become the
  /// fingerprint's owner: the next crash after it leads to a longer one. Ignored if it is known.
  void OnPublished(const QuarantineRecord& record, TimePoint now);
  /// Forgets a fingerprint whose quarantine another daemon has cleared.
  void OnCleared(Fingerprint fingerprint);
  /// Returns how much longer the quarantine lasts; zero if there is none.
  Duration RemainingQuarantine(Fingerprint fingerprint, TimePoint now) const;
  /// Returns how many quarantines of the fingerprint there were, the current one included.
  std::uint32_t QuarantineCount(Fingerprint fingerprint) const;
  /// Returns the other parts that a request must have to be in this quarantine.
  std::vector<Fingerprint> QuarantineCompanions(Fingerprint fingerprint) const;
  /// Returns the time since which a completion clears the fingerprint: the start of the first of
  /// the consecutive crashing attempts, or earlier for a part; nothing if there is none.
  std::optional<TimePoint> ClearedSince(Fingerprint fingerprint) const;
  /// Returns the fingerprints that a completion query must ask for: this one, and those of other
  /// parts that may explain its crashes.
  std::vector<Fingerprint> QueriedFingerprints(Fingerprint fingerprint) const;
  const Options& GetOptions() const { return m_options; }
  std::size_t Size() const { return m_consecutive_crashes.size(); }

 private:
  enum class State { kCounting, kQuerying, kQuarantined };

  struct ConsecutiveCrashes {
    State state = State::kCounting;
    bool is_part = false;
    TimePoint first_started{};
    TimePoint last_ended{};
    TimePoint queried_at{};
    TimePoint quarantined_until{};
    std::uint32_t quarantine_count = 0;
    std::set<EndpointId> endpoints;
    /// For a part of a prompt: the counted crashes of each request, and how many of the requests
    /// have each other part, without those that have completed since.
    std::map<Fingerprint, std::size_t> requests;
    std::map<Fingerprint, std::size_t> companions;
    /// In a quarantine: the other parts that its requests must have. Later quarantines keep only
    /// those that are common to all series of crashes.
    std::optional<std::set<Fingerprint>> joint_parts;
  };

  void Count(ConsecutiveCrashes& crashes, const CrashedAttempt& attempt);
  bool IsQueryDue(const ConsecutiveCrashes& crashes) const;
  static bool LacksJointPart(const ConsecutiveCrashes& crashes, const CrashedAttempt& attempt);
  static void RestartSeries(ConsecutiveCrashes& crashes);
  static std::set<Fingerprint> CommonParts(const ConsecutiveCrashes& crashes);
  bool IsExplained(const ConsecutiveCrashes& crashes) const;
  static std::vector<Fingerprint> Explanations(const ConsecutiveCrashes& crashes);

  void Quarantine(ConsecutiveCrashes& crashes, TimePoint now);
  void ForgetExpired(TimePoint now);

  Options m_options;
  std::unordered_map<Fingerprint, ConsecutiveCrashes> m_consecutive_crashes;
};

}  // namespace fulmarpoint
