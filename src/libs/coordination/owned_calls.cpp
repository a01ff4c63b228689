#include "coordination/owned_calls.h"

namespace fulmarpoint {

namespace {

/// Daemons that read the row before the outcome was recorded ask within this time.
constexpr Duration kRecordedRetention = std::chrono::seconds(60);
/// Covers an insertion that the table service applies after it was given up.
constexpr Duration kAbandonedRetention = std::chrono::minutes(15);
/// Longest time for which an outcome waits for the table service.
constexpr Duration kUnrecordedRetention = std::chrono::hours(1);

}  // namespace

void OwnedCalls::Begin(const std::string& claim_token) { m_calls[claim_token] = Call{}; }

void OwnedCalls::Finish(const std::string& claim_token, const ClaimRecord& outcome, TimePoint now) {
  const std::map<std::string, Call>::iterator found = m_calls.find(claim_token);
  if (found == m_calls.end()) return;
  found->second = Call{OwnedCallState::kFinished, outcome, now + kUnrecordedRetention};
}

void OwnedCalls::Abandon(const std::string& claim_token, TimePoint now) {
  m_calls[claim_token] = Call{OwnedCallState::kAbandoned, {}, now + kAbandonedRetention};
}

void OwnedCalls::MarkRecorded(const std::string& claim_token, TimePoint now) {
  const std::map<std::string, Call>::iterator found = m_calls.find(claim_token);
  if (found == m_calls.end() || found->second.state != OwnedCallState::kFinished) return;
  found->second.keep_until = now + kRecordedRetention;
}

OwnedCallResult OwnedCalls::LookUp(const std::string& claim_token) const {
  const std::map<std::string, Call>::const_iterator found = m_calls.find(claim_token);
  if (found == m_calls.end()) return {};
  return {found->second.state, found->second.outcome};
}

void OwnedCalls::Expire(TimePoint now) {
  std::erase_if(m_calls, [now](const auto& call) { return now > call.second.keep_until; });
}

}  // namespace fulmarpoint
