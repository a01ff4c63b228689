#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "protocol/claim_record.h"
#include "protocol/identifiers.h"
#include "protocol/result_code.h"
#include "utils/time.h"

namespace fulmarpoint {

/// How a call is kept from running twice.
enum class CallProtection {
  /// The route is idempotent: the call may be sent again.
  kIdempotent,
  /// Caller-chosen key: a row of the table `claims`.
  kClaimed,
  /// Daemon-issued key: `KeyIssuer::Begin` has answered `kRun`.
  kIssued,
};

struct CallConfig {
  CallProtection protection = CallProtection::kIdempotent;
  /// Key of the row in the table `claims`.
  std::string claim_key;
  /// The claim of this call; its token must be new.
  ClaimRecord claim;
  /// When the caller stops waiting.
  TimePoint deadline;
  /// Longest time between the check of the key's age and the sending. Bounds what a daemon that
  /// was paused after its claim may still do.
  Duration send_limit = std::chrono::seconds(5);
  /// Longest wait for the table service.
  Duration claim_limit = std::chrono::seconds(2);
  /// How long a late answer is awaited, so that a resend receives it.
  Duration late_answer = std::chrono::seconds(60);
  std::uint32_t max_attempts = 3;
  /// Larger bodies are kept in the object store.
  std::size_t max_row_body = 8192;
};

enum class CallFailure {
  /// No byte was sent.
  kNotConnected,
  kConnectionLost,
  /// The response was malformed or carried another request id.
  kBadAnswer,
};

/// Answer of the owner of a claim.
enum class OwnerReply {
  /// `outcome` is final.
  kFinished,
  /// The call was not sent and never will be; the owner deletes the claim.
  kReleased,
  /// The owner does not know the claim token.
  kUnknown,
  kUnreachable,
};

namespace call {

// Events.

struct Start {};
struct EndpointSelected {
  std::uint32_t selection = 0;
  EndpointId endpoint;
};
struct NoEndpoint {
  std::uint32_t selection = 0;
  ResultCode code = ResultCode::kNoEndpoint;
  Duration retry_after = Duration::zero();
};
/// Answers to `Claim`.
struct ClaimWritten {
  std::uint64_t version = 0;
};
struct ClaimExists {
  ClaimRecord existing;
};
struct ClaimUnavailable {};
struct ResponseReceived {
  std::uint32_t attempt = 0;
  CallResponse answer;
};
struct AttemptFailed {
  std::uint32_t attempt = 0;
  CallFailure failure = CallFailure::kConnectionLost;
};
/// Answer to `QueryOwner`. While the call runs there, the owner does not answer.
struct OwnerReplied {
  OwnerReply reply = OwnerReply::kUnreachable;
  ClaimRecord outcome;
};
/// Answer to `ReadClaim`.
struct ClaimRead {
  bool available = false;
  std::optional<ClaimRecord> record;
};
/// Answer to `StoreObject`.
struct ObjectStored {
  bool stored = false;
};
/// Answer to `ReadObject`.
struct ObjectRead {
  std::optional<std::string> body;
};
struct TimerFired {
  std::uint32_t id = 0;
};
struct CallerGone {};

using Event = std::variant<Start, EndpointSelected, NoEndpoint, ClaimWritten, ClaimExists,
                           ClaimUnavailable, ResponseReceived, AttemptFailed, OwnerReplied,
                           ClaimRead, ObjectStored, ObjectRead, TimerFired, CallerGone>;

// Actions.

struct SelectEndpoint {
  std::uint32_t selection = 0;
  std::vector<EndpointId> excluded;
  /// Not the first attempt: subject to the retry budget.
  bool retry = false;
};
/// `OwnedCalls::Begin` and `ClaimRequested`.
struct Claim {
  std::string key;
  ClaimRecord record;
  TimePoint deadline;
};
/// No byte was sent and none will be. `OwnedCalls::Abandon` and, if `version` is not 0,
/// `ReleaseRequested`; for daemon-issued keys `KeyIssuer::Abandon`.
struct ReleaseClaim {
  std::string key;
  std::uint64_t version = 0;
  std::string claim_token;
};
struct Send {
  std::uint32_t attempt = 0;
  EndpointId endpoint;
};
struct CloseAttempt {
  std::uint32_t attempt = 0;
};
/// Answers the caller; emitted at most once, as is `RejectRequest`, and never both.
struct Answer {
  CallResponse answer;
};
struct RejectRequest {
  ResultCode code = ResultCode::kInternal;
  Duration retry_after = Duration::zero();
};
/// Makes the outcome known to those who wait here: `OwnedCalls::Finish` or `KeyIssuer::Finish`.
struct PublishOutcome {
  ClaimRecord outcome;
};
/// Writes the outcome to the claim's row: `OutcomeRequested`.
struct RecordOutcome {
  std::string key;
  std::uint64_t version = 0;
  ClaimRecord outcome;
};
struct StoreObject {
  std::string object;
  std::string body;
};
struct ReadObject {
  std::string object;
};
/// Asks the owner, possibly this daemon, for the outcome of a claim.
struct QueryOwner {
  std::string key;
  ClaimRecord existing;
};
struct ReadClaim {
  std::string key;
};
/// Replaces a timer with the same id.
struct SetTimer {
  std::uint32_t id = 0;
  TimePoint at;
};

using Action = std::variant<SelectEndpoint, Claim, ReleaseClaim, Send, CloseAttempt, Answer,
                            RejectRequest, PublishOutcome, RecordOutcome, StoreObject, ReadObject,
                            QueryOwner, ReadClaim, SetTimer>;

}  // namespace call

/// Decides how one call to an application engine is claimed, sent and answered (P4, P5, P6). A
/// call that is not idempotent is sent at most once: only an attempt of which no byte was sent is
/// followed by another. Not thread-safe.
class Call {
 public:
  using Event = call::Event;
  using Action = call::Action;

