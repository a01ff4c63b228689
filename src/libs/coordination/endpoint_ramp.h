#pragma once

#include <array>
#include <cstddef>
#include <optional>

#include "utils/enum_names.h"
#include "utils/time.h"

namespace fulmarpoint {

/// State of an endpoint with respect to its load after a start or a recovery.
enum class RampPhase { kSteady, kRamping, kFailed };

inline constexpr std::array<EnumName<RampPhase>, 3> kRampPhaseNames = {{
    {RampPhase::kSteady, "steady"},
    {RampPhase::kRamping, "ramping"},
    {RampPhase::kFailed, "failed"},
}};

/// What the limit of one daemon depends on besides the endpoint's replies.
struct RampConditions {
  /// Concurrent requests that the endpoint can process.
  int slots = 1;
  /// Daemons that use the endpoint mostly, this one included.
  std::size_t near_daemons = 1;
  /// False if this daemon mostly uses other endpoints.
  bool is_near = true;
  /// Share of the service's endpoints that have just started or recovered, this one included.
  double returned_share = 0.0;
};

/// Limits the requests of one daemon that may be in progress at one endpoint which has just started
/// or recovered from failures. The limit starts at one request, grows with each good reply and is
/// halved by each slow one. Not thread-safe.
class EndpointRamp {
 public:
  struct Options {
    /// A reply is slow if it took this many times as long as usual. Above the factor by which the
    /// machines of a service differ, so that an idle slow machine gets work.
    double slow_ratio = 2.0;
    /// The ramp ends after this time if at least half of the replies in it were good, or else with
    /// the first good one if there was none. Otherwise the next replies are judged over the same
    /// time. Single slow replies are normal at any endpoint.
    Duration judgement_time = std::chrono::seconds(2);
    /// The ramp ends after this time unless the endpoint fails: placement by measured pace covers
    /// an endpoint that stays slow.
    Duration longest_time = std::chrono::seconds(10);
    /// Daemons that mostly use other endpoints send nothing for this long after a start.
    Duration far_delay = std::chrono::seconds(2);
    /// Time from a failure to the first probe request; doubles with each failed probe.
    Duration first_probe_delay = std::chrono::milliseconds(200);
    Duration max_probe_delay = std::chrono::milliseconds(1600);
    /// A probe without a result, for example because its caller left, delays the next one for this
    /// long.
    Duration probe_timeout = std::chrono::seconds(2);
    /// The limits do not apply while a larger share of the endpoints has just returned: the others
    /// cannot serve the callers, and an idle endpoint is worse for them than a slow one.
    double max_returned_share = 0.5;
  };

  EndpointRamp() = default;
  explicit EndpointRamp(Options options) : m_options(options) {}

  /// The endpoint is a new process. Earlier replies say nothing about it.
  void OnStarted(TimePoint now);
  /// This daemon sent the endpoint a request.
  void OnSent(TimePoint now);
  /// The first event or the reply of a request arrived and took `ratio` times as long as usual for
  /// the service.
  void OnReply(double ratio, TimePoint now);
  /// The endpoint did not execute a request because it is full.
  void OnRejected(TimePoint now);
  /// A request failed: the connection broke, the endpoint stalled or its reply was an error.
  void OnFailed(TimePoint now);

  RampPhase Phase(TimePoint now) const;
  /// Returns whether the endpoint started, failed or recovered recently. An endpoint that this
  /// daemon does not use is not counted for longer, although it stays in its phase.
  bool HasReturnedRecently(TimePoint now) const;
  /// Returns how many requests of this daemon may be in progress at the endpoint; nothing if they
  /// are not limited.
  std::optional<int> Limit(const RampConditions& conditions, TimePoint now) const;
  /// Returns whether the endpoint has failed and may be sent a single request.
  bool MayProbe(TimePoint now) const;
  /// Returns whether the endpoint may be sent another request while `in_progress` requests of this
  /// daemon are in progress there. Requests sent before a failure do not delay the probe after it.
  bool MayTake(int in_progress, const RampConditions& conditions, TimePoint now) const;

 private:
  bool IsRampOver(TimePoint now) const;
  bool WasUntried(TimePoint now) const;
  bool IsProbeInProgress(TimePoint now) const;
  void StartRamp(TimePoint now);
  void StartJudgement(TimePoint now);
  void ReduceLimit();
  Duration ProbeDelay() const;

  Options m_options;
  /// The phase as of the latest event. A ramp may have ended since.
  RampPhase m_phase = RampPhase::kSteady;
  int m_limit = 1;
  TimePoint m_started_at{};
  /// Start of the time over which replies are judged, and the replies in it.
  TimePoint m_judged_since{};
  int m_good_replies = 0;
  int m_slow_replies = 0;
  /// First request after the start.
  std::optional<TimePoint> m_first_sent_at;
  /// False for a new process that this daemon has had no reply from.
  bool m_has_reply = false;
  TimePoint m_failed_at{};
  /// Failures without a completed ramp between them.
  int m_failures = 0;
  TimePoint m_next_probe_at{};
  std::optional<TimePoint> m_probe_sent_at;
};

}  // namespace fulmarpoint
