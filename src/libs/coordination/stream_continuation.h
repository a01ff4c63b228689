#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "utils/time.h"

namespace fulmarpoint {

/// How an event of a stream is to be handled.
enum class EventDisposition {
  /// Deliver the events that are held, then this one.
  kDeliver,
  /// Deliver the events that are held, and hold this one.
  kDeliverHeld,
  /// Hold the event with the others that are held.
  kHold,
  /// The caller has already received it.
  kDuplicate,
  /// An earlier event is missing, or events are repeated too often: nothing more of this attempt
  /// may be delivered.
  kGap,
  /// More bytes without an event number than a valid stream sends: nothing more of this attempt may
  /// be delivered.
  kUnnumberedLimit,
};

/// Returns whether the attempt that sent such an event is to be abandoned.
constexpr bool EndsAttempt(EventDisposition disposition) {
  return disposition == EventDisposition::kGap || disposition == EventDisposition::kUnnumberedLimit;
}

/// How to handle an attempt that sends no events.
enum class StallDecision { kWait, kProbe, kAbandon };

/// Decides for one relayed stream which events are delivered to the caller, and when a stalled
/// attempt is abandoned for one at another endpoint. Not thread-safe.
///
/// An event without a number, or a doubtful one, may be the work of a faulty endpoint, which shows
/// only in what follows. It is held until the next numbered event or the end of the stream, and
/// dropped if another attempt follows.
class StreamContinuation {
 public:
  struct Limits {
    /// Latency objectives for the time to the first event and for the longest pause between events.
    Duration latency_objective{};
    Duration event_gap_objective{};
    /// Attempts allowed for the stream.
    int max_attempts = 1;
    bool can_resume = false;
  };

  /// `last_event` is the last event that a resuming caller already has.
  StreamContinuation(const Limits& limits, std::optional<std::uint64_t> last_event);

  /// Conditions at the start of an attempt.
  struct AttemptStart {
    /// The endpoint has a KV cache backup of the stream and has little to prefill.
    bool from_backup = false;
    /// Expected time to the first event, if known.
    std::optional<Duration> expected_first;
    /// Expected time to the first event of an attempt at another endpoint, if known.
    std::optional<Duration> expected_first_elsewhere;
  };

  void OnAttemptStarted(const AttemptStart& start, TimePoint now);
  /// The endpoint rejected the attempt before executing it; the attempt does not count.
  void OnAttemptRejected();
  /// `is_doubtful` is that of `RawEvent`. A stream that no caller resumes begins with event 0 or 1.
  EventDisposition OnEvent(std::uint64_t id, bool is_doubtful, TimePoint now);
  /// An event without a number arrived.
  EventDisposition OnUnnumberedEvent(std::size_t bytes);
  /// The doubtful event that was held is delivered, because the endpoint has ended its stream or
  /// nothing can replace the event.
  void OnHeldEventDelivered(TimePoint now);
  /// Nothing was read from the endpoint until `at`, because the caller is slow.
  void OnReadingPaused(TimePoint at) { m_last_progress = std::max(m_last_progress, at); }
  /// The endpoint accepted a new connection while the attempt was stalled.
  void OnProbeAnswered(TimePoint now);

  /// The attempt was to be abandoned, but no other could take its place, so it goes on.
  void OnNotReplaced(TimePoint now);

  /// Conditions that influence how long a stall is tolerated.
  struct StallContext {
    /// Other requests recently failed at the endpoint or near it.
    bool suspected = false;
    /// Another endpoint has a KV cache backup, so the stream can continue there at once.
    bool has_backup = false;
  };

  /// Decides how to handle the time since the last event or the start of the attempt. Returns
  /// `kWait` if no other attempt is allowed.
  StallDecision CheckStall(const StallContext& context, TimePoint now) const;
  /// Returns when to call `CheckStall` again if no event arrives.
  TimePoint NextStallCheck(TimePoint now) const;

  /// Returns whether another attempt may be started after the current one. A stream that cannot be
  /// resumed may run once at most, so only attempts that were rejected may be followed by another.
  bool MayStartAttempt() const {
    const int max_attempts = m_limits.can_resume ? m_limits.max_attempts : 1;
    return m_attempts < max_attempts;
  }
  bool HasDelivered() const { return m_delivered; }
  /// Returns the last event that the caller has, after which the next attempt starts. An event that
  /// is held does not count.
  std::optional<std::uint64_t> LastEvent() const { return m_last_event; }
  int Attempts() const { return m_attempts; }
  /// Returns the longest time between two delivered events.
  Duration LongestGap() const { return m_longest_gap; }

 private:
  bool IsNext(std::uint64_t id) const;
  void MarkDelivered(std::uint64_t id, TimePoint now);
  Duration AbandonTimeout(const StallContext& context) const;
  Duration FirstEventTimeout(bool suspected) const;

  Limits m_limits;
  std::optional<std::uint64_t> m_last_event;
  /// The doubtful event that is held.
  std::optional<std::uint64_t> m_held_event;
  bool m_delivered = false;
  /// Highest event number of the current attempt.
  std::optional<std::uint64_t> m_attempt_event;
  std::size_t m_unnumbered_bytes = 0;
  int m_repeated_events = 0;
  bool m_from_backup = false;
  std::optional<Duration> m_expected_first;
  std::optional<Duration> m_expected_first_elsewhere;
  int m_attempts = 0;
  TimePoint m_last_progress{};
  TimePoint m_last_probe{};
  /// The attempt is not abandoned before.
  TimePoint m_keep_until{};
  TimePoint m_last_delivery{};
  Duration m_longest_gap{};
};

}  // namespace fulmarpoint
