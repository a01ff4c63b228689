#include "coordination/crash_tracker.h"

#include <algorithm>

namespace fulmarpoint {

namespace {

// Limit on the other parts that are kept for a part.
constexpr std::size_t kMaxCompanions = 256;

}  // namespace

CrashTracker::Finding CrashTracker::OnCrash(const CrashedAttempt& attempt, TimePoint now) {
  if (m_consecutive_crashes.count(attempt.fingerprint) == 0) {
    ForgetExpired(now);
    if (m_consecutive_crashes.size() >= m_options.max_fingerprints) return Finding::kNothing;
  }
  ConsecutiveCrashes& crashes = m_consecutive_crashes[attempt.fingerprint];
  crashes.is_part = attempt.request.has_value();
  if (LacksJointPart(crashes, attempt)) RestartSeries(crashes);
  if (crashes.state == State::kQuarantined) {
    if (now < crashes.quarantined_until) return Finding::kQuarantined;
    if (!crashes.is_part) {
      Quarantine(crashes, now);
      return Finding::kQuarantinedAgain;
    }
    // The crash may have another cause, and many requests share a part.
    crashes.first_started = crashes.quarantined_until + m_options.part_lookback;
    crashes.last_ended = attempt.ended;
    crashes.state = State::kQuerying;
    crashes.queried_at = now;
    return Finding::kQueryCompletion;
  }
  const bool is_first = crashes.endpoints.empty();
  const bool is_next = attempt.started + m_options.jitter >= crashes.last_ended &&
                       crashes.endpoints.count(attempt.endpoint) == 0;
  if (!is_first && !is_next) return Finding::kNothing;
  if (attempt.request && crashes.requests[*attempt.request] >= m_options.part_crashes_per_request) {
    return Finding::kNothing;
  }
  Count(crashes, attempt);
  if (!IsQueryDue(crashes)) return Finding::kNothing;
  crashes.state = State::kQuerying;
  crashes.queried_at = now;
  return Finding::kQueryCompletion;
}

void CrashTracker::Count(ConsecutiveCrashes& crashes, const CrashedAttempt& attempt) {
  if (crashes.endpoints.empty()) crashes.first_started = attempt.started;
  crashes.last_ended = attempt.ended;
  crashes.endpoints.insert(attempt.endpoint);
  const bool is_new_request = attempt.request && ++crashes.requests[*attempt.request] == 1;
  if (!is_new_request) return;
  for (const Fingerprint companion : attempt.companions) {
    const bool is_full = crashes.companions.size() >= kMaxCompanions;
    if (!is_full || crashes.companions.count(companion) > 0) ++crashes.companions[companion];
  }
}

/// Returns whether the attempt crashed its endpoint although its request was not in the quarantine.
bool CrashTracker::LacksJointPart(const ConsecutiveCrashes& crashes,
                                  const CrashedAttempt& attempt) {
  if (crashes.state != State::kQuarantined || !crashes.joint_parts) return false;
  return std::any_of(
      crashes.joint_parts->begin(), crashes.joint_parts->end(), [&](Fingerprint part) {
        return std::find(attempt.companions.begin(), attempt.companions.end(), part) ==
               attempt.companions.end();
      });
}

/// Counts anew after a quarantine that turned out to be too narrow.
void CrashTracker::RestartSeries(ConsecutiveCrashes& crashes) {
  crashes.state = State::kCounting;
  crashes.endpoints.clear();
  crashes.requests.clear();
  crashes.companions.clear();
}

/// Returns the other parts that all requests have.
std::set<Fingerprint> CrashTracker::CommonParts(const ConsecutiveCrashes& crashes) {
  std::set<Fingerprint> common;
  for (const auto& [companion, count] : crashes.companions) {
    const bool was_common = !crashes.joint_parts || crashes.joint_parts->contains(companion);
    if (was_common && count == crashes.requests.size()) common.insert(companion);
  }
  return common;
}

/// Returns whether another part may explain the crashes, so that more must be counted.
bool CrashTracker::IsExplained(const ConsecutiveCrashes& crashes) const {
  const std::vector<Fingerprint> explanations = Explanations(crashes);
  if (explanations.empty() || crashes.endpoints.size() >= m_options.part_pair_threshold) {
    return false;
  }
  const bool is_joint = std::all_of(
      explanations.begin(), explanations.end(),
      [&](Fingerprint part) { return crashes.companions.at(part) == crashes.requests.size(); });
  return !is_joint || crashes.endpoints.size() < m_options.joint_crash_threshold;
}

/// Returns the other parts that more than half of the requests have.
std::vector<Fingerprint> CrashTracker::Explanations(const ConsecutiveCrashes& crashes) {
  std::vector<Fingerprint> explanations;
  for (const auto& [companion, count] : crashes.companions) {
    if (2 * count > crashes.requests.size()) explanations.push_back(companion);
  }
  return explanations;
}

bool CrashTracker::IsQueryDue(const ConsecutiveCrashes& crashes) const {
  if (crashes.state != State::kCounting) return false;
  if (!crashes.is_part) return crashes.endpoints.size() >= m_options.crash_threshold;
  return crashes.endpoints.size() >= m_options.part_crash_threshold &&
         crashes.requests.size() >= m_options.part_request_threshold;
}

bool CrashTracker::OnCompleted(Fingerprint fingerprint) {
  for (auto& [suspect, crashes] : m_consecutive_crashes) {
    crashes.companions.erase(fingerprint);
  }
  const auto found = m_consecutive_crashes.find(fingerprint);
  if (found == m_consecutive_crashes.end()) return false;
  const bool was_quarantined = found->second.state == State::kQuarantined;
  m_consecutive_crashes.erase(found);
  return was_quarantined;
}

std::vector<Fingerprint> CrashTracker::OnPoisonFound(Fingerprint fingerprint) {
  std::vector<Fingerprint> ended;
  std::erase_if(m_consecutive_crashes, [&](const auto& entry) {
    const auto& [suspect, crashes] = entry;
    const auto found = crashes.companions.find(fingerprint);
    if (found == crashes.companions.end()) return false;
    const std::size_t requests_with_both = found->second;
    // A suspect that is not yet quarantined may itself be the poison, and this one its companion.
    if (crashes.state != State::kQuarantined) {
      return 2 * requests_with_both > crashes.requests.size();
    }
    const bool is_explained = 2 * requests_with_both >= crashes.requests.size();
    if (is_explained) ended.push_back(suspect);
    return is_explained;
  });
  return ended;
}

std::vector<Fingerprint> CrashTracker::TakeNewQuarantines(TimePoint now) {
  std::vector<Fingerprint> quarantined;
  for (auto& [fingerprint, crashes] : m_consecutive_crashes) {
    if (crashes.state != State::kQuerying || now - crashes.queried_at < m_options.answer_timeout)
      continue;
    if (IsExplained(crashes)) {
      crashes.state = State::kCounting;
      continue;
    }
    Quarantine(crashes, now);
    quarantined.push_back(fingerprint);
  }
  return quarantined;
}

void CrashTracker::Quarantine(ConsecutiveCrashes& crashes, TimePoint now) {
  crashes.state = State::kQuarantined;
  if (!crashes.requests.empty()) crashes.joint_parts = CommonParts(crashes);
  crashes.quarantined_until =
      now + m_options.quarantine_durations[std::min(crashes.quarantine_count, 2U)];
  ++crashes.quarantine_count;
}

void CrashTracker::OnPublished(const QuarantineRecord& record, TimePoint now) {
  const bool is_known = m_consecutive_crashes.count(record.fingerprint) > 0;
  if (!is_known && m_consecutive_crashes.size() >= m_options.max_fingerprints) return;
  ConsecutiveCrashes& crashes = m_consecutive_crashes[record.fingerprint];
  if (record.count <= crashes.quarantine_count) return;
  crashes.state = State::kQuarantined;
  crashes.quarantine_count = record.count;
  crashes.quarantined_until = now + record.QuarantineTime();
  crashes.joint_parts.emplace(record.companions.begin(), record.companions.end());
}

void CrashTracker::OnCleared(Fingerprint fingerprint) { m_consecutive_crashes.erase(fingerprint); }

std::uint32_t CrashTracker::QuarantineCount(Fingerprint fingerprint) const {
  const auto found = m_consecutive_crashes.find(fingerprint);
  return found == m_consecutive_crashes.end() ? 0 : found->second.quarantine_count;
}

Duration CrashTracker::RemainingQuarantine(Fingerprint fingerprint, TimePoint now) const {
  const auto found = m_consecutive_crashes.find(fingerprint);
  if (found == m_consecutive_crashes.end()) return Duration::zero();
  return std::max(Duration::zero(), found->second.quarantined_until - now);
}

std::vector<Fingerprint> CrashTracker::QuarantineCompanions(Fingerprint fingerprint) const {
  const auto found = m_consecutive_crashes.find(fingerprint);
  if (found == m_consecutive_crashes.end() || !found->second.joint_parts) return {};
  return {found->second.joint_parts->begin(), found->second.joint_parts->end()};
}

std::optional<TimePoint> CrashTracker::ClearedSince(Fingerprint fingerprint) const {
  const auto found = m_consecutive_crashes.find(fingerprint);
  if (found == m_consecutive_crashes.end()) return std::nullopt;
  return found->second.first_started -
         (found->second.is_part ? m_options.part_lookback : Duration::zero());
}

std::vector<Fingerprint> CrashTracker::QueriedFingerprints(Fingerprint fingerprint) const {
  std::vector<Fingerprint> queried = {fingerprint};
  const auto found = m_consecutive_crashes.find(fingerprint);
  if (found == m_consecutive_crashes.end()) return queried;
  const std::vector<Fingerprint> explanations = Explanations(found->second);
  queried.insert(queried.end(), explanations.begin(), explanations.end());
  return queried;
}

void CrashTracker::ForgetExpired(TimePoint now) {
  std::erase_if(m_consecutive_crashes, [&](const auto& entry) {
    const ConsecutiveCrashes& crashes = entry.second;
    return now - std::max(crashes.last_ended, crashes.quarantined_until) > m_options.lifetime;
  });
}

}  // namespace fulmarpoint