  explicit Call(CallConfig config) : m_config(std::move(config)) {}

  /// Appends the actions that answer `event`. Events after the end are ignored.
  void Handle(const Event& event, TimePoint now, std::vector<Action>& actions);

  /// Returns whether no further action will follow.
  bool Ended() const { return m_state == State::kEnded; }
  /// Returns whether the caller has its answer or refusal, or is gone.
  bool Answered() const { return m_answered; }

 private:
  enum class State {
    kIdle,
    kSelecting,
    kClaiming,
    kSent,
    kAskingOwner,
    kReadingClaim,
    /// No endpoint; an earlier call with the key may have an outcome.
    kCheckingClaim,
    kReadingObject,
    kRetryingClaim,
    kStoringObject,
    kEnded,
  };

  void On(const call::Start& event, TimePoint now, std::vector<Action>& actions);
  void On(const call::EndpointSelected& event, TimePoint now, std::vector<Action>& actions);
  void On(const call::NoEndpoint& event, TimePoint now, std::vector<Action>& actions);
  void On(const call::ClaimWritten& event, TimePoint now, std::vector<Action>& actions);
  void On(const call::ClaimExists& event, TimePoint now, std::vector<Action>& actions);
  void On(const call::ClaimUnavailable& event, TimePoint now, std::vector<Action>& actions);
  void On(const call::ResponseReceived& event, TimePoint now, std::vector<Action>& actions);
  void On(const call::AttemptFailed& event, TimePoint now, std::vector<Action>& actions);
  void On(const call::OwnerReplied& event, TimePoint now, std::vector<Action>& actions);
  void On(const call::ClaimRead& event, TimePoint now, std::vector<Action>& actions);
  void On(const call::ObjectStored& event, TimePoint now, std::vector<Action>& actions);
  void On(const call::ObjectRead& event, TimePoint now, std::vector<Action>& actions);
  void On(const call::TimerFired& event, TimePoint now, std::vector<Action>& actions);
  void On(const call::CallerGone& event, TimePoint now, std::vector<Action>& actions);

  void Select(bool retry, std::vector<Action>& actions);
  void SendNow(TimePoint now, std::vector<Action>& actions);
  /// Continues with the claim of another call with the same key.
  void Adopt(const ClaimRecord& existing, std::vector<Action>& actions);
  /// Ends a call of which no byte was sent.
  void GiveUpUnsent(ResultCode code, Duration retry_after, std::vector<Action>& actions);
  void RetryClaim(TimePoint now, std::vector<Action>& actions);
  /// Answers from a record that another call has written.
  void AnswerFrom(const ClaimRecord& record, std::vector<Action>& actions);
  void FinishSent(ClaimState state, const CallResponse& answer, std::vector<Action>& actions);
  void OnDeadline(TimePoint now, std::vector<Action>& actions);
  void AnswerCaller(const CallResponse& answer, std::vector<Action>& actions);
  void RefuseCaller(ResultCode code, Duration retry_after, std::vector<Action>& actions);

  CallConfig m_config;
  State m_state = State::kIdle;
  TimePoint m_started;
  EndpointId m_endpoint;
  std::vector<EndpointId> m_excluded;
  std::uint32_t m_selection = 0;
  std::uint32_t m_attempt = 0;
  std::uint32_t m_claim_retries = 0;
  std::uint64_t m_version = 0;
  ClaimRecord m_existing;
  call::NoEndpoint m_no_endpoint;
  bool m_claimed = false;
  /// A byte of an earlier attempt may have reached an endpoint.
  bool m_may_have_run = false;
  bool m_answered = false;
  bool m_caller_gone = false;
};

}  // namespace fulmarpoint
