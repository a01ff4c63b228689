#include "coordination/lost_attempts.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace fulmarpoint {

bool LostAttempts::Add(LostAttempt attempt) {
  if (attempt.ended - attempt.started > kMaxCrashingAttemptDuration ||
      m_attempts.size() >= kMaxAttempts)
    return false;
  m_attempts.push_back(std::move(attempt));
  return true;
}

std::vector<LostAttempt> LostAttempts::TakeCrashed(const EndpointId& endpoint) {
  const auto first = std::stable_partition(
      m_attempts.begin(), m_attempts.end(),
      [&](const LostAttempt& attempt) { return attempt.endpoint != endpoint; });
  std::vector<LostAttempt> crashed(std::make_move_iterator(first),
                                   std::make_move_iterator(m_attempts.end()));
  m_attempts.erase(first, m_attempts.end());
  return crashed;
}

void LostAttempts::OnAlive(const EndpointId& endpoint) {
  std::erase_if(m_attempts,
                [&](const LostAttempt& attempt) { return attempt.endpoint == endpoint; });
}

std::vector<EndpointId> LostAttempts::Endpoints() const {
  std::set<EndpointId> endpoints;
  for (const LostAttempt& attempt : m_attempts) endpoints.insert(attempt.endpoint);
  return {endpoints.begin(), endpoints.end()};
}

void LostAttempts::Forget(TimePoint now) {
  std::erase_if(m_attempts, [&](const LostAttempt& attempt) {
    return now - attempt.ended > kCrashConfirmationTime;
  });
}

}  // namespace fulmarpoint
