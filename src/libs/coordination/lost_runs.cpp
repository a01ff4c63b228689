#include "coordination/lost_runs.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace fulmarpoint {

bool LostRuns::Add(LostRun attempt) {
  if (attempt.ended - attempt.started > kMaxCrashingAttemptDuration ||
      m_attempts.size() >= kMaxAttempts)
    return false;
  m_attempts.push_back(std::move(attempt));
  return true;
}

std::vector<LostRun> LostRuns::TakeCrashed(const EndpointId& endpoint) {
  const auto first =
      std::stable_partition(m_attempts.begin(), m_attempts.end(),
                            [&](const LostRun& attempt) { return attempt.endpoint != endpoint; });
  std::vector<LostRun> crashed(std::make_move_iterator(first),
                               std::make_move_iterator(m_attempts.end()));
  m_attempts.erase(first, m_attempts.end());
  return crashed;
}

void LostRuns::OnAlive(const EndpointId& endpoint) {
  std::erase_if(m_attempts, [&](const LostRun& attempt) { return attempt.endpoint == endpoint; });
}

std::vector<EndpointId> LostRuns::Endpoints() const {
  std::set<EndpointId> endpoints;
  for (const LostRun& attempt : m_attempts) endpoints.insert(attempt.endpoint);
  return {endpoints.begin(), endpoints.end()};
}

void LostRuns::Forget(TimePoint now) {
  std::erase_if(m_attempts, [&](const LostRun& attempt) {
    return now - attempt.ended > kCrashConfirmationTime;
  });
}

}  // namespace fulmarpoint
