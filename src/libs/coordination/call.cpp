#include "coordination/call.h"

#include <algorithm>
#include <utility>

namespace fulmarpoint {

using namespace call;

namespace {

constexpr Duration kClaimRetry = std::chrono::milliseconds(50);
constexpr Duration kStoreRetry = std::chrono::seconds(1);
constexpr std::uint32_t kMaxClaimRetries = 3;

enum Timer : std::uint32_t {
  kDeadlineTimer = 1,
  kRetryTimer = 2,
  kLateTimer = 3,
};

/// Statuses by which an endpoint or a proxy before it says that another may answer.
bool IsUnavailable(int status) { return status == 502 || status == 503 || status == 504; }

}  // namespace

void Call::Handle(const Event& event, TimePoint now, std::vector<Action>& actions) {
  if (m_state == State::kEnded) return;
  std::visit([&](const auto& specific) { On(specific, now, actions); }, event);
}

void Call::On(const Start&, TimePoint now, std::vector<Action>& actions) {
  if (m_state != State::kIdle) return;
  m_started = now;
  if (now >= m_config.deadline) {
    GiveUpUnsent(ResultCode::kDeadlineExceeded, Duration::zero(), actions);
    return;
  }
  actions.push_back(SetTimer{kDeadlineTimer, m_config.deadline});
  Select(false, actions);
}

void Call::Select(bool retry, std::vector<Action>& actions) {
  m_state = State::kSelecting;
  actions.push_back(SelectEndpoint{++m_selection, m_excluded, retry});
}

void Call::On(const EndpointSelected& event, TimePoint now, std::vector<Action>& actions) {
  if (m_state != State::kSelecting || event.selection != m_selection) return;
  m_endpoint = event.endpoint;
  if (m_config.protection != CallProtection::kClaimed || m_claimed) {
    SendNow(now, actions);
    return;
  }
  m_state = State::kClaiming;
  const TimePoint deadline = std::min(now + m_config.claim_limit, m_config.deadline);
  actions.push_back(Claim{m_config.claim_key, m_config.claim, deadline});
}

void Call::On(const NoEndpoint& event, TimePoint, std::vector<Action>& actions) {
  if (m_state != State::kSelecting || event.selection != m_selection) return;
  if (m_config.protection == CallProtection::kClaimed && !m_claimed) {
    // "Not run" would mislead a caller whose earlier call with this key has run.
    m_no_endpoint = event;
    m_state = State::kCheckingClaim;
    actions.push_back(ReadClaim{m_config.claim_key});
    return;
  }
  if (!m_may_have_run) {
    GiveUpUnsent(event.code, event.retry_after, actions);
    return;
  }
  RefuseCaller(ResultCode::kEndpointFailed, event.retry_after, actions);
  m_state = State::kEnded;
}

void Call::On(const ClaimWritten& event, TimePoint now, std::vector<Action>& actions) {
  if (m_state != State::kClaiming) return;
  m_claimed = true;
  m_version = event.version;
  if (m_caller_gone) {
    GiveUpUnsent(ResultCode::kDeadlineExceeded, Duration::zero(), actions);
    return;
  }
  SendNow(now, actions);
}

void Call::On(const ClaimExists& event, TimePoint, std::vector<Action>& actions) {
  if (m_state != State::kClaiming) return;
  actions.push_back(ReleaseClaim{m_config.claim_key, 0, m_config.claim.claim_token});
  Adopt(event.existing, actions);
}

void Call::Adopt(const ClaimRecord& existing, std::vector<Action>& actions) {
  m_existing = existing;
  if (m_existing.request_hash != m_config.claim.request_hash) {
    RefuseCaller(ResultCode::kKeyReused, Duration::zero(), actions);
    m_state = State::kEnded;
    return;
  }
  if (m_existing.state != ClaimState::kClaimed) {
    AnswerFrom(m_existing, actions);
    return;
  }
  m_state = State::kAskingOwner;
  actions.push_back(QueryOwner{m_config.claim_key, m_existing});
}

void Call::On(const ClaimUnavailable&, TimePoint, std::vector<Action>& actions) {
  if (m_state != State::kClaiming) return;
  GiveUpUnsent(ResultCode::kStoreUnavailable, Duration::zero(), actions);
}

void Call::SendNow(TimePoint now, std::vector<Action>& actions) {
  const bool limited = m_config.protection != CallProtection::kIdempotent;
  const bool too_late = limited && now - m_started > m_config.send_limit;
  if (now >= m_config.deadline || too_late) {
    GiveUpUnsent(ResultCode::kDeadlineExceeded, Duration::zero(), actions);
    return;
  }
  m_state = State::kSent;
  actions.push_back(Send{++m_attempt, m_endpoint});
}

void Call::On(const ResponseReceived& event, TimePoint, std::vector<Action>& actions) {
  if (m_state != State::kSent || event.attempt != m_attempt) return;
  const bool again = m_config.protection == CallProtection::kIdempotent &&
                     IsUnavailable(event.answer.status) && m_attempt < m_config.max_attempts;
  if (again) {
    m_may_have_run = true;
    m_excluded.push_back(m_endpoint);
    Select(true, actions);
    return;
  }
  FinishSent(ClaimState::kDone, event.answer, actions);
}

void Call::On(const AttemptFailed& event, TimePoint, std::vector<Action>& actions) {
  if (m_state != State::kSent || event.attempt != m_attempt) return;
  const bool unsent = event.failure == CallFailure::kNotConnected;
  if (!unsent) m_may_have_run = true;
  m_excluded.push_back(m_endpoint);
  const bool may_repeat = unsent || m_config.protection == CallProtection::kIdempotent;
  if (may_repeat && m_attempt < m_config.max_attempts && !m_answered && !m_caller_gone) {
    Select(true, actions);
    return;
  }
  if (!m_may_have_run) {
    GiveUpUnsent(ResultCode::kNoEndpoint, Duration::zero(), actions);
    return;
  }
  RefuseCaller(ResultCode::kEndpointFailed, Duration::zero(), actions);
  FinishSent(ClaimState::kUnknown, {}, actions);
}

void Call::GiveUpUnsent(ResultCode code, Duration retry_after, std::vector<Action>& actions) {
  const bool owns_key =
      m_config.protection == CallProtection::kIssued || m_state == State::kClaiming || m_claimed;
  // After an idempotent attempt the request may have run, whatever ends it.
  if (m_may_have_run) code = ResultCode::kEndpointFailed;
  RefuseCaller(code, retry_after, actions);
  if (owns_key) {
    actions.push_back(ReleaseClaim{m_config.claim_key, m_version, m_config.claim.claim_token});
  }
  m_state = State::kEnded;
}

void Call::FinishSent(ClaimState state, const CallResponse& answer, std::vector<Action>& actions) {
  if (state == ClaimState::kDone) AnswerCaller(answer, actions);
  m_state = State::kEnded;
  if (m_config.protection == CallProtection::kIdempotent) return;
  ClaimRecord outcome = m_config.claim;
  outcome.state = state;
  outcome.answer = answer;
  m_existing = outcome;
  actions.push_back(PublishOutcome{outcome});
  if (m_config.protection != CallProtection::kClaimed) return;
  if (answer.body.size() > m_config.max_row_body) {
    // The row names the object only once it exists; until then the owner answers from memory.
    m_state = State::kStoringObject;
    m_existing.object = "outcomes/" + outcome.claim_token;
    actions.push_back(StoreObject{m_existing.object, answer.body});
    return;
  }
  actions.push_back(RecordOutcome{m_config.claim_key, m_version, outcome});
}

void Call::On(const ObjectStored& event, TimePoint now, std::vector<Action>& actions) {
  if (m_state != State::kStoringObject) return;
  if (!event.stored) {
    actions.push_back(SetTimer{kRetryTimer, now + kStoreRetry});
    return;
  }
  m_existing.answer.body.clear();
  actions.push_back(RecordOutcome{m_config.claim_key, m_version, m_existing});
  m_state = State::kEnded;
}

void Call::AnswerFrom(const ClaimRecord& record, std::vector<Action>& actions) {
  m_existing = record;
  if (record.state == ClaimState::kDone && !record.object.empty()) {
    m_state = State::kReadingObject;
    actions.push_back(ReadObject{record.object});
    return;
  }
  if (record.state == ClaimState::kDone) {
    AnswerCaller(record.answer, actions);
  } else {
    RefuseCaller(ResultCode::kOutcomeUnknown, Duration::zero(), actions);
  }
  m_state = State::kEnded;
}

void Call::On(const ObjectRead& event, TimePoint, std::vector<Action>& actions) {
  if (m_state != State::kReadingObject) return;
  if (event.body) {
    m_existing.answer.body = *event.body;
    AnswerCaller(m_existing.answer, actions);
  } else {
    RefuseCaller(ResultCode::kOutcomeUnknown, Duration::zero(), actions);
  }
  m_state = State::kEnded;
}

void Call::On(const OwnerReplied& event, TimePoint now, std::vector<Action>& actions) {
  if (m_state != State::kAskingOwner) return;
  switch (event.reply) {
    case OwnerReply::kFinished:
      return AnswerFrom(event.outcome, actions);
    case OwnerReply::kReleased:
      return RetryClaim(now, actions);
    case OwnerReply::kUnknown:
    case OwnerReply::kUnreachable:
      // The outcome may have been recorded after the row was read.
      m_state = State::kReadingClaim;
      actions.push_back(ReadClaim{m_config.claim_key});
      return;
  }
}

void Call::On(const ClaimRead& event, TimePoint now, std::vector<Action>& actions) {
  if (m_state == State::kCheckingClaim) {
    if (event.record) return Adopt(*event.record, actions);
    const ResultCode code = event.available ? m_no_endpoint.code : ResultCode::kStoreUnavailable;
    return GiveUpUnsent(code, m_no_endpoint.retry_after, actions);
  }
  if (m_state != State::kReadingClaim) return;
  if (event.available && !event.record) return RetryClaim(now, actions);
  const bool same = event.record && event.record->claim_token == m_existing.claim_token;
  if (event.available && same && event.record->state != ClaimState::kClaimed) {
    AnswerFrom(*event.record, actions);
    return;
  }
  RefuseCaller(ResultCode::kOwnerUnreachable, Duration::zero(), actions);
  m_state = State::kEnded;
}

void Call::RetryClaim(TimePoint now, std::vector<Action>& actions) {
  if (m_claim_retries++ >= kMaxClaimRetries) {
    // The claim of the other daemon was never used, and this call has none.
    RefuseCaller(ResultCode::kStoreUnavailable, kStoreRetry, actions);
    m_state = State::kEnded;
    return;
  }
  m_state = State::kRetryingClaim;
  actions.push_back(SetTimer{kRetryTimer, now + kClaimRetry * m_claim_retries});
}

void Call::On(const TimerFired& event, TimePoint now, std::vector<Action>& actions) {
  if (event.id == kDeadlineTimer) return OnDeadline(now, actions);
  if (event.id == kLateTimer && m_state == State::kSent) {
    actions.push_back(CloseAttempt{m_attempt});
    FinishSent(ClaimState::kUnknown, {}, actions);
    return;
  }
  if (event.id != kRetryTimer) return;
  if (m_state == State::kRetryingClaim) {
    Select(false, actions);
  } else if (m_state == State::kStoringObject) {
    actions.push_back(StoreObject{m_existing.object, m_existing.answer.body});
  }
}

void Call::OnDeadline(TimePoint now, std::vector<Action>& actions) {
  switch (m_state) {
    case State::kSelecting:
    case State::kCheckingClaim:
    case State::kRetryingClaim:
      return GiveUpUnsent(ResultCode::kDeadlineExceeded, Duration::zero(), actions);
    case State::kSent:
      RefuseCaller(ResultCode::kOutcomeUnknown, Duration::zero(), actions);
      if (m_config.protection == CallProtection::kIdempotent) {
        actions.push_back(CloseAttempt{m_attempt});
        m_state = State::kEnded;
        return;
      }
      actions.push_back(SetTimer{kLateTimer, now + m_config.late_answer});
      return;
    case State::kAskingOwner:
    case State::kReadingClaim:
    case State::kReadingObject:
      RefuseCaller(ResultCode::kOutcomeUnknown, Duration::zero(), actions);
      m_state = State::kEnded;
      return;
    case State::kClaiming:
      // The batcher answers by the same deadline.
    case State::kIdle:
    case State::kStoringObject:
    case State::kEnded:
      return;
  }
}

void Call::On(const CallerGone&, TimePoint now, std::vector<Action>& actions) {
  m_caller_gone = true;
  m_answered = true;
  switch (m_state) {
    case State::kSent:
      if (m_config.protection == CallProtection::kIdempotent) {
        actions.push_back(CloseAttempt{m_attempt});
        m_state = State::kEnded;
        return;
      }
      // The call goes on, so that a resend with the same key receives its answer.
      actions.push_back(
          SetTimer{kLateTimer, std::max(now, m_config.deadline) + m_config.late_answer});
      return;
    case State::kClaiming:
    case State::kStoringObject:
    case State::kEnded:
      return;
    case State::kSelecting:
      return GiveUpUnsent(ResultCode::kDeadlineExceeded, Duration::zero(), actions);
    case State::kIdle:
    case State::kAskingOwner:
    case State::kReadingClaim:
    case State::kCheckingClaim:
    case State::kReadingObject:
    case State::kRetryingClaim:
      m_state = State::kEnded;
      return;
  }
}

void Call::AnswerCaller(const CallResponse& answer, std::vector<Action>& actions) {
  if (std::exchange(m_answered, true)) return;
  actions.push_back(Answer{answer});
}

void Call::RefuseCaller(ResultCode code, Duration retry_after, std::vector<Action>& actions) {
  if (std::exchange(m_answered, true)) return;
  actions.push_back(RejectRequest{code, retry_after});
}

}  // namespace fulmarpoint
