#include "coordination/stream_continuation.h"

#include <algorithm>

namespace fulmarpoint {

namespace {

// A run that is given up at this part of the longest good pause can go on elsewhere within it.
constexpr int kPauseDivisor = 2;
// Without a copy the prompt is read again elsewhere, which takes longer than this.
constexpr int kNoCopyFactor = 2;
// Part of the objective after which a run without its first event is tried elsewhere if nothing is
// known about when to expect it, and the least part otherwise.
constexpr double kUnknownFirstShare = 0.6;
constexpr double kLeastFirstShare = 0.4;
// How much later than expected the first event may come at a suspected engine; a second run costs
// the whole prompt again.
constexpr double kLatenessFactor = 1.6;
// How much longer than expected another run may take and still meet the objective.
constexpr double kRestartFactor = 1.25;
constexpr Duration kLatenessSlack = std::chrono::milliseconds(300);
// Silence before the first event is checked with a new connection at this interval, and sooner
// where other requests have failed.
constexpr Duration kProbeInterval = std::chrono::milliseconds(500);
constexpr Duration kSuspectedProbeInterval = std::chrono::milliseconds(100);
// Comments and other events without a number may come between two numbered ones up to this length.
constexpr std::size_t kMaxUnnumberedBytes = std::size_t{16} * 1024;
// Events of one run that come again.
constexpr int kMaxRepeatedEvents = 64;

Duration Scaled(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

}  // namespace

StreamContinuation::StreamContinuation(const Limits& limits,
                                       std::optional<std::uint64_t> last_event)
    : m_limits(limits), m_last_event(last_event) {}

void StreamContinuation::OnAttemptStarted(const RunStart& start, TimePoint now) {
  ++m_runs;
  m_from_copy = start.from_copy;
  m_expected_first = start.expected_first;
  m_expected_elsewhere = start.expected_elsewhere;
  m_run_event.reset();
  m_unnumbered_bytes = 0;
  m_repeated_events = 0;
  m_last_progress = now;
  m_last_probe = now;
}

void StreamContinuation::OnAttemptRejected() { m_runs = std::max(0, m_runs - 1); }

EventDisposition StreamContinuation::OnEvent(std::uint64_t id, TimePoint now) {
  const bool is_repeated = m_run_event && id <= *m_run_event;
  if (is_repeated && ++m_repeated_events > kMaxRepeatedEvents) return EventDisposition::kGap;
  if (!is_repeated) {
    m_run_event = id;
    m_last_progress = now;
    m_unnumbered_bytes = 0;
  }
  if (m_last_event && id <= *m_last_event) return EventDisposition::kDuplicate;
  if (m_last_event && id != *m_last_event + 1) return EventDisposition::kGap;
  if (m_delivered) m_longest_pause = std::max(m_longest_pause, now - m_last_delivery);
  m_last_delivery = now;
  m_last_event = id;
  m_delivered = true;
  return EventDisposition::kDeliver;
}

EventDisposition StreamContinuation::OnUnnumberedEvent(std::size_t bytes) {
  m_unnumbered_bytes += bytes;
  const bool is_too_much = m_unnumbered_bytes > kMaxUnnumberedBytes;
  return is_too_much ? EventDisposition::kGap : EventDisposition::kDeliver;
}

void StreamContinuation::OnProbeAnswered(TimePoint now) { m_last_probe = now; }

StallDecision StreamContinuation::CheckStall(const StallContext& circumstances,
                                             TimePoint now) const {
  if (!MayStartAttempt() || !MayContinue()) return StallDecision::kWait;
  const Duration silence = now - m_last_progress;
  if (silence >= Patience(circumstances)) return StallDecision::kAbandon;
  const Duration interval = circumstances.suspected ? kSuspectedProbeInterval : kProbeInterval;
  const bool is_odd = !m_run_event || silence >= m_limits.event_gap_objective / kPauseDivisor;
  if (is_odd && now - std::max(m_last_probe, m_last_progress) >= interval) {
    return StallDecision::kProbe;
  }
  return StallDecision::kWait;
}

TimePoint StreamContinuation::NextStallCheck(TimePoint now) const {
  const TimePoint soon = now + kSuspectedProbeInterval;
  if (!m_run_event) return soon;
  const TimePoint odd = m_last_progress + m_limits.event_gap_objective / kPauseDivisor;
  return odd > now ? odd : soon;
}

Duration StreamContinuation::Patience(const StallContext& circumstances) const {
  if (m_from_copy && !m_run_event) return m_limits.event_gap_objective / kPauseDivisor;
  if (!m_run_event) return FirstEventPatience(circumstances.suspected);
  return circumstances.has_copy ? m_limits.event_gap_objective / kPauseDivisor
                                : m_limits.event_gap_objective * kNoCopyFactor;
}

/// An engine that accepts connections has most likely read a part of the prompt already, so the run
/// is left there as long as another one could still meet the objective.
Duration StreamContinuation::FirstEventPatience(bool suspected) const {
  if (!m_expected_first) return Scaled(m_limits.latency_objective, kUnknownFirstShare);
  const Duration soonest = std::max(Scaled(m_limits.latency_objective, kLeastFirstShare),
                                    Scaled(*m_expected_first, kLatenessFactor) + kLatenessSlack);
  if (suspected || !m_expected_elsewhere) return soonest;
  return std::max(soonest,
                  m_limits.latency_objective - Scaled(*m_expected_elsewhere, kRestartFactor));
}

}  // namespace fulmarpoint
