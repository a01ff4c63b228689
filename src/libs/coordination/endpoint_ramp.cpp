#include "coordination/endpoint_ramp.h"

#include <algorithm>

namespace fulmarpoint {

namespace {

// More requests than this of one daemon at one endpoint are never limited.
constexpr int kMaxLimit = 64;
// A daemon with twice its even share of the endpoint's slots is not held back by the limit.
constexpr int kUnlimitedShares = 2;
constexpr int kMaxProbeDoublings = 10;

/// Returns the number of requests from which on the limit is of no effect.
int FullShare(const RampConditions& conditions) {
  const int daemons = static_cast<int>(std::max<std::size_t>(1, conditions.near_daemons));
  const int slots = kUnlimitedShares * std::max(1, conditions.slots);
  return std::max(kUnlimitedShares, (slots + daemons - 1) / daemons);
}

}  // namespace

void EndpointRamp::OnStarted(TimePoint now) {
  m_failures = 0;
  m_has_reply = false;
  StartRamp(now);
}

void EndpointRamp::StartRamp(TimePoint now) {
  m_phase = RampPhase::kRamping;
  m_limit = 1;
  m_started_at = now;
  m_probe_sent_at.reset();
  m_first_sent_at.reset();
  StartJudgement(now);
}

void EndpointRamp::StartJudgement(TimePoint now) {
  m_judged_since = now;
  m_good_replies = 0;
  m_slow_replies = 0;
}

void EndpointRamp::OnSent(TimePoint now) {
  if (m_phase == RampPhase::kFailed) m_probe_sent_at = now;
  if (!m_first_sent_at) m_first_sent_at = now;
}

void EndpointRamp::OnReply(double ratio, TimePoint now) {
  if (Phase(now) == RampPhase::kSteady) return;
  if (m_phase == RampPhase::kFailed) StartRamp(now);
  m_has_reply = true;
  if (now - m_judged_since >= m_options.judgement_time && m_slow_replies > 0) StartJudgement(now);
  if (ratio >= m_options.slow_ratio) {
    ReduceLimit();
    return;
  }
  ++m_good_replies;
  // Adding one for each good reply doubles the limit in each round of replies.
  m_limit = std::min(kMaxLimit, m_limit + 1);
}

void EndpointRamp::OnRejected(TimePoint now) {
  if (Phase(now) == RampPhase::kRamping) ReduceLimit();
}

void EndpointRamp::ReduceLimit() {
  m_limit = std::max(1, m_limit / 2);
  ++m_slow_replies;
}

void EndpointRamp::OnFailed(TimePoint now) {
  // Requests in progress fail together and count as one failure; a failed probe is another.
  if (m_phase == RampPhase::kFailed && !m_probe_sent_at) return;
  if (Phase(now) == RampPhase::kSteady) m_failures = 0;
  m_phase = RampPhase::kFailed;
  m_failed_at = now;
  m_probe_sent_at.reset();
  m_next_probe_at = now + ProbeDelay();
  m_failures = std::min(kMaxProbeDoublings, m_failures + 1);
}

Duration EndpointRamp::ProbeDelay() const {
  return std::min(m_options.max_probe_delay, m_options.first_probe_delay * (1 << m_failures));
}

RampPhase EndpointRamp::Phase(TimePoint now) const {
  const bool is_over = m_phase == RampPhase::kRamping && IsRampOver(now);
  return is_over ? RampPhase::kSteady : m_phase;
}

bool EndpointRamp::HasReturnedRecently(TimePoint now) const {
  switch (Phase(now)) {
    case RampPhase::kSteady:
      return false;
    case RampPhase::kFailed:
      return now - m_failed_at < m_options.longest_time;
    case RampPhase::kRamping:
      break;
  }
  const Duration time = m_first_sent_at ? m_options.longest_time : m_options.judgement_time;
  return now - m_started_at < time;
}

bool EndpointRamp::IsRampOver(TimePoint now) const {
  const bool is_judged = now - m_judged_since >= m_options.judgement_time;
  const bool are_mostly_good = m_good_replies > 0 && m_good_replies >= m_slow_replies;
  if (is_judged && are_mostly_good) return true;
  return m_has_reply && now - m_started_at >= m_options.longest_time;
}

/// Returns whether this daemon had nothing to send within the judgement time.
bool EndpointRamp::WasUntried(TimePoint now) const {
  const TimePoint first_sent_at = m_first_sent_at.value_or(now);
  return !m_has_reply && first_sent_at - m_started_at >= m_options.judgement_time;
}

bool EndpointRamp::IsProbeInProgress(TimePoint now) const {
  return m_probe_sent_at && now - *m_probe_sent_at < m_options.probe_timeout;
}

bool EndpointRamp::MayProbe(TimePoint now) const {
  return m_phase == RampPhase::kFailed && now >= m_next_probe_at && !IsProbeInProgress(now);
}

bool EndpointRamp::MayTake(int in_progress, const RampConditions& conditions, TimePoint now) const {
  const std::optional<int> limit = Limit(conditions, now);
  if (!limit) return true;
  return Phase(now) == RampPhase::kFailed ? *limit > 0 : in_progress < *limit;
}

std::optional<int> EndpointRamp::Limit(const RampConditions& conditions, TimePoint now) const {
  const bool most_returned = conditions.returned_share > m_options.max_returned_share;
  switch (Phase(now)) {
    case RampPhase::kSteady:
      return std::nullopt;
    case RampPhase::kFailed:
      // Many endpoints that return together need not wait for the time of their next probe.
      return MayProbe(now) || (most_returned && !IsProbeInProgress(now)) ? 1 : 0;
    case RampPhase::kRamping:
      break;
  }
  if (most_returned || m_limit >= FullShare(conditions)) return std::nullopt;
  if (conditions.is_near && WasUntried(now)) return std::nullopt;
  const bool is_kept_for_near = !conditions.is_near && !m_has_reply;
  if (is_kept_for_near && now - m_started_at < m_options.far_delay) return 0;
  return m_limit;
}

}  // namespace fulmarpoint
