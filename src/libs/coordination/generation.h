#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "coordination/interval_estimator.h"
#include "protocol/catalogue.h"
#include "protocol/identifiers.h"
#include "protocol/result_code.h"
#include "protocol/resume_point.h"
#include "utils/enum_names.h"
#include "utils/random.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Fixed properties of one generation. All attempts use the same model, adapter and seed, and the
/// version that produced the first token.
struct GenerationConfig {
  RequestId request;
  ServiceClass service_class = ServiceClass::kResource;
  std::string model;
  std::string adapter;
  std::uint64_t seed = 0;
  std::uint64_t max_tokens = 0;
  /// Hash of the request, see `GenerationRequestHash`; compared with the hash in the event ID.
  std::uint64_t request_hash = 0;
  /// Tokens that the caller has already received and sent back.
  std::vector<std::string> prefix_tokens;
  /// Content of the caller's verified event ID, if it resumes.
  std::optional<ResumePoint> resume;
  /// Expected time between tokens until it has been measured.
  Duration token_interval = std::chrono::milliseconds(27);
  /// Longest time without a new token, counted from the first failure, before the request fails.
  Duration recovery_limit = std::chrono::seconds(10);
};

/// Returns the hash with which a resumed request is compared with the original. Thread-safe.
std::uint64_t GenerationRequestHash(std::string_view model, std::string_view adapter,
                                    std::string_view prompt, std::uint64_t max_tokens);

/// Which endpoints the router should choose from.
enum class EndpointPreference { kAny, kCachedPrefix };

/// Progress of the other streams of an engine.
enum class EngineActivity { kUnknown, kProgressing, kStalled };

enum class AttemptFailure {
  /// The connection was refused or could not be made; no byte was sent.
  kNotConnected,
  /// The engine responded that it accepts no requests now.
  kRefused,
  /// The connection broke after the request was sent.
  kConnectionLost,
  /// The engine does not have the stream (404).
  kStreamNotHeld,
  /// The engine's response was malformed.
  kBadAnswer,
};

enum class GenerationDecision {
  kReconnect,
  kProbeFailed,
  kStalledAfterProbe,
  kSecondAttempt,
  kSecondAttemptWon,
  kSecondAttemptLost,
  kOtherEngine,
  kEngineRefused,
  kFreshStart,
  kTokenDropped,
  kSlotReleased,
  kSlotRegained,
};

inline constexpr std::array<EnumName<GenerationDecision>, 12> kGenerationDecisionNames = {{
    {GenerationDecision::kReconnect, "reconnect"},
    {GenerationDecision::kProbeFailed, "probe_failed"},
    {GenerationDecision::kStalledAfterProbe, "silent_after_probe"},
    {GenerationDecision::kSecondAttempt, "second_attempt"},
    {GenerationDecision::kSecondAttemptWon, "second_attempt_won"},
    {GenerationDecision::kSecondAttemptLost, "second_attempt_lost"},
    {GenerationDecision::kOtherEngine, "other_engine"},
    {GenerationDecision::kEngineRefused, "engine_refused"},
    {GenerationDecision::kFreshStart, "fresh_start"},
    {GenerationDecision::kTokenDropped, "token_dropped"},
    {GenerationDecision::kSlotReleased, "slot_released"},
    {GenerationDecision::kSlotRegained, "slot_regained"},
}};

