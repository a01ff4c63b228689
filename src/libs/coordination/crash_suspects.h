#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

#include "protocol/identifiers.h"
#include "protocol/suspect_messages.h"
#include "utils/enum_names.h"
#include "utils/time.h"

namespace fulmarpoint {

/// How requests with one fingerprint may run.
enum class SuspicionState {
  /// Not suspected of crashing endpoints.
  kFree,
  /// Runs, but neither at the same time as another request with this fingerprint nor at the same
  /// endpoint as another suspect.
  kIsolated,
  /// Waits for the decision that follows its second crash.
  kHeld,
  /// In quarantine: rejected.
  kQuarantined,
};

inline constexpr std::array<EnumName<SuspicionState>, 4> kSuspicionStateNames = {{
    {SuspicionState::kFree, "free"},
    {SuspicionState::kIsolated, "isolated"},
    {SuspicionState::kHeld, "held"},
    {SuspicionState::kQuarantined, "blocked"},
}};

/// A request was sent to an endpoint. `attempt` identifies this attempt, not the request.
struct AttemptStarted {
  std::uint64_t attempt = 0;
  Fingerprint fingerprint = 0;
  EndpointId endpoint;
  std::uint64_t incarnation = 0;
};

/// How an attempt ended.
enum class AttemptEnd {
  /// The endpoint sent a complete answer of any kind.
  kCompleted,
  /// This daemon or the caller ended it.
  kCancelled,
  /// The connection broke or stalled.
  kLost,
};

struct AttemptEnded {
  std::uint64_t attempt = 0;
  AttemptEnd end = AttemptEnd::kCompleted;
};

/// The endpoint's process is gone: its address refused a connection or reports a new incarnation.
struct EndpointProcessLost {
  EndpointId endpoint;
  std::uint64_t incarnation = 0;
};

/// The caller resumes a generation, and its event id names the endpoint that ran it last.
/// Attributes a crash to its request even if the daemon that relayed it is gone or partitioned. If
/// the incarnation is unknown (0), this is the endpoint's latest crash, which may be detected
/// shortly before or after this event.
struct PriorAttemptReported {
  Fingerprint fingerprint = 0;
  EndpointId endpoint;
  std::uint64_t incarnation = 0;
};

/// The endpoint's process answered: attempts were lost there because of their connections only.
struct EndpointProcessAlive {
  EndpointId endpoint;
  std::uint64_t incarnation = 0;
};

struct SuspectGossipReceived {
  SuspectGossip message;
};

/// A daemon joined or became reachable again. All crashes, suspects and placements are published
/// again.
struct SuspectPeerReturned {};

/// Send once a second.
struct SuspectTimerFired {};

/// Send to all peers at once: a caller may already be retrying the request at another daemon.
struct PublishSuspectGossip {
  SuspectGossip message;
};

/// The state of a fingerprint changed. If it is in quarantine, reject its waiting requests with
/// `kCrashesEndpoints`; otherwise check `MayRunAt` for them again.
struct SuspicionChanged {
  Fingerprint fingerprint = 0;
  SuspicionState state = SuspicionState::kFree;
};

using CrashSuspectsEvent =
    std::variant<AttemptStarted, AttemptEnded, EndpointProcessLost, EndpointProcessAlive,
                 PriorAttemptReported, SuspectGossipReceived, SuspectPeerReturned,
                 SuspectTimerFired>;
using CrashSuspectsAction = std::variant<PublishSuspectGossip, SuspicionChanged>;

struct CrashSuspectsSettings {
  /// How long a suspect is held after its second crash, neither run nor rejected, so that the
  /// messages of all daemons arrive before a crash is attributed to one fingerprint.
  Duration settle_time = std::chrono::seconds(1);
  /// How long a suspect waits for an endpoint whose credits this daemon owns. At other endpoints,
  /// another daemon might place a suspect at the same time.
  Duration owned_endpoint_wait = std::chrono::milliseconds(500);
  Duration forget_suspect_after = std::chrono::minutes(10);
  Duration forget_quarantined_after = std::chrono::hours(6);
  /// A peer's placement expires after this long unless the peer publishes it again.
  Duration placement_lifetime = std::chrono::seconds(90);
  std::size_t max_entries = 4096;
};

/// Detects poison requests and keeps them from running a third time. Every crash is recorded for
/// all fingerprints that ran at the endpoint. A fingerprint with one crash is isolated from other
/// suspects. If it is the only one present at a second confirmed crash, it is quarantined and its
/// crashes no longer count against others. A completed attempt clears a fingerprint. Not
/// thread-safe.
class CrashSuspects {
 public:
  using Actions = std::vector<CrashSuspectsAction>;

