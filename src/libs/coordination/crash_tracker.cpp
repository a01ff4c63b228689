#include "coordination/crash_tracker.h"

#include <algorithm>

namespace fulmarpoint {

CrashTracker::Finding CrashTracker::OnCrash(const CrashedAttempt& attempt, TimePoint now) {
  if (m_consecutive_crashes.count(attempt.fingerprint) == 0) {
    ForgetExpired(now);
    if (m_consecutive_crashes.size() >= m_options.max_fingerprints) return Finding::kNothing;
  }
  ConsecutiveCrashes& crashes = m_consecutive_crashes[attempt.fingerprint];
  if (crashes.state == State::kQuarantined) {
    if (now < crashes.quarantined_until) return Finding::kQuarantined;
    Quarantine(crashes, now);
    return Finding::kQuarantinedAgain;
  }
  const bool is_first = crashes.endpoints.empty();
  const bool is_next = attempt.started + m_options.jitter >= crashes.last_ended &&
                       crashes.endpoints.count(attempt.endpoint) == 0;
  if (!is_first && !is_next) return Finding::kNothing;
  if (is_first) crashes.first_started = attempt.started;
  crashes.last_ended = attempt.ended;
  crashes.endpoints.insert(attempt.endpoint);
  const bool is_due =
      crashes.state == State::kCounting && crashes.endpoints.size() >= m_options.crash_threshold;
  if (!is_due) return Finding::kNothing;
  crashes.state = State::kQuerying;
  crashes.queried_at = now;
  return Finding::kQueryCompletion;
}

bool CrashTracker::OnCompleted(Fingerprint fingerprint) {
  const auto found = m_consecutive_crashes.find(fingerprint);
  if (found == m_consecutive_crashes.end()) return false;
  const bool was_quarantined = found->second.state == State::kQuarantined;
  m_consecutive_crashes.erase(found);
  return was_quarantined;
}

std::vector<Fingerprint> CrashTracker::TakeNewQuarantines(TimePoint now) {
  std::vector<Fingerprint> quarantined;
  for (auto& [fingerprint, crashes] : m_consecutive_crashes) {
    if (crashes.state != State::kQuerying || now - crashes.queried_at < m_options.answer_timeout)
      continue;
    Quarantine(crashes, now);
    quarantined.push_back(fingerprint);
  }
  return quarantined;
}

void CrashTracker::Quarantine(ConsecutiveCrashes& crashes, TimePoint now) {
  crashes.state = State::kQuarantined;
  crashes.quarantined_until =
      now + m_options.quarantine_durations[std::min(crashes.quarantine_count, std::size_t{2})];
  ++crashes.quarantine_count;
}

Duration CrashTracker::RemainingQuarantine(Fingerprint fingerprint, TimePoint now) const {
  const auto found = m_consecutive_crashes.find(fingerprint);
  if (found == m_consecutive_crashes.end()) return Duration::zero();
  return std::max(Duration::zero(), found->second.quarantined_until - now);
}

std::optional<TimePoint> CrashTracker::FirstStarted(Fingerprint fingerprint) const {
  const auto found = m_consecutive_crashes.find(fingerprint);
  if (found == m_consecutive_crashes.end()) return std::nullopt;
  return found->second.first_started;
}

void CrashTracker::ForgetExpired(TimePoint now) {
  std::erase_if(m_consecutive_crashes, [&](const auto& entry) {
    const ConsecutiveCrashes& crashes = entry.second;
    return now - std::max(crashes.last_ended, crashes.quarantined_until) > m_options.lifetime;
  });
}

}  // namespace fulmarpoint
