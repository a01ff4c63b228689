#include "coordination/lost_attempts.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace fulmarpoint {

namespace {

bool CanHaveCrashed(const LostAttempt& attempt) {
  if (attempt.ended - attempt.started > LostAttempts::kMaxCrashingAttemptDuration) return false;
  return !attempt.first_event ||
         attempt.ended - *attempt.first_event <= LostAttempts::kMaxRunBeforeCrash;
}

}  // namespace

bool LostAttempts::Add(LostAttempt attempt) {
  if (!CanHaveCrashed(attempt) || m_attempts.size() >= kMaxAttempts) return false;
  m_attempts.push_back(std::move(attempt));
  return true;
}

std::vector<LostAttempt> LostAttempts::TakeCrashed(const EndpointId& endpoint) {
  return Take([&](const LostAttempt& attempt) { return attempt.endpoint == endpoint; });
}

std::vector<LostAttempt> LostAttempts::TakeCrashed(const EndpointProcess& process) {
  return Take([&](const LostAttempt& attempt) {
    return attempt.endpoint == process.endpoint && attempt.incarnation == process.incarnation;
  });
}

template <typename Predicate>
std::vector<LostAttempt> LostAttempts::Take(const Predicate& is_taken) {
  const auto first =
      std::stable_partition(m_attempts.begin(), m_attempts.end(),
                            [&](const LostAttempt& attempt) { return !is_taken(attempt); });
  std::vector<LostAttempt> crashed(std::make_move_iterator(first),
                                   std::make_move_iterator(m_attempts.end()));
  m_attempts.erase(first, m_attempts.end());
  return crashed;
}

void LostAttempts::OnAlive(const EndpointId& endpoint) {
  std::erase_if(m_attempts,
                [&](const LostAttempt& attempt) { return attempt.endpoint == endpoint; });
}

std::vector<EndpointProcess> LostAttempts::Processes() const {
  std::set<EndpointProcess> processes;
  for (const LostAttempt& attempt : m_attempts) {
    processes.insert({attempt.endpoint, attempt.incarnation});
  }
  return {processes.begin(), processes.end()};
}

void LostAttempts::Forget(TimePoint now) {
  std::erase_if(m_attempts, [&](const LostAttempt& attempt) {
    return now - attempt.ended > kCrashConfirmationTime;
  });
}

}  // namespace fulmarpoint