namespace generation {

// Events.

struct Start {};
/// Answer to `SelectEndpoint`.
struct EndpointSelected {
  std::uint32_t selection = 0;
  EndpointId endpoint;
  VersionName version;
  /// Expected time to the first token for queueing and prefill.
  Duration predicted_wait = Duration::zero();
  /// Earliest time to open the attempt; later than now if the resumption budget delays it.
  TimePoint not_before;
};
/// Answer to `SelectEndpoint` if no endpoint is available.
struct NoEndpoint {
  std::uint32_t selection = 0;
  /// No endpoint has the requested version any more.
  bool version_gone = false;
  /// Error to report if no attempt was sent; one of the codes that mean *not run*.
  ResultCode code = ResultCode::kNoEndpoint;
  Duration retry_after = Duration::zero();
};
struct TokenReceived {
  std::uint32_t attempt = 0;
  std::uint64_t position = 0;
  std::string token;
};
struct StreamEnded {
  std::uint32_t attempt = 0;
  std::uint64_t total = 0;
};
/// A connection of an attempt failed.
struct AttemptFailed {
  std::uint32_t attempt = 0;
  std::uint32_t connection = 0;
  AttemptFailure failure = AttemptFailure::kConnectionLost;
};
/// The engine accepted a connection made by `ReconnectAttempt` (response head 200).
struct Reconnected {
  std::uint32_t attempt = 0;
  std::uint32_t connection = 0;
};
/// `activity` is the driver's information on the engine of the current attempt.
struct TimerFired {
  std::uint32_t id = 0;
  EngineActivity activity = EngineActivity::kUnknown;
};
/// The caller's buffer exceeded its high-water mark.
struct CallerBufferFull {};
/// The caller has drained its buffer.
struct CallerBufferDrained {};
/// Release the slot at the engine and forget the tokens from `position` on, the first one that the
/// driver has neither written to the caller nor buffered. Sent again if the driver drops more of
/// its buffer later. Precondition: `CanRegenerate()`.
struct SlotReleased {
  std::uint64_t position = 0;
};
struct CallerGone {};
/// The deadline of the request has passed.
struct DeadlinePassed {};
/// The daemon is stopping and the caller is to continue at another daemon.
struct HandOff {};

using Event = std::variant<Start, EndpointSelected, NoEndpoint, TokenReceived, StreamEnded,
                           AttemptFailed, Reconnected, TimerFired, CallerBufferFull,
                           CallerBufferDrained, SlotReleased, CallerGone, DeadlinePassed, HandOff>;

// Actions.

struct SelectEndpoint {
  std::uint32_t selection = 0;
  EndpointPreference preference = EndpointPreference::kAny;
  /// Required version, if set.
  std::optional<VersionName> version;
  std::vector<EndpointId> excluded;
  /// Not the first attempt, so the resumption budget applies.
  bool resumption = false;
};
/// POST /v1/streams on a new connection.
struct OpenAttempt {
  std::uint32_t attempt = 0;
  std::uint32_t connection = 0;
  EndpointId endpoint;
  std::string stream;
  std::string model;
  std::string adapter;
  VersionName version;
  std::uint64_t seed = 0;
  std::uint64_t max_tokens = 0;
  std::vector<std::string> prefix_tokens;
};
/// GET /v1/streams/ID?from=N on a new connection; the previous connection stays open.
struct ReconnectAttempt {
  std::uint32_t attempt = 0;
  std::uint32_t connection = 0;
  EndpointId endpoint;
  std::string stream;
  std::uint64_t from = 0;
};
struct CloseConnection {
  std::uint32_t attempt = 0;
  std::uint32_t connection = 0;
};
/// Closes all connections of the attempt; if `at_engine`, also DELETE /v1/streams/ID.
struct CancelAttempt {
  std::uint32_t attempt = 0;
  EndpointId endpoint;
  std::string stream;
  bool at_engine = true;
  /// The engine stalled, which counts as a failure of the endpoint.
  bool stalled = false;
};
struct PauseReading {
  std::uint32_t attempt = 0;
};
struct ResumeReading {
  std::uint32_t attempt = 0;
};
/// Sends a token to the caller. `point` is the content of its event ID.
struct DeliverToken {
  std::uint64_t position = 0;
  std::string token;
  ResumePoint point;
};
struct Finish {
  std::uint64_t total = 0;
};
struct Fail {
  ResultCode code = ResultCode::kInternal;
  Duration retry_after = Duration::zero();
};
/// Sends `event: move` and closes the response; the engine keeps the stream.
struct Move {};
/// Replaces a timer with the same ID.
struct SetTimer {
  std::uint32_t id = 0;
  TimePoint at;
};
/// For counters, logs and the operators' view of the request.
struct Decided {
  GenerationDecision decision = GenerationDecision::kReconnect;
  std::uint32_t attempt = 0;
  EndpointId endpoint;
  std::uint64_t position = 0;
};

using Action =
    std::variant<SelectEndpoint, OpenAttempt, ReconnectAttempt, CloseConnection, CancelAttempt,
                 PauseReading, ResumeReading, DeliverToken, Finish, Fail, Move, SetTimer, Decided>;

}  // namespace generation

/// State machine of one generation: starts, monitors and continues it (P1, P2, P4). There are at
/// most two attempts: the current one, whose tokens are delivered, and in class `latency` a second
/// one while the current one is suspected to have failed. Not thread-safe.
class Generation {
 public:
  using Event = generation::Event;
  using Action = generation::Action;

  Generation(GenerationConfig config, Random random);

  /// Appends the actions for `event`. Events after the end are ignored.
  void Handle(const Event& event, TimePoint now, std::vector<Action>& actions);

  /// Returns whether `Finish`, `Fail` or `Move` was emitted or the caller is gone.
  bool Ended() const { return m_state == State::kEnded; }
  /// Returns the position of the next token.
  std::uint64_t NextPosition() const { return m_base + m_tokens.size(); }
  /// Returns the content of the event ID for the tokens delivered so far.
  ResumePoint Point() const;
  /// Returns whether the tokens after any delivered position can be generated again, so that the
  /// slot may be released.
  bool CanRegenerate() const { return m_base == 0; }
  /// Returns the number of tokens dropped because they belonged to another attempt or were not at
  /// the next position.
  std::uint64_t DroppedTokens() const { return m_dropped_tokens; }

