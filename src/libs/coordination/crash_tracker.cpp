#include "coordination/crash_tracker.h"

#include <algorithm>

namespace fulmarpoint {

CrashTracker::Finding CrashTracker::OnCrash(const CrashedAttempt& run, TimePoint now) {
  if (m_series.count(run.fingerprint) == 0) {
    Forget(now);
    if (m_series.size() >= m_options.max_fingerprints) return Finding::kNothing;
  }
  Series& series = m_series[run.fingerprint];
  if (series.state == State::kQuarantined) {
    if (now < series.blocked_until) return Finding::kQuarantined;
    Block(series, now);
    return Finding::kQuarantinedAgain;
  }
  const bool is_first = series.endpoints.empty();
  const bool is_next = run.started + m_options.jitter >= series.last_ended &&
                       series.endpoints.count(run.endpoint) == 0;
  if (!is_first && !is_next) return Finding::kNothing;
  if (is_first) series.first_started = run.started;
  series.last_ended = run.ended;
  series.endpoints.insert(run.endpoint);
  const bool is_due =
      series.state == State::kCounting && series.endpoints.size() >= m_options.crashes;
  if (!is_due) return Finding::kNothing;
  series.state = State::kAsked;
  series.asked = now;
  return Finding::kQueryCompletion;
}

bool CrashTracker::OnCompleted(Fingerprint fingerprint) {
  const auto found = m_series.find(fingerprint);
  if (found == m_series.end()) return false;
  const bool was_blocked = found->second.state == State::kQuarantined;
  m_series.erase(found);
  return was_blocked;
}

std::vector<Fingerprint> CrashTracker::TakeNewQuarantines(TimePoint now) {
  std::vector<Fingerprint> verdicts;
  for (auto& [fingerprint, series] : m_series) {
    if (series.state != State::kAsked || now - series.asked < m_options.settle) continue;
    Block(series, now);
    verdicts.push_back(fingerprint);
  }
  return verdicts;
}

void CrashTracker::Block(Series& series, TimePoint now) {
  series.state = State::kQuarantined;
  series.blocked_until = now + m_options.blocks[std::min(series.verdicts, std::size_t{2})];
  ++series.verdicts;
}

Duration CrashTracker::RemainingQuarantine(Fingerprint fingerprint, TimePoint now) const {
  const auto found = m_series.find(fingerprint);
  if (found == m_series.end()) return Duration::zero();
  return std::max(Duration::zero(), found->second.blocked_until - now);
}

std::optional<TimePoint> CrashTracker::FirstStarted(Fingerprint fingerprint) const {
  const auto found = m_series.find(fingerprint);
  if (found == m_series.end()) return std::nullopt;
  return found->second.first_started;
}

void CrashTracker::Forget(TimePoint now) {
  std::erase_if(m_series, [&](const auto& entry) {
    const Series& series = entry.second;
    return now - std::max(series.last_ended, series.blocked_until) > m_options.lifetime;
  });
}

}  // namespace fulmarpoint
