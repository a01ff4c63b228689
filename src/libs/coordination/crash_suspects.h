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
enum class SuspicionState { kFree, kIsolated, kHeld, kQuarantined };

inline constexpr std::array<EnumName<SuspicionState>, 4> kSuspicionStateNames = {{
    {SuspicionState::kFree, "free"},
    {SuspicionState::kIsolated, "isolated"},
    {SuspicionState::kHeld, "held"},
    {SuspicionState::kQuarantined, "blocked"},
}};

/// A request was sent to an endpoint. `run` identifies this run, not the request.
struct AttemptStarted {
  std::uint64_t run = 0;
  Fingerprint fingerprint = 0;
  EndpointId endpoint;
  std::uint64_t incarnation = 0;
};

/// How a run ended.
enum class AttemptEnd {
  /// The endpoint sent a complete answer of any kind.
  kCompleted,
  /// This daemon or the caller ended it.
  kCancelled,
  /// The connection broke or fell silent.
  kLost,
};

struct AttemptEnded {
  std::uint64_t run = 0;
  AttemptEnd end = AttemptEnd::kCompleted;
};

/// The process is gone: it refused a connection, or reports a new incarnation.
struct EndpointProcessLost {
  EndpointId endpoint;
  std::uint64_t incarnation = 0;
};

/// The caller continues a generation whose event id names the endpoint that ran it last. Connects a
/// crash with its request although the daemon that ran it is gone or partitioned. If the
/// incarnation is not known (0), the crash is the endpoint's latest, shortly before or after the
/// claim.
struct PriorAttemptReported {
  Fingerprint fingerprint = 0;
  EndpointId endpoint;
  std::uint64_t incarnation = 0;
};

/// The process answered, so that runs lost there were lost with their connection.
struct EndpointProcessAlive {
  EndpointId endpoint;
  std::uint64_t incarnation = 0;
};

struct SuspectGossipReceived {
  SuspectGossip message;
};

/// A daemon joined or can be reached again: everything known is published once more.
struct SuspectPeerReturned {};

/// Raise once a second.
struct SuspectTimerFired {};

/// Send to all peers at once: a caller may already be repeating the request elsewhere.
struct PublishSuspectGossip {
  SuspectGossip message;
};

/// The state of a fingerprint changed. If it is blocked, its waiting runs are refused with
/// `kCrashesEndpoints`; otherwise they ask again.
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
  /// Time after a suspect's second crash in which it neither runs nor is refused, so that the
  /// notices of all daemons arrive before one fingerprint is blamed and its caller is told.
  Duration settle = std::chrono::seconds(1);
  /// A suspect waits this long for an endpoint that this daemon owns before it uses another, where
  /// a suspect of another daemon might be placed at the same moment.
  Duration wait_for_owned = std::chrono::milliseconds(500);
  Duration forget_suspect_after = std::chrono::minutes(10);
  Duration forget_blocked_after = std::chrono::hours(6);
  /// A peer's placement is forgotten after this long unless it is repeated.
  Duration placement_lifetime = std::chrono::seconds(90);
  std::size_t max_entries = 4096;
};

/// Finds the request that crashes endpoints and keeps it from running a third time. Every crash is
/// recorded for all fingerprints that ran there. A fingerprint with one crash runs apart from other
/// suspects; the only one present at a second confirmed crash is blocked, and its crashes no longer
/// count against others. A completed run clears a fingerprint. Not thread-safe.
class CrashSuspects {
 public:
  using Actions = std::vector<CrashSuspectsAction>;

  explicit CrashSuspects(CrashSuspectsSettings settings = {}) : m_settings(settings) {}

  void Handle(const CrashSuspectsEvent& event, TimePoint now, Actions& actions);

  SuspicionState State(Fingerprint fingerprint) const;

  /// Whether a run may be sent to `endpoint` now. `owned`: this daemon owns the endpoint's credits.
  /// `waited`: time since the run was first ready to be sent.
  bool MayRunAt(Fingerprint fingerprint, const EndpointId& endpoint, bool owned, Duration waited,
                TimePoint now) const;

  std::size_t Size() const { return m_entries.size(); }

 private:
  struct Entry {
    std::map<CrashId, TimePoint> crashes;
    std::set<CrashId> cleared;
    bool blocked = false;
    SuspicionState announced = SuspicionState::kFree;
    TimePoint changed{};
    TimePoint assessed{};
  };
  struct Run {
    Fingerprint fingerprint = 0;
    EndpointId endpoint;
    std::uint64_t incarnation = 0;
    /// When the placement was last published; nothing for runs that were not suspect.
    std::optional<TimePoint> placement_published;
  };
  struct LostAttempt {
    Fingerprint fingerprint = 0;
    TimePoint at{};
  };
  struct Claim {
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
    bool refuted = false;
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
  std::vector<CrashId> Counted(Fingerprint fingerprint, const Entry& entry) const;
  bool WasAlone(Fingerprint fingerprint, const std::vector<CrashId>& counted) const;
  std::size_t ConfirmedCrashes(const Entry& entry) const;
  void Attribute(Fingerprint fingerprint, Entry& entry, TimePoint now);
  void Reassess(TimePoint now, SuspectGossip& message, Actions& actions);
  void Block(Fingerprint fingerprint, Entry& entry, TimePoint now, SuspectGossip& message);
  void Forget(TimePoint now);
  SuspectUpdate UpdateFor(Fingerprint fingerprint, const Entry& entry) const;
  void Publish(const SuspectGossip& message, Actions& actions) const;

  CrashSuspectsSettings m_settings;
  std::unordered_map<Fingerprint, Entry> m_entries;
  std::unordered_map<CrashId, Crash> m_crashes;
  /// Crashes for which a blocked fingerprint is responsible.
  std::unordered_map<CrashId, Fingerprint> m_attributed;
  std::unordered_map<std::uint64_t, Run> m_runs;
  /// Runs that ended with their connection lately, by the crash that may have been the reason.
  std::unordered_map<CrashId, std::vector<LostAttempt>> m_lost;
  /// Latest proved crash of each endpoint, and claims for which there was none yet.
  std::unordered_map<EndpointId, LatestCrash> m_latest_crashes;
  std::vector<Claim> m_claims;
  /// Placements of suspects by peers.
  std::unordered_map<Fingerprint, Placement> m_peer_placements;
};

}  // namespace fulmarpoint