 private:
  enum class State { kIdle, kActive, kReleased, kEnded };
  enum class Phase { kWaitingToOpen, kOpening, kStreaming, kProbing };

  struct Attempt {
    std::uint32_t number = 0;
    std::uint32_t connection = 0;
    /// The previous connection while `connection` is not known to work; 0 if none.
    std::uint32_t previous_connection = 0;
    EndpointId endpoint;
    std::string stream;
    VersionName version;
    Duration predicted_wait = Duration::zero();
    TimePoint not_before;
    Phase phase = Phase::kWaitingToOpen;
    TimePoint last_progress;
    /// Start of the current probe.
    TimePoint probe_since;
    /// A new connection was attempted since the last token.
    bool reconnected = false;
    /// No token arrived within the stall timeout.
    bool stalled = false;
    bool has_token = false;
  };

  void On(const generation::Start& event, TimePoint now, std::vector<Action>& actions);
  void On(const generation::EndpointSelected& event, TimePoint now, std::vector<Action>& actions);
  void On(const generation::NoEndpoint& event, TimePoint now, std::vector<Action>& actions);
  void On(const generation::TokenReceived& event, TimePoint now, std::vector<Action>& actions);
  void On(const generation::StreamEnded& event, TimePoint now, std::vector<Action>& actions);
  void On(const generation::AttemptFailed& event, TimePoint now, std::vector<Action>& actions);
  void On(const generation::Reconnected& event, TimePoint now, std::vector<Action>& actions);
  void On(const generation::TimerFired& event, TimePoint now, std::vector<Action>& actions);
  void On(const generation::CallerBufferFull& event, TimePoint now, std::vector<Action>& actions);
  void On(const generation::CallerBufferDrained& event, TimePoint now,
          std::vector<Action>& actions);
  void On(const generation::SlotReleased& event, TimePoint now, std::vector<Action>& actions);
  void On(const generation::CallerGone& event, TimePoint now, std::vector<Action>& actions);
  void On(const generation::DeadlinePassed& event, TimePoint now, std::vector<Action>& actions);
  void On(const generation::HandOff& event, TimePoint now, std::vector<Action>& actions);

  bool CheckResumePoint(std::vector<Action>& actions);
  void Select(EndpointPreference preference, std::vector<Action>& actions);
  void Open(Attempt& attempt, TimePoint now, std::vector<Action>& actions);
  void Reconnect(Attempt& attempt, TimePoint now, std::vector<Action>& actions);
  /// Cancels `m_current` and continues with the second attempt or another engine.
  void AbandonCurrent(TimePoint now, bool at_engine, std::vector<Action>& actions);
  void OnConnectionFailure(AttemptFailure failure, TimePoint now, std::vector<Action>& actions);
  void SelectOther(TimePoint now, std::vector<Action>& actions);
  void PromoteSecond(TimePoint now, std::vector<Action>& actions);
  void OnStall(EngineActivity activity, TimePoint now, std::vector<Action>& actions);
  void CheckProgress(std::uint32_t timer, Attempt& attempt, EngineActivity activity, TimePoint now,
                     std::vector<Action>& actions);
  void ArmProgressTimer(const Attempt& attempt, std::vector<Action>& actions);
  void DropSecond(std::vector<Action>& actions);
  void FailRequest(ResultCode not_run_code, Duration retry_after, std::vector<Action>& actions);
  void End(bool at_engine, std::vector<Action>& actions);
  void Cancel(const Attempt& attempt, bool at_engine, std::vector<Action>& actions);
  void Decide(GenerationDecision decision, const Attempt& attempt, std::vector<Action>& actions);
  bool IsSecond(std::uint32_t attempt) const;
  Duration ProgressTimeout(const Attempt& attempt) const;
  std::string NewStreamId();

  GenerationConfig m_config;
  Random m_random;
  State m_state = State::kIdle;
  bool m_reading_paused = false;
  /// Position of the first token in `m_tokens`. Only the caller has the tokens before it.
  std::uint64_t m_base = 0;
  std::vector<std::string> m_tokens;
  std::uint64_t m_token_hash = 0;
  /// Version of the first attempt; fixed once a token was delivered.
  std::optional<VersionName> m_version;
  std::optional<Attempt> m_current;
  std::optional<Attempt> m_second;
  std::uint32_t m_last_attempt = 0;
  std::uint32_t m_last_connection = 0;
  std::uint32_t m_selection = 0;
  bool m_selecting = false;
  EndpointPreference m_preference = EndpointPreference::kAny;
  std::vector<EndpointId> m_excluded;
  bool m_may_have_run = false;
  std::optional<TimePoint> m_recovery_since;
  std::uint32_t m_attempts_without_token = 0;
  IntervalEstimator m_intervals;
  std::uint64_t m_dropped_tokens = 0;
};

}  // namespace fulmarpoint
