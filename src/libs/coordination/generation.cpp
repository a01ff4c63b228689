#include "coordination/generation.h"

#include <algorithm>
#include <utility>

#include "utils/overloaded.h"
#include "utils/soft_assert.h"

namespace fulmarpoint {

using namespace generation;

namespace {

constexpr Duration kProbeTimeout = std::chrono::milliseconds(400);
constexpr Duration kFirstTokenAllowance = std::chrono::seconds(1);
/// A timer that fires this much later than set shows that this process was paused, so the silence
/// says nothing about the engine.
constexpr Duration kPauseThreshold = std::chrono::milliseconds(200);
constexpr Duration kSelectionRetry = std::chrono::milliseconds(200);
/// Bounds the engines that one request can occupy or crash without producing a token.
constexpr std::uint32_t kMaxAttemptsWithoutToken = 6;
/// Wait before the third attempt without a token; doubles for each further one. Without it, a
/// fault that breaks every connection for 3 s uses up all attempts in a fraction of a second.
constexpr Duration kAttemptBackoff = std::chrono::milliseconds(200);

enum Timer : std::uint32_t {
  kCurrentTimer = 1,
  kSecondTimer = 2,
  kSelectTimer = 3,
};

}  // namespace

std::uint64_t GenerationRequestHash(std::string_view model, std::string_view adapter,
                                    std::string_view prompt, std::uint64_t max_tokens) {
  std::uint64_t hash = StableHash(model);
  hash = StableHash(adapter, hash);
  hash = StableHash(prompt, hash);
  return StableHash(std::to_string(max_tokens), hash);
}

Generation::Generation(GenerationConfig config, Random random)
    : m_config(std::move(config)), m_random(random), m_intervals(m_config.token_interval) {}

void Generation::Handle(const Event& event, TimePoint now, std::vector<Action>& actions) {
  if (m_state == State::kEnded) return;
  std::visit([&](const auto& specific) { On(specific, now, actions); }, event);
}

ResumePoint Generation::Point() const {
  ResumePoint point;
  point.request = m_config.request;
  point.seed = m_config.seed;
  point.position = NextPosition();
  point.token_hash = m_token_hash;
  point.request_hash = m_config.request_hash;
  point.attempt = m_last_attempt;
  point.version = m_version.value_or("");
  if (m_current) {
    point.endpoint = m_current->endpoint;
    point.stream = m_current->stream;
    point.attempt = m_current->number;
  }
  return point;
}

bool Generation::CheckResumePoint(std::vector<Action>& actions) {
  const ResumePoint& point = *m_config.resume;
  bool matches = point.request_hash == m_config.request_hash;
  if (matches && !m_config.prefix_tokens.empty()) {
    std::uint64_t hash = 0;
    for (const std::string& token : m_config.prefix_tokens) hash = ChainTokenHash(hash, token);
    matches = m_config.prefix_tokens.size() == point.position && hash == point.token_hash;
  }
  if (matches) return true;
  // Continuing from other tokens than the delivered ones would splice two answers.
  actions.push_back(Fail{ResultCode::kBadEventId, Duration::zero()});
  m_state = State::kEnded;
  return false;
}

void Generation::On(const Start&, TimePoint now, std::vector<Action>& actions) {
  SOFT_ASSERT(m_state == State::kIdle, return );
  m_state = State::kActive;
  if (!m_config.resume) {
    if (!m_config.prefix_tokens.empty()) {
      // Without an event id nothing proves which version and seed produced these tokens.
      actions.push_back(Fail{ResultCode::kBadEventId, Duration::zero()});
      m_state = State::kEnded;
      return;
    }
    Select(EndpointPreference::kAny, actions);
    return;
  }
  if (!CheckResumePoint(actions)) return;
  const ResumePoint& point = *m_config.resume;
  m_may_have_run = true;
  m_config.request = point.request;
  m_config.seed = point.seed;
  m_version = point.version;
  m_token_hash = point.token_hash;
  m_last_attempt = point.attempt;
  m_tokens = m_config.prefix_tokens;
  m_base = point.position - m_tokens.size();
  m_recovery_since = now;
  if (m_config.max_tokens != 0 && point.position >= m_config.max_tokens) {
    actions.push_back(Finish{point.position});
    m_state = State::kEnded;
    return;
  }
  Attempt resumed;
  resumed.number = point.attempt;
  resumed.endpoint = point.endpoint;
  resumed.stream = point.stream;
  resumed.version = point.version;
  resumed.last_progress = now;
  m_current = std::move(resumed);
  Reconnect(*m_current, now, actions);
}

void Generation::Select(EndpointPreference preference, std::vector<Action>& actions) {
  m_selecting = true;
  m_preference = preference;
  ++m_selection;
  const bool resumption = m_last_attempt > 0;
  actions.push_back(SelectEndpoint{m_selection, preference, m_version, m_excluded, resumption});
}

void Generation::On(const EndpointSelected& event, TimePoint now, std::vector<Action>& actions) {
  if (!m_selecting || event.selection != m_selection) return;
  m_selecting = false;
  const bool same_version = !m_version || *m_version == event.version;
  SOFT_ASSERT(same_version, return FailRequest(ResultCode::kInternal, Duration::zero(), actions));
  m_version = event.version;
  Attempt attempt;
  attempt.number = ++m_last_attempt;
  attempt.endpoint = event.endpoint;
  attempt.stream = NewStreamId();
  attempt.version = event.version;
  attempt.predicted_wait = event.predicted_wait;
  attempt.not_before = std::max(event.not_before, now);
  attempt.last_progress = attempt.not_before;
  ++m_attempts_without_token;
  std::optional<Attempt>& slot = m_current ? m_second : m_current;
  slot = std::move(attempt);
  if (slot->not_before > now) {
    ArmProgressTimer(*slot, actions);
  } else {
    Open(*slot, now, actions);
  }
}

void Generation::On(const NoEndpoint& event, TimePoint now, std::vector<Action>& actions) {
  if (!m_selecting || event.selection != m_selection) return;
  if (m_preference == EndpointPreference::kCachedPrefix) {
    Select(EndpointPreference::kAny, actions);
    return;
  }
  m_selecting = false;
  // The second attempt is optional; the current one goes on.
  if (m_current) return;
  if (event.version_gone && m_version) {
    if (NextPosition() > 0) {
      actions.push_back(Fail{ResultCode::kVersionGone, Duration::zero()});
      End(true, actions);
      return;
    }
    actions.push_back(Decided{GenerationDecision::kFreshStart, m_last_attempt, {}, 0});
    m_version.reset();
    Select(EndpointPreference::kAny, actions);
    return;
  }
  if (!m_may_have_run && m_excluded.empty()) {
    FailRequest(event.code, event.retry_after, actions);
    return;
  }
  if (!m_recovery_since) m_recovery_since = now;
  if (now - *m_recovery_since >= m_config.recovery_limit) {
    FailRequest(event.code, event.retry_after, actions);
    return;
  }
  // Every endpoint is excluded or busy: an excluded one may have recovered.
  m_excluded.clear();
  m_selecting = true;
  const Duration wait = std::clamp(event.retry_after, kSelectionRetry, kFirstTokenAllowance);
  actions.push_back(SetTimer{kSelectTimer, now + wait});
}

void Generation::Open(Attempt& attempt, TimePoint now, std::vector<Action>& actions) {
  attempt.phase = Phase::kOpening;
  attempt.connection = ++m_last_connection;
  attempt.last_progress = now;
  m_may_have_run = true;
  OpenAttempt open;
  open.attempt = attempt.number;
  open.connection = attempt.connection;
  open.endpoint = attempt.endpoint;
  open.stream = attempt.stream;
  open.model = m_config.model;
  open.adapter = m_config.adapter;
  open.version = attempt.version;
  open.seed = m_config.seed;
  open.max_tokens = m_config.max_tokens;
  open.prefix_tokens = m_tokens;
  actions.push_back(std::move(open));
  if (m_reader_paused) actions.push_back(PauseReading{attempt.number});
  ArmProgressTimer(attempt, actions);
}

void Generation::Reconnect(Attempt& attempt, TimePoint now, std::vector<Action>& actions) {
  attempt.phase = Phase::kProbing;
  attempt.reconnected = true;
  attempt.previous_connection = attempt.connection;
  attempt.connection = ++m_last_connection;
  attempt.probe_since = now;
  if (!m_recovery_since) m_recovery_since = now;
  Decide(GenerationDecision::kReconnect, attempt, actions);
  actions.push_back(ReconnectAttempt{attempt.number, attempt.connection, attempt.endpoint,
                                     attempt.stream, NextPosition()});
  if (m_reader_paused) actions.push_back(PauseReading{attempt.number});
  ArmProgressTimer(attempt, actions);
}

void Generation::On(const TokenReceived& event, TimePoint now, std::vector<Action>& actions) {
  const bool next = event.position == NextPosition() && m_state == State::kActive;
  if (next && IsSecond(event.attempt)) PromoteSecond(now, actions);
  if (!next || !m_current || event.attempt != m_current->number) {
    ++m_dropped_tokens;
    return;
  }
  if (m_current->phase == Phase::kStreaming) m_intervals.Add(now - m_current->last_progress);
  const bool timer_was_early = m_current->phase == Phase::kStreaming;
  m_current->phase = Phase::kStreaming;
  m_current->last_progress = now;
  m_current->reconnected = false;
  m_current->silent = false;
  m_current->has_token = true;
  m_recovery_since.reset();
  m_attempts_without_token = 0;
  m_excluded.clear();
  DropSecond(actions);
  m_tokens.push_back(event.token);
  m_token_hash = ChainTokenHash(m_token_hash, event.token);
  actions.push_back(DeliverToken{event.position, event.token, Point()});
  // While tokens arrive, the timer set earlier is only moved when it fires.
  if (!timer_was_early) ArmProgressTimer(*m_current, actions);
}

void Generation::On(const StreamEnded& event, TimePoint now, std::vector<Action>& actions) {
  if (m_state != State::kActive) return;
  if (event.total == NextPosition() && IsSecond(event.attempt)) PromoteSecond(now, actions);
  if (!m_current || event.attempt != m_current->number) return;
  if (event.total == NextPosition()) {
    DropSecond(actions);
    actions.push_back(Finish{event.total});
    m_current.reset();
    End(false, actions);
    return;
  }
  // Tokens were lost on the way: the engine may still hold them.
  if (event.total > NextPosition() && !m_current->reconnected) {
    Reconnect(*m_current, now, actions);
    return;
  }
  AbandonCurrent(now, true, actions);
}

void Generation::On(const AttemptFailed& event, TimePoint now, std::vector<Action>& actions) {
  if (m_state != State::kActive) return;
  if (IsSecond(event.attempt)) {
    if (event.connection == m_second->connection) DropSecond(actions);
    return;
  }
  if (!m_current || event.attempt != m_current->number) return;
  if (event.connection == m_current->previous_connection) m_current->previous_connection = 0;
  if (event.connection != m_current->connection) return;
  if (m_current->phase == Phase::kStreaming && m_current->previous_connection != 0) {
    // The suspected connection went on delivering while the new one was made.
    m_current->connection = std::exchange(m_current->previous_connection, 0);
    return;
  }
  if (!m_recovery_since) m_recovery_since = now;
  OnConnectionFailure(event.failure, now, actions);
}

void Generation::OnConnectionFailure(AttemptFailure failure, TimePoint now,
                                     std::vector<Action>& actions) {
  switch (failure) {
    case AttemptFailure::kConnectionLost:
      if (!m_current->reconnected) return Reconnect(*m_current, now, actions);
      return AbandonCurrent(now, true, actions);
    case AttemptFailure::kRefused:
      Decide(GenerationDecision::kEngineRefused, *m_current, actions);
      return AbandonCurrent(now, false, actions);
    case AttemptFailure::kNotConnected:
    case AttemptFailure::kStreamNotHeld:
      return AbandonCurrent(now, false, actions);
    case AttemptFailure::kBadAnswer:
      return AbandonCurrent(now, true, actions);
  }
}

void Generation::On(const Reconnected& event, TimePoint now, std::vector<Action>& actions) {
  if (!m_current || event.attempt != m_current->number) return;
  if (event.connection != m_current->connection) return;
  if (m_current->previous_connection != 0) {
    actions.push_back(CloseConnection{event.attempt, m_current->previous_connection});
    m_current->previous_connection = 0;
  }
  if (m_current->phase != Phase::kProbing) return;
  // The engine is alive and holds the stream, so it gets one more period to go on.
  m_current->phase = Phase::kOpening;
  m_current->last_progress = now;
  ArmProgressTimer(*m_current, actions);
}

void Generation::AbandonCurrent(TimePoint now, bool at_engine, std::vector<Action>& actions) {
  Cancel(*m_current, at_engine, actions);
  m_excluded.push_back(m_current->endpoint);
  if (!m_recovery_since) m_recovery_since = now;
  m_current.reset();
  if (m_second) {
    PromoteSecond(now, actions);
    return;
  }
  SelectOther(now, actions);
}

void Generation::SelectOther(TimePoint now, std::vector<Action>& actions) {
  if (m_config.max_tokens != 0 && NextPosition() >= m_config.max_tokens) {
    actions.push_back(Finish{NextPosition()});
    End(true, actions);
    return;
  }
  const bool too_long = m_recovery_since && now - *m_recovery_since >= m_config.recovery_limit;
  if (too_long || m_attempts_without_token >= kMaxAttemptsWithoutToken || m_base > 0) {
    FailRequest(ResultCode::kNoEndpoint, Duration::zero(), actions);
    return;
  }
  actions.push_back(Decided{GenerationDecision::kOtherEngine, m_last_attempt, {}, NextPosition()});
  // A selection for the second attempt that is still open serves as well.
  if (m_selecting) return;
  if (m_attempts_without_token < 2) return Select(EndpointPreference::kCachedPrefix, actions);
  m_selecting = true;
  m_preference = EndpointPreference::kCachedPrefix;
  const Duration wait = kAttemptBackoff * (1 << (m_attempts_without_token - 2));
  actions.push_back(SetTimer{kSelectTimer, now + wait});
}

void Generation::PromoteSecond(TimePoint, std::vector<Action>& actions) {
  if (m_current) {
    Cancel(*m_current, true, actions);
    m_excluded.push_back(m_current->endpoint);
  }
  Decide(GenerationDecision::kSecondAttemptWon, *m_second, actions);
  m_current = std::move(m_second);
  m_second.reset();
  ArmProgressTimer(*m_current, actions);
}

void Generation::On(const TimerFired& event, TimePoint now, std::vector<Action>& actions) {
  if (m_state != State::kActive) return;
  if (event.id == kSelectTimer && m_selecting) {
    Select(m_preference, actions);
    return;
  }
  if (event.id == kCurrentTimer && m_current) {
    CheckProgress(kCurrentTimer, *m_current, event.activity, now, actions);
  } else if (event.id == kSecondTimer && m_second) {
    CheckProgress(kSecondTimer, *m_second, event.activity, now, actions);
  }
}

Duration Generation::ProgressTimeout(const Attempt& attempt) const {
  switch (attempt.phase) {
    case Phase::kWaitingToOpen:
      return Duration::zero();
    case Phase::kProbing:
      return kProbeTimeout;
    case Phase::kOpening:
      if (!attempt.has_token) return attempt.predicted_wait + kFirstTokenAllowance;
      return m_intervals.StallTimeout();
    case Phase::kStreaming:
      return m_intervals.StallTimeout();
  }
  return kFirstTokenAllowance;
}

void Generation::ArmProgressTimer(const Attempt& attempt, std::vector<Action>& actions) {
  const bool second = m_second && m_second->number == attempt.number;
  const TimePoint since =
      attempt.phase == Phase::kProbing ? attempt.probe_since : attempt.last_progress;
  actions.push_back(
      SetTimer{second ? kSecondTimer : kCurrentTimer, since + ProgressTimeout(attempt)});
}

void Generation::CheckProgress(std::uint32_t timer, Attempt& attempt, EngineActivity activity,
                               TimePoint now, std::vector<Action>& actions) {
  const TimePoint since =
      attempt.phase == Phase::kProbing ? attempt.probe_since : attempt.last_progress;
  const TimePoint due = since + ProgressTimeout(attempt);
  if (now < due) {
    actions.push_back(SetTimer{timer, due});
    return;
  }
  if (attempt.phase == Phase::kWaitingToOpen) return Open(attempt, now, actions);
  if (m_reader_paused) return;
  if (now - due > kPauseThreshold) {
    attempt.last_progress = now;
    attempt.probe_since = now;
    ArmProgressTimer(attempt, actions);
    return;
  }
  attempt.silent = true;
  if (timer == kSecondTimer) {
    Decide(GenerationDecision::kSecondAttemptLost, attempt, actions);
    return DropSecond(actions);
  }
  if (attempt.phase == Phase::kProbing) {
    Decide(GenerationDecision::kProbeFailed, attempt, actions);
    return AbandonCurrent(now, true, actions);
  }
  OnSilence(activity, now, actions);
}

void Generation::OnSilence(EngineActivity activity, TimePoint now, std::vector<Action>& actions) {
  // A second failure in one recovery leaves no time for a probe: with it, two silent engines cost
  // more than 3 s. Little is lost, because the engine has generated nothing for this attempt.
  const bool second_failure = !m_current->has_token && !m_tokens.empty();
  if (m_current->reconnected || second_failure) {
    Decide(GenerationDecision::kSilentAfterProbe, *m_current, actions);
    return AbandonCurrent(now, true, actions);
  }
  Reconnect(*m_current, now, actions);
  const bool second_wanted = m_config.service_class == ServiceClass::kLatency &&
                             activity != EngineActivity::kProgressing && m_base == 0 && !m_second &&
                             !m_selecting && m_attempts_without_token < kMaxAttemptsWithoutToken;
  if (!second_wanted) return;
  Decide(GenerationDecision::kSecondAttempt, *m_current, actions);
  m_excluded.push_back(m_current->endpoint);
  Select(EndpointPreference::kCachedPrefix, actions);
}

void Generation::On(const CallerBufferFull&, TimePoint, std::vector<Action>& actions) {
  if (m_state != State::kActive || m_reader_paused) return;
  m_reader_paused = true;
  if (m_current) actions.push_back(PauseReading{m_current->number});
}

void Generation::On(const CallerBufferDrained&, TimePoint now, std::vector<Action>& actions) {
  m_reader_paused = false;
  if (m_state == State::kReleased) {
    m_state = State::kActive;
    actions.push_back(
        Decided{GenerationDecision::kSlotRegained, m_last_attempt, {}, NextPosition()});
    Select(EndpointPreference::kCachedPrefix, actions);
    return;
  }
  if (m_state != State::kActive || !m_current) return;
  actions.push_back(ResumeReading{m_current->number});
  if (m_current->phase == Phase::kWaitingToOpen) return;
  m_current->last_progress = now;
  ArmProgressTimer(*m_current, actions);
}

void Generation::On(const SlotReleased& event, TimePoint, std::vector<Action>& actions) {
  if (m_state != State::kActive && m_state != State::kReleased) return;
  // Tokens before the base are not known here, so the stream cannot be generated again.
  if (m_base > 0 || event.position > NextPosition()) return;
  if (m_current) {
    Decide(GenerationDecision::kSlotReleased, *m_current, actions);
    Cancel(*m_current, true, actions);
    m_current.reset();
  }
  DropSecond(actions);
  m_selecting = false;
  m_tokens.resize(event.position);
  m_token_hash = 0;
  for (const std::string& token : m_tokens) m_token_hash = ChainTokenHash(m_token_hash, token);
  m_state = State::kReleased;
}

void Generation::On(const CallerGone&, TimePoint, std::vector<Action>& actions) {
  End(true, actions);
}

void Generation::On(const DeadlinePassed&, TimePoint, std::vector<Action>& actions) {
  FailRequest(ResultCode::kDeadlineExceeded, Duration::zero(), actions);
}

void Generation::On(const HandOff&, TimePoint, std::vector<Action>& actions) {
  DropSecond(actions);
  actions.push_back(Move{});
  // Without a delivered token the caller has no event id to continue from.
  End(NextPosition() == 0, actions);
}

void Generation::FailRequest(ResultCode not_run_code, Duration retry_after,
                             std::vector<Action>& actions) {
  ResultCode code = not_run_code;
  if (NextPosition() > 0) {
    code = ResultCode::kCannotContinue;
  } else if (m_may_have_run) {
    code = ResultCode::kEndpointFailed;
  }
  actions.push_back(Fail{code, retry_after});
  End(true, actions);
}

void Generation::End(bool at_engine, std::vector<Action>& actions) {
  if (m_current) Cancel(*m_current, at_engine, actions);
  m_current.reset();
  DropSecond(actions);
  m_selecting = false;
  m_state = State::kEnded;
}

void Generation::DropSecond(std::vector<Action>& actions) {
  if (m_second) Cancel(*m_second, true, actions);
  m_second.reset();
  // A selection that is still open was for the second attempt if a current one exists.
  if (m_current) m_selecting = false;
}

void Generation::Cancel(const Attempt& attempt, bool at_engine, std::vector<Action>& actions) {
  if (attempt.phase == Phase::kWaitingToOpen) return;
  actions.push_back(
      CancelAttempt{attempt.number, attempt.endpoint, attempt.stream, at_engine, attempt.silent});
}

void Generation::Decide(GenerationDecision decision, const Attempt& attempt,
                        std::vector<Action>& actions) {
  actions.push_back(Decided{decision, attempt.number, attempt.endpoint, NextPosition()});
}

bool Generation::IsSecond(std::uint32_t attempt) const {
  return m_second && m_second->number == attempt;
}

std::string Generation::NewStreamId() { return ToString(RequestId{m_random(), m_random()}); }

}  // namespace fulmarpoint
