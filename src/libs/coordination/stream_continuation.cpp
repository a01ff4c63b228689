#include "coordination/stream_continuation.h"

#include <algorithm>

namespace fulmarpoint {

namespace {

// An attempt that is abandoned after this fraction of the gap objective leaves enough time to
// continue elsewhere within the objective.
constexpr int kMaxGapDivisor = 2;
// Without a KV cache backup, another endpoint must repeat the prefill, which takes longer than this
// multiple of the gap objective.
constexpr int kNoBackupFactor = 2;
// Fraction of the objective after which an attempt without a first event is abandoned: the value
// used if no estimate of the first event exists, and the minimum otherwise.
constexpr double kUnknownFirstEventShare = 0.6;
constexpr double kMinFirstEventShare = 0.4;
// Tolerated lateness of the first event at a suspected engine, relative to the estimate. Another
// attempt costs a complete prefill.
constexpr double kLatenessFactor = 1.6;
// Margin on the estimated duration of another attempt that must still meet the objective.
constexpr double kRestartFactor = 1.25;
// Added to the tolerated lateness.
constexpr Duration kLatenessSlack = std::chrono::milliseconds(300);
// Interval of probes with a new connection while the first event is awaited or the stream stalls;
// shorter where other requests have failed.
constexpr Duration kProbeInterval = std::chrono::milliseconds(500);
constexpr Duration kSuspectedProbeInterval = std::chrono::milliseconds(100);
// Interval of the trials to replace a stalled attempt.
constexpr Duration kReplacementInterval = std::chrono::milliseconds(300);
// Limit on the bytes of comments and other events without a number between two numbered events.
constexpr std::size_t kMaxUnnumberedBytes = std::size_t{16} * 1024;
// Streams begin with this event or with 0.
constexpr std::uint64_t kFirstEvent = 1;
// Limit on the duplicate events that one attempt may send.
constexpr int kMaxRepeatedEvents = 64;

Duration Scaled(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

}  // namespace

StreamContinuation::StreamContinuation(const Limits& limits,
                                       std::optional<std::uint64_t> last_event)
    : m_limits(limits), m_last_event(last_event) {}

void StreamContinuation::OnAttemptStarted(const AttemptStart& start, TimePoint now) {
  ++m_attempts;
  m_from_backup = start.from_backup;
  m_expected_first = start.expected_first;
  m_expected_first_elsewhere = start.expected_first_elsewhere;
  m_attempt_event.reset();
  m_held_event.reset();
  m_unnumbered_bytes = 0;
  m_repeated_events = 0;
  m_last_progress = now;
  m_last_probe = now;
  m_keep_until = TimePoint{};
}

void StreamContinuation::OnAttemptRejected() { m_attempts = std::max(0, m_attempts - 1); }

EventDisposition StreamContinuation::OnEvent(std::uint64_t id, bool is_doubtful, TimePoint now) {
  const bool is_repeated = m_attempt_event && id <= *m_attempt_event;
  if (is_repeated && ++m_repeated_events > kMaxRepeatedEvents) return EventDisposition::kGap;
  if (!is_repeated) {
    m_attempt_event = id;
    m_last_progress = now;
    m_unnumbered_bytes = 0;
  }
  const std::optional<std::uint64_t>& last = m_held_event ? m_held_event : m_last_event;
  if (last && id <= *last) return EventDisposition::kDuplicate;
  if (!IsNext(id)) return EventDisposition::kGap;
  if (m_held_event) MarkDelivered(*m_held_event, now);
  m_held_event.reset();
  if (is_doubtful) {
    m_held_event = id;
    return EventDisposition::kDeliverHeld;
  }
  MarkDelivered(id, now);
  return EventDisposition::kDeliver;
}

bool StreamContinuation::IsNext(std::uint64_t id) const {
  const std::optional<std::uint64_t>& last = m_held_event ? m_held_event : m_last_event;
  return last ? id == *last + 1 : id <= kFirstEvent;
}

void StreamContinuation::MarkDelivered(std::uint64_t id, TimePoint now) {
  if (m_delivered) m_longest_gap = std::max(m_longest_gap, now - m_last_delivery);
  m_last_delivery = now;
  m_last_event = id;
  m_delivered = true;
}

void StreamContinuation::OnHeldEventDelivered(TimePoint now) {
  if (m_held_event) MarkDelivered(*m_held_event, now);
  m_held_event.reset();
}

EventDisposition StreamContinuation::OnUnnumberedEvent(std::size_t bytes) {
  m_unnumbered_bytes += bytes;
  const bool exceeds_limit = m_unnumbered_bytes > kMaxUnnumberedBytes;
  return exceeds_limit ? EventDisposition::kUnnumberedLimit : EventDisposition::kHold;
}

void StreamContinuation::OnProbeAnswered(TimePoint now) { m_last_probe = now; }

void StreamContinuation::OnNotReplaced(TimePoint now) { m_keep_until = now + kReplacementInterval; }

StallDecision StreamContinuation::CheckStall(const StallContext& context, TimePoint now) const {
  if (!MayStartAttempt()) return StallDecision::kWait;
  const Duration stalled_for = now - m_last_progress;
  if (stalled_for >= AbandonTimeout(context) && now >= m_keep_until) return StallDecision::kAbandon;
  const Duration interval = context.suspected ? kSuspectedProbeInterval : kProbeInterval;
  const bool may_probe =
      !m_attempt_event || stalled_for >= m_limits.event_gap_objective / kMaxGapDivisor;
  if (may_probe && now - std::max(m_last_probe, m_last_progress) >= interval) {
    return StallDecision::kProbe;
  }
  return StallDecision::kWait;
}

TimePoint StreamContinuation::NextStallCheck(TimePoint now) const {
  const TimePoint soon = now + kSuspectedProbeInterval;
  if (!m_attempt_event) return soon;
  const TimePoint probe_from = m_last_progress + m_limits.event_gap_objective / kMaxGapDivisor;
  return probe_from > now ? probe_from : soon;
}

Duration StreamContinuation::AbandonTimeout(const StallContext& context) const {
  if (m_from_backup && !m_attempt_event) return m_limits.event_gap_objective / kMaxGapDivisor;
  if (!m_attempt_event) return FirstEventTimeout(context.suspected);
  return context.has_backup ? m_limits.event_gap_objective / kMaxGapDivisor
                            : m_limits.event_gap_objective * kNoBackupFactor;
}

/// An engine that accepts connections has probably processed part of the prompt already, so the
/// attempt continues there as long as another one could still meet the objective.
Duration StreamContinuation::FirstEventTimeout(bool suspected) const {
  if (!m_expected_first) return Scaled(m_limits.latency_objective, kUnknownFirstEventShare);
  const Duration min_timeout =
      std::max(Scaled(m_limits.latency_objective, kMinFirstEventShare),
               Scaled(*m_expected_first, kLatenessFactor) + kLatenessSlack);
  if (suspected || !m_expected_first_elsewhere) return min_timeout;
  return std::max(min_timeout,
                  m_limits.latency_objective - Scaled(*m_expected_first_elsewhere, kRestartFactor));
}

}  // namespace fulmarpoint
