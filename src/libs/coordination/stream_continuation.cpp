#include "coordination/stream_continuation.h"

#include <algorithm>

namespace fulmarpoint {

namespace {

// A run that is given up at this part of the longest good pause can go on elsewhere within it.
constexpr int kPauseDivisor = 2;
// Part of the objective after which a run without its first event is tried elsewhere.
constexpr double kFirstEventShare = 0.6;
// Silence before the first event is checked with a new connection at this interval.
constexpr Duration kProbeInterval = std::chrono::milliseconds(400);

}  // namespace

StreamContinuation::StreamContinuation(const Limits& limits,
                                       std::optional<std::uint64_t> last_event)
    : m_limits(limits), m_last_event(last_event) {}

void StreamContinuation::OnRunStarted(bool from_copy, TimePoint now) {
  ++m_runs;
  m_from_copy = from_copy;
  m_run_has_event = false;
  m_last_progress = now;
  m_last_probe = now;
}

void StreamContinuation::OnRunRefused() { m_runs = std::max(0, m_runs - 1); }

EventVerdict StreamContinuation::OnEvent(std::uint64_t id, TimePoint now) {
  m_run_has_event = true;
  m_last_progress = now;
  if (m_last_event && id <= *m_last_event) return EventVerdict::kDuplicate;
  if (m_last_event && id != *m_last_event + 1) return EventVerdict::kGap;
  if (m_delivered) m_longest_pause = std::max(m_longest_pause, now - m_last_delivery);
  m_last_delivery = now;
  m_last_event = id;
  m_delivered = true;
  return EventVerdict::kDeliver;
}

void StreamContinuation::OnProbeAnswered(TimePoint now) { m_last_probe = now; }

SilenceVerdict StreamContinuation::Judge(TimePoint now) const {
  const bool elsewhere_possible = MayStartRun() && MayContinue();
  if (elsewhere_possible && now - m_last_progress >= Patience()) return SilenceVerdict::kAbandon;
  if (!m_run_has_event && now - m_last_probe >= kProbeInterval) return SilenceVerdict::kProbe;
  return SilenceVerdict::kWait;
}

TimePoint StreamContinuation::NextJudgement(TimePoint now) const {
  TimePoint next = m_last_progress + Patience();
  if (!m_run_has_event) next = std::min(next, m_last_probe + kProbeInterval);
  return next > now ? next : now + kProbeInterval;
}

Duration StreamContinuation::Patience() const {
  if (m_run_has_event || m_from_copy) return m_limits.gap_goal / kPauseDivisor;
  const double first = static_cast<double>(m_limits.goal.count()) * kFirstEventShare;
  return Duration(static_cast<Duration::rep>(first));
}

}  // namespace fulmarpoint
