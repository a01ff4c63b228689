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

/// How a call is protected from running twice.
enum class CallProtection {
  /// None: the route is idempotent, so the call may be retried.
  kIdempotent,
  /// The caller chose the idempotency key; a row of the table `claims` claims it.
  kClaimed,
  /// A daemon issued the idempotency key; `KeyIssuer::Begin` has returned `kRun`.
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
  /// Longest time between the check of the key's age and the sending. Keeps a daemon that was
  /// paused after its claim from sending a call whose claim may have been deleted.
  Duration send_limit = std::chrono::seconds(5);
  /// Longest wait for the table service.
  Duration claim_limit = std::chrono::seconds(2);
  /// How long to wait for an answer after the deadline, so that a retry of the caller receives it.
  Duration late_answer = std::chrono::seconds(60);
  std::uint32_t max_attempts = 3;
  /// Answer bodies with more bytes are kept in the object store.
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
  /// The call was not sent and never will be. The owner deletes the claim.
  kReleased,
  /// The owner has no call with this claim token.
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
/// Answer to `QueryOwner`. The owner does not answer while the call is running.
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
  /// True if this is not the first attempt. Retries are subject to the retry budget.
  bool retry = false;
};
/// Claims the key: `OwnedCalls::Begin` and `ClaimRequested`.
struct Claim {
  std::string key;
  ClaimRecord record;
  TimePoint deadline;
};
/// Releases the claim of a call of which no byte was sent and none will be: `OwnedCalls::Abandon`
/// and, if `version` is not 0, `ReleaseRequested`; for daemon-issued keys `KeyIssuer::Abandon`.
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
/// Sends an answer to the caller. Of this and `RejectRequest` at most one is emitted, once.
struct Answer {
  CallResponse answer;
};
/// Sends an error to the caller.
struct RejectRequest {
  ResultCode code = ResultCode::kInternal;
  Duration retry_after = Duration::zero();
};
/// Publishes the outcome to calls that wait for it at this daemon: `OwnedCalls::Finish` or
/// `KeyIssuer::Finish`.
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
/// Queries the owner of a claim, possibly this daemon, for the outcome.
struct QueryOwner {
  std::string key;
  ClaimRecord existing;
};
struct ReadClaim {
  std::string key;
};
/// Sets a timer. Replaces an earlier one with the same id.
struct SetTimer {
  std::uint32_t id = 0;
  TimePoint at;
};

using Action = std::variant<SelectEndpoint, Claim, ReleaseClaim, Send, CloseAttempt, Answer,
                            RejectRequest, PublishOutcome, RecordOutcome, StoreObject, ReadObject,
                            QueryOwner, ReadClaim, SetTimer>;

}  // namespace call

/// State machine that decides how one call to an application engine is claimed, sent and answered
/// (P4, P5, P6). A call that is not idempotent is sent at most once: it is retried only after an
/// attempt of which no byte was sent. Not thread-safe.
class Call {
 public:
  using Event = call::Event;
  using Action = call::Action;

  explicit Call(CallConfig config) : m_config(std::move(config)) {}

  /// Appends the actions that follow from `event`. Events after the end are ignored.
  void Handle(const Event& event, TimePoint now, std::vector<Action>& actions);

  /// Returns whether no further action will follow.
  bool Ended() const { return m_state == State::kEnded; }
  /// Returns whether the caller was sent an answer or an error, or has disconnected.
  bool Answered() const { return m_answered; }

 private:
  enum class State {
    kIdle,
    kSelecting,
    kClaiming,
    kSent,
    kQueryingOwner,
    kReadingClaim,
    /// There is no endpoint, but an earlier call with the key may have an outcome.
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
  void SendAttempt(TimePoint now, std::vector<Action>& actions);
  /// Continues with the claim that another call with the same key has made.
  void ContinueWithExisting(const ClaimRecord& existing, std::vector<Action>& actions);
  /// Ends a call of which no byte was sent in the current attempt.
  void FailUnsent(ResultCode code, Duration retry_after, std::vector<Action>& actions);
  void RetryClaim(TimePoint now, std::vector<Action>& actions);
  /// Answers the caller from the record of another call.
  void AnswerFrom(const ClaimRecord& record, std::vector<Action>& actions);
  void FinishSent(ClaimState state, const CallResponse& answer, std::vector<Action>& actions);
  void OnDeadline(TimePoint now, std::vector<Action>& actions);
  void AnswerCaller(const CallResponse& answer, std::vector<Action>& actions);
  void RejectCaller(ResultCode code, Duration retry_after, std::vector<Action>& actions);

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
  /// Whether a byte of an earlier attempt may have reached an endpoint.
  bool m_may_have_run = false;
  bool m_answered = false;
  bool m_caller_gone = false;
};

}  // namespace fulmarpoint
