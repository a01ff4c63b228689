#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "utils/time.h"

namespace fulmarpoint {

/// What to do with an event of a stream.
enum class EventDisposition {
  kDeliver,
  /// The caller has it already.
  kDuplicate,
  /// An event before it is missing, or it belongs to no stream: the run must not be delivered
  /// further.
  kGap,
};

/// What to do about a run that is silent.
enum class StallDecision { kWait, kProbe, kAbandon };

/// Decides for one relayed stream which events the caller gets, and when a silent run is given up.
/// Not thread-safe.
class StreamContinuation {
 public:
  struct Limits {
    /// Objective for the first event and for the pause between events.
    Duration latency_objective{};
    Duration event_gap_objective{};
    /// Endpoints on which the stream may run.
    int max_runs = 1;
    bool can_resume = false;
  };

  /// `last_event` is the event after which the caller resumes.
  StreamContinuation(const Limits& limits, std::optional<std::uint64_t> last_event);

  /// How a run begins.
  struct RunStart {
    /// The endpoint holds a copy of the run's memory and needs to read little.
    bool from_copy = false;
    /// When the first event is expected, if anything is known about it.
    std::optional<Duration> expected_first;
    /// When the first event of another run would be expected after its start.
    std::optional<Duration> expected_elsewhere;
  };

  void OnAttemptStarted(const RunStart& start, TimePoint now);
  /// The endpoint refused the run before it began.
  void OnAttemptRejected();
  EventDisposition OnEvent(std::uint64_t id, TimePoint now);
  /// An event without a number came. More than some bytes of them in a row are no part of a stream.
  EventDisposition OnUnnumberedEvent(std::size_t bytes);
  /// The endpoint accepted a new connection while the run was silent.
  void OnProbeAnswered(TimePoint now);

  /// What is known besides the silence.
  struct StallContext {
    /// Other requests have lately failed at the endpoint or near it.
    bool suspected = false;
    /// Another endpoint holds a copy of the run's memory, so that the run can go on there at once.
    bool has_copy = false;
  };

  /// Judges the silence since the last event or the start of the run.
  StallDecision CheckStall(const StallContext& circumstances, TimePoint now) const;
  /// Returns when to call `CheckStall` again if nothing happens.
  TimePoint NextStallCheck(TimePoint now) const;

  /// Returns whether another run may be started after the current one.
  bool MayStartAttempt() const { return m_runs < m_limits.max_runs; }
  /// Returns whether a later run may continue what was delivered.
  bool MayContinue() const { return !m_delivered || m_limits.can_resume; }
  bool HasDelivered() const { return m_delivered; }
  /// Returns the event after which the next run begins.
  std::optional<std::uint64_t> LastEvent() const { return m_last_event; }
  int Attempts() const { return m_runs; }
  /// Returns the longest pause between two delivered events.
  Duration LongestGap() const { return m_longest_pause; }

 private:
  Duration Patience(const StallContext& circumstances) const;
  Duration FirstEventPatience(bool suspected) const;

  Limits m_limits;
  std::optional<std::uint64_t> m_last_event;
  bool m_delivered = false;
  /// Highest event of the current run.
  std::optional<std::uint64_t> m_run_event;
  std::size_t m_unnumbered_bytes = 0;
  int m_repeated_events = 0;
  bool m_from_copy = false;
  std::optional<Duration> m_expected_first;
  std::optional<Duration> m_expected_elsewhere;
  int m_runs = 0;
  TimePoint m_last_progress{};
  TimePoint m_last_probe{};
  TimePoint m_last_delivery{};
  Duration m_longest_pause{};
};

}  // namespace fulmarpoint
