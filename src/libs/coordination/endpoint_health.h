#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "protocol/identifiers.h"
#include "utils/enum_names.h"
#include "utils/time.h"

namespace fulmarpoint {

/// State of an endpoint as observed by this daemon.
enum class EndpointState { kLive, kSuspect, kFailed, kLeaving };

inline constexpr std::array<EnumName<EndpointState>, 4> kEndpointStateNames = {{
    {EndpointState::kLive, "live"},
    {EndpointState::kSuspect, "suspect"},
    {EndpointState::kFailed, "failed"},
    {EndpointState::kLeaving, "leaving"},
}};

/// Result of one request or connection attempt at an endpoint.
enum class EndpointOutcomeKind { kSuccess, kFailure, kRefusedLeaving };

/// The platform's instance list contains an endpoint. `group` identifies endpoints whose speed is
/// compared, usually those of one service.
struct EndpointListed {
  EndpointId endpoint;
  std::string group;
  bool leaving = false;
};

/// The platform's instance list no longer contains the endpoint. It counts as leaving. If it is
/// still missing after `forget_unlisted_after`, the next event of this type removes it.
struct EndpointUnlisted {
  EndpointId endpoint;
};

/// The endpoint answered GET /v1/load.
struct EndpointLoadReported {
  EndpointId endpoint;
  std::uint64_t incarnation = 0;
  int slots = 0;
  int active = 0;
  int queued = 0;
  bool leaving = false;
  /// Mean time between tokens; zero if the endpoint does not report it.
  Duration token_interval{};
};

/// A request or connection attempt ended. `latency` is the time to the first byte or the mean time
/// between tokens, the same measure for all endpoints of a group; zero if not measured.
struct EndpointOutcome {
  EndpointId endpoint;
  EndpointOutcomeKind kind = EndpointOutcomeKind::kSuccess;
  Duration latency{};
};

/// A peer reported that this incarnation is leaving.
struct PeerReportedLeaving {
  EndpointId endpoint;
  std::uint64_t incarnation = 0;
};

/// Notify the peers that this incarnation is leaving.
struct PublishEndpointLeaving {
  EndpointId endpoint;
  std::uint64_t incarnation = 0;
};

struct EndpointStateChanged {
  EndpointId endpoint;
  EndpointState from = EndpointState::kLive;
  EndpointState to = EndpointState::kLive;
  std::string reason;
};

/// The endpoint's process was replaced without announcing that it was leaving.
struct EndpointCrashed {
  EndpointId endpoint;
  std::uint64_t lost_incarnation = 0;
};

using EndpointHealthEvent = std::variant<EndpointListed, EndpointUnlisted, EndpointLoadReported,
                                         EndpointOutcome, PeerReportedLeaving>;
using EndpointHealthAction =
    std::variant<PublishEndpointLeaving, EndpointStateChanged, EndpointCrashed>;

struct EndpointHealthSettings {
  int failures_until_failed = 3;
  Duration first_backoff = std::chrono::milliseconds(500);
  Duration longest_backoff = std::chrono::seconds(30);
  /// An endpoint whose last report is older than this gets no new work. Below the 5 s within which
  /// new work for a leaving endpoint must stop, so that missing reports cannot hide that it is
  /// leaving.
  Duration report_age_limit = std::chrono::seconds(4);
  /// An endpoint slower than the median of its group by this factor gets only trial requests.
  double suspect_slowness_factor = 3.0;
  Duration forget_unlisted_after = std::chrono::minutes(1);
};

/// State of one endpoint for the router.
struct EndpointHealthView {
  EndpointState state = EndpointState::kLive;
  std::uint64_t incarnation = 0;
  int slots = 0;
  int active = 0;
  int queued = 0;
  bool reported = false;
  TimePoint last_report{};
  /// 1 for an endpoint at the median speed of its group or faster, down to 0.05 for a slow one.
  double speed_weight = 1.0;
  /// A suspect or failed endpoint may get one trial request now, see `BeginTrial`.
  bool trial_due = false;
};

/// Decides which endpoints may receive new work. Once an incarnation is leaving, it stays so,
/// whichever signal came first, so that a stale list or a delayed report cannot revert it. Not
/// thread-safe.
class EndpointHealth {
 public:
  explicit EndpointHealth(EndpointHealthSettings settings = {}) : m_settings(settings) {}

  void Handle(const EndpointHealthEvent& event, TimePoint now,
              std::vector<EndpointHealthAction>& actions);

  /// Returns `std::nullopt` for an unknown endpoint.
  std::optional<EndpointHealthView> View(const EndpointId& endpoint, TimePoint now) const;

  /// Must be called when the router chose `endpoint` for a trial. The next trial is due after the
  /// trial's outcome or the backoff. Returns false if no trial is due.
  bool BeginTrial(const EndpointId& endpoint, TimePoint now);

  std::vector<EndpointId> Endpoints() const;

 private:
  struct Entry {
    EndpointHealthView view;
    std::string group;
    bool listed_leaving = false;
    bool unlisted = false;
    TimePoint unlisted_at{};
    int failures = 0;
    Duration backoff{};
    TimePoint next_trial{};
    /// Exponentially weighted mean, in microseconds, of the latencies of requests and of the token
    /// intervals in load reports; 0 before the first sample.
    double latency_mean = 0.0;
  };
  using Actions = std::vector<EndpointHealthAction>;

  void On(const EndpointListed& event, TimePoint now, Actions& actions);
  void On(const EndpointUnlisted& event, TimePoint now, Actions& actions);
  void On(const EndpointLoadReported& event, TimePoint now, Actions& actions);
  void On(const EndpointOutcome& event, TimePoint now, Actions& actions);
  void On(const PeerReportedLeaving& event, TimePoint now, Actions& actions);

  void SetState(const EndpointId& id, Entry& entry, EndpointState state, const char* reason,
                Actions& actions);
  void MarkLeaving(const EndpointId& id, Entry& entry, const char* reason, bool publish,
                   Actions& actions);
  void StartIncarnation(const EndpointId& id, Entry& entry, const EndpointLoadReported& report,
                        Actions& actions);
  void OnFailure(const EndpointId& id, Entry& entry, TimePoint now, Actions& actions);
  void OnSuccess(const EndpointId& id, Entry& entry, TimePoint now, Actions& actions);
  void AddLatency(Entry& entry, Duration latency);
  void BackOff(Entry& entry, TimePoint now);
  double Slowness(const Entry& entry) const;
  bool ReportIsFresh(const Entry& entry, TimePoint now) const;

  EndpointHealthSettings m_settings;
  std::map<EndpointId, Entry> m_entries;
};

}  // namespace fulmarpoint
