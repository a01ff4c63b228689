#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "utils/time.h"

namespace fulmarpoint {

/// What to do with an event of a stream.
enum class EventVerdict {
  kDeliver,
  /// The caller has it already.
  kDuplicate,
  /// An event before it is missing, or it belongs to no stream: the run must not be delivered
  /// further.
  kGap,
};

/// What to do about a run that is silent.
enum class SilenceVerdict { kWait, kProbe, kAbandon };

/// Decides for one relayed stream which events the caller gets, and when a silent run is given up.
/// Not thread-safe.
class StreamContinuation {
 public:
  struct Limits {
    /// Objective for the first event and for the pause between events.
    Duration goal{};
    Duration gap_goal{};
    /// Endpoints on which the stream may run.
    int max_attempts = 1;
    bool can_resume = false;
  };

  /// `last_event` is the event after which the caller resumes.
  StreamContinuation(const Limits& limits, std::optional<std::uint64_t> last_event);

  /// How a run begins.
  struct AttemptStart {
    /// The endpoint holds a copy of the run's memory and needs to read little.
    bool from_backup = false;
    /// When the first event is expected, if anything is known about it.
    std::optional<Duration> expected_first;
    /// When the first event of another run would be expected after its start.
    std::optional<Duration> expected_first_elsewhere;
  };

  void OnRunStarted(const AttemptStart& start, TimePoint now);
  /// The endpoint refused the run before it began.
  void OnRunRefused();
  EventVerdict OnEvent(std::uint64_t id, TimePoint now);
  /// An event without a number came. More than some bytes of them in a row are no part of a stream.
  EventVerdict OnUnnumberedEvent(std::size_t bytes);
  /// The endpoint accepted a new connection while the run was silent.
  void OnProbeAnswered(TimePoint now);

  /// What is known besides the silence.
  struct Circumstances {
    /// Other requests have lately failed at the endpoint or near it.
    bool suspected = false;
    /// Another endpoint holds a copy of the run's memory, so that the run can go on there at once.
    bool has_copy = false;
  };

  /// Judges the silence since the last event or the start of the run.
  SilenceVerdict Judge(const Circumstances& circumstances, TimePoint now) const;
  /// Returns when to call `Judge` again if nothing happens.
  TimePoint NextJudgement(TimePoint now) const;

  /// Returns whether another run may be started after the current one.
  bool MayStartRun() const { return m_attempts < m_limits.max_attempts; }
  /// Returns whether a later run may continue what was delivered.
  bool MayContinue() const { return !m_delivered || m_limits.can_resume; }
  bool HasDelivered() const { return m_delivered; }
  /// Returns the event after which the next run begins.
  std::optional<std::uint64_t> LastEvent() const { return m_last_event; }
  int Runs() const { return m_attempts; }
  /// Returns the longest pause between two delivered events.
  Duration LongestPause() const { return m_longest_gap; }

 private:
  Duration AbandonTimeout(const Circumstances& circumstances) const;
  Duration FirstEventTimeout(bool suspected) const;

  Limits m_limits;
  std::optional<std::uint64_t> m_last_event;
  bool m_delivered = false;
  /// Highest event of the current run.
  std::optional<std::uint64_t> m_attempt_event;
  std::size_t m_unnumbered_bytes = 0;
  int m_repeated_events = 0;
  bool m_from_backup = false;
  std::optional<Duration> m_expected_first;
  std::optional<Duration> m_expected_first_elsewhere;
  int m_attempts = 0;
  TimePoint m_last_progress{};
  TimePoint m_last_probe{};
  TimePoint m_last_delivery{};
  Duration m_longest_gap{};
};

}  // namespace fulmarpoint
