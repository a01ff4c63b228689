#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "utils/enum_names.h"
#include "utils/time.h"
#include "verification/checker.h"

namespace fulmarpoint {

enum class ScenarioKind {
  kGenerationResource,
  kGenerationLatency,
  /// No endpoint with the version of the first attempt is left when a resumption selects one.
  kGenerationVersionGone,
  kCallClaimed,
  kCallIssued,
  kCallIdempotent,
};

inline constexpr std::array<EnumName<ScenarioKind>, 6> kScenarioNames = {{
    {ScenarioKind::kGenerationResource, "generation_resource"},
    {ScenarioKind::kGenerationLatency, "generation_latency"},
    {ScenarioKind::kGenerationVersionGone, "generation_version_gone"},
    {ScenarioKind::kCallClaimed, "call_claimed"},
    {ScenarioKind::kCallIssued, "call_issued"},
    {ScenarioKind::kCallIdempotent, "call_idempotent"},
}};

/// Point in the processing of a request at which a fault is injected.
enum class Step {
  kLookup,
  kAdmission,
  kClaim,
  kSend,
  kFirstToken,
  kMidStream,
  kLastToken,
  kOutcome,
  kAnswer,
};

inline constexpr std::array<EnumName<Step>, 9> kStepNames = {{
    {Step::kLookup, "lookup"},
    {Step::kAdmission, "admission"},
    {Step::kClaim, "claim"},
    {Step::kSend, "send"},
    {Step::kFirstToken, "first_token"},
    {Step::kMidStream, "mid_stream"},
    {Step::kLastToken, "last_token"},
    {Step::kOutcome, "outcome"},
    {Step::kAnswer, "answer"},
}};

enum class Fault {
  kEndpointCrash,
  kEndpointPause,
  kEndpointSlow,
  kEndpointRefuses,
  /// Open connections to the endpoint drop all traffic without being closed.
  kBlackholedConnection,
  kDaemonCrash,
  kDaemonPause,
  kDaemonDrain,
  kPartitionDaemons,
  kPartitionEndpoint,
  kPartitionStore,
  kStoreDown,
  kStoreSlow,
  kStoreResponseLost,
  kStoreDelayedWrite,
  kAnswerLost,
  kAnswerLate,
  /// Two messages of a stream are reordered, or the answers to two calls are swapped.
  kAnswersSwapped,
  kAnswerDuplicated,
  kCallerGone,
  kCallerSlow,
  /// The caller drops its connection and sends the request to another daemon.
  kCallerSwitchesDaemon,
  /// Daemons select endpoints that have crashed.
  kStaleList,
  /// Daemons select endpoints that reject the request.
  kWrongList,
};

inline constexpr std::array<EnumName<Fault>, 24> kFaultNames = {{
    {Fault::kEndpointCrash, "endpoint_crash"},
    {Fault::kEndpointPause, "endpoint_pause"},
    {Fault::kEndpointSlow, "endpoint_slow"},
    {Fault::kEndpointRefuses, "endpoint_refuses"},
    {Fault::kBlackholedConnection, "silent_connection"},
    {Fault::kDaemonCrash, "daemon_crash"},
    {Fault::kDaemonPause, "daemon_pause"},
    {Fault::kDaemonDrain, "daemon_drain"},
    {Fault::kPartitionDaemons, "partition_daemons"},
    {Fault::kPartitionEndpoint, "partition_endpoint"},
    {Fault::kPartitionStore, "partition_store"},
    {Fault::kStoreDown, "store_down"},
    {Fault::kStoreSlow, "store_slow"},
    {Fault::kStoreResponseLost, "store_response_lost"},
    {Fault::kStoreDelayedWrite, "store_delayed_write"},
    {Fault::kAnswerLost, "answer_lost"},
    {Fault::kAnswerLate, "answer_late"},
    {Fault::kAnswersSwapped, "answer_crossed"},
    {Fault::kAnswerDuplicated, "answer_doubled"},
    {Fault::kCallerGone, "caller_gone"},
    {Fault::kCallerSlow, "caller_slow"},
    {Fault::kCallerSwitchesDaemon, "caller_elsewhere"},
    {Fault::kStaleList, "stale_list"},
    {Fault::kWrongList, "wrong_list"},
}};

/// Defects that can be built into the simulated daemon, to verify that the checker detects them.
enum class Mutation {
  kNone,
  /// Messages of earlier attempts are accepted.
  kAcceptAnyAttempt,
  /// Each token is taken for the next one.
  kAcceptAnyPosition,
  /// The end of a stream is accepted although tokens are missing.
  kFinishEarly,
  kOtherSeedOnResume,
  kOtherVersionOnResume,
  /// A resumption skips a token.
  kEventIdTooFar,
  /// A call is sent before its claim is written.
  kSendBeforeClaim,
  /// An existing claim is ignored after 1 s.
  kExpireClaimEarly,
  kIgnoreExistingClaim,
  /// A claim is deleted if its owner does not reply.
  kTakeOverUnreachable,
  /// A failure after the call was sent is reported as *not run*.
  kNotRunAfterSend,
  /// Calls are retried although they are not idempotent.
  kRetryAfterFailure,
  kForgetIssuedOutcome,
  /// A call is run although another daemon issued its idempotency key.
  kRunKeyOfOtherIssuer,
  kAcceptSwappedAnswer,
};

inline constexpr std::array<EnumName<Mutation>, 16> kMutationNames = {{
    {Mutation::kNone, "none"},
    {Mutation::kAcceptAnyAttempt, "accept_any_attempt"},
    {Mutation::kAcceptAnyPosition, "accept_any_position"},
    {Mutation::kFinishEarly, "finish_early"},
    {Mutation::kOtherSeedOnResume, "other_seed_on_resume"},
    {Mutation::kOtherVersionOnResume, "other_version_on_resume"},
    {Mutation::kEventIdTooFar, "event_id_too_far"},
    {Mutation::kSendBeforeClaim, "send_before_claim"},
    {Mutation::kExpireClaimEarly, "expire_claim_early"},
    {Mutation::kIgnoreExistingClaim, "take_foreign_claim"},
    {Mutation::kTakeOverUnreachable, "take_over_unreachable"},
    {Mutation::kNotRunAfterSend, "not_run_after_send"},
    {Mutation::kRetryAfterFailure, "repeat_after_failure"},
    {Mutation::kForgetIssuedOutcome, "forget_issued_outcome"},
    {Mutation::kRunKeyOfOtherIssuer, "run_foreign_issued_key"},
    {Mutation::kAcceptSwappedAnswer, "accept_crossed_answer"},
}};

/// Fault and the step at which it is injected.
struct PlannedFault {
  Fault fault = Fault::kEndpointCrash;
  Step step = Step::kLookup;
};

/// Plan of a simulation. Each fault is injected when the first request reaches its step.
struct RequestPlan {
  ScenarioKind kind = ScenarioKind::kGenerationResource;
  std::vector<PlannedFault> faults;
  std::uint64_t seed = 1;
  Mutation mutation = Mutation::kNone;
};

/// Result of a simulation.
struct RequestSimulationResult {
  History history;
  std::vector<Violation> violations;
  /// Result for the caller of the first request: "answer", "gone" if it stopped waiting,
  /// "no_daemon" if it used up its sends, "status_" and an HTTP status, the name of a result code,
  /// or "none" if it was still waiting at the end.
  std::string result;
  /// Whether each fault of the plan was injected.
  std::vector<bool> injected;
  /// Longest time between two tokens at the caller of the first request.
  Duration longest_gap = Duration::zero();
};

inline bool IsGeneration(ScenarioKind kind) { return kind <= ScenarioKind::kGenerationVersionGone; }

/// Returns a text that identifies the plan, for failure messages.
std::string Describe(const RequestPlan& plan);

/// Simulates a plan with virtual time and checks its history.
RequestSimulationResult SimulateRequests(const RequestPlan& plan);

}  // namespace fulmarpoint