  explicit CrashSuspects(CrashSuspectsSettings settings = {}) : m_settings(settings) {}

  void Handle(const CrashSuspectsEvent& event, TimePoint now, Actions& actions);

  SuspicionState State(Fingerprint fingerprint) const;

  /// Returns whether a request may be sent to `endpoint` now. `owned`: this daemon owns the
  /// endpoint's credits. `waited`: time since the request was first ready to be sent.
  bool MayRunAt(Fingerprint fingerprint, const EndpointId& endpoint, bool owned, Duration waited,
                TimePoint now) const;

  std::size_t Size() const { return m_entries.size(); }

 private:
  struct Entry {
    std::map<CrashId, TimePoint> crashes;
    std::set<CrashId> cleared;
    bool quarantined = false;
    SuspicionState reported_state = SuspicionState::kFree;
    TimePoint changed{};
    TimePoint assessed_at{};
  };
  struct Attempt {
    Fingerprint fingerprint = 0;
    EndpointId endpoint;
    std::uint64_t incarnation = 0;
    /// When the placement was last published; nothing if the fingerprint was not suspect.
    std::optional<TimePoint> placement_published;
  };
  struct LostAttempt {
    Fingerprint fingerprint = 0;
    TimePoint at{};
  };
  struct UnmatchedReport {
    Fingerprint fingerprint = 0;
    EndpointId endpoint;
    TimePoint at{};
  };
  struct LatestCrash {
    CrashId crash = 0;
    TimePoint at{};
  };
  struct Crash {
    bool confirmed = false;
    bool ruled_out = false;
    TimePoint seen{};
  };
  struct Placement {
    std::uint64_t endpoint = 0;
    TimePoint until{};
  };

  void On(const AttemptStarted& event, TimePoint now, Actions& actions);
  void On(const AttemptEnded& event, TimePoint now, Actions& actions);
  void On(const EndpointProcessLost& event, TimePoint now, Actions& actions);
  void On(const EndpointProcessAlive& event, TimePoint now, Actions& actions);
  void On(const PriorAttemptReported& event, TimePoint now, Actions& actions);
  void On(const SuspectGossipReceived& event, TimePoint now, Actions& actions);
  void On(const SuspectPeerReturned& event, TimePoint now, Actions& actions);
  void On(const SuspectTimerFired& event, TimePoint now, Actions& actions);

  bool AddCrash(Fingerprint fingerprint, CrashId crash, TimePoint now);
  void ClearFingerprint(Fingerprint fingerprint, TimePoint now, SuspectGossip& message);
  bool Merge(const SuspectUpdate& update, TimePoint now);
  std::vector<CrashId> CountedCrashes(Fingerprint fingerprint, const Entry& entry) const;
  bool IsOnlyCommonSuspect(Fingerprint fingerprint, const std::vector<CrashId>& counted) const;
  std::size_t ConfirmedCrashes(const Entry& entry) const;
  void Attribute(Fingerprint fingerprint, Entry& entry, TimePoint now);
  void Reassess(TimePoint now, SuspectGossip& message, Actions& actions);
  void Quarantine(Fingerprint fingerprint, Entry& entry, TimePoint now, SuspectGossip& message);
  void ForgetExpired(TimePoint now);
  SuspectUpdate UpdateFor(Fingerprint fingerprint, const Entry& entry) const;
  void Publish(const SuspectGossip& message, Actions& actions) const;

  CrashSuspectsSettings m_settings;
  std::unordered_map<Fingerprint, Entry> m_entries;
  std::unordered_map<CrashId, Crash> m_crashes;
  /// Crashes that are attributed to a quarantined fingerprint.
  std::unordered_map<CrashId, Fingerprint> m_attributed;
  std::unordered_map<std::uint64_t, Attempt> m_attempts;
  /// Attempts that recently lost their connection, by the crash that may have caused it.
  std::unordered_map<CrashId, std::vector<LostAttempt>> m_lost_attempts;
  /// Latest confirmed crash of each endpoint, and reported attempts that match none yet.
  std::unordered_map<EndpointId, LatestCrash> m_latest_crashes;
  std::vector<UnmatchedReport> m_unmatched_reports;
  /// Placements of suspects by peers.
  std::unordered_map<Fingerprint, Placement> m_peer_placements;
};

}  // namespace fulmarpoint
