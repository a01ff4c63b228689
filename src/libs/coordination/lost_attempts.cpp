#include "coordination/lost_attempts.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace fulmarpoint {

bool LostAttempts::Add(LostAttempt run) {
  if (run.ended - run.started > kLongestCrashingRun || m_runs.size() >= kMaxRuns) return false;
  m_runs.push_back(std::move(run));
  return true;
}

std::vector<LostAttempt> LostAttempts::TakeCrashed(const EndpointId& endpoint) {
  const auto first =
      std::stable_partition(m_runs.begin(), m_runs.end(),
                            [&](const LostAttempt& run) { return run.endpoint != endpoint; });
  std::vector<LostAttempt> crashed(std::make_move_iterator(first),
                                   std::make_move_iterator(m_runs.end()));
  m_runs.erase(first, m_runs.end());
  return crashed;
}

void LostAttempts::OnAlive(const EndpointId& endpoint) {
  std::erase_if(m_runs, [&](const LostAttempt& run) { return run.endpoint == endpoint; });
}

std::vector<EndpointId> LostAttempts::Endpoints() const {
  std::set<EndpointId> endpoints;
  for (const LostAttempt& run : m_runs) endpoints.insert(run.endpoint);
  return {endpoints.begin(), endpoints.end()};
}

void LostAttempts::Forget(TimePoint now) {
  std::erase_if(m_runs, [&](const LostAttempt& run) { return now - run.ended > kProofTime; });
}

}  // namespace fulmarpoint
