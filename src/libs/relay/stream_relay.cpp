#include "relay/stream_relay.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/kv_cache_backup.h"
#include "coordination/lost_attempts.h"
#include "coordination/stream_continuation.h"
#include "relay/duty_counters.h"
#include "relay/kv_cache_backups.h"
#include "relay/poison_request_detector.h"
#include "relay/stream_attempt.h"
#include "relay/stream_engine_usage.h"
#include "relay/stream_placement.h"
#include "relay/waiting_stream.h"
#include "transport/notification.h"
#include "utils/logging.h"

namespace fulmarpoint {

namespace {

constexpr Duration kConnectTimeout = std::chrono::milliseconds(120);
constexpr Duration kRetryAfterNoEngine = std::chrono::milliseconds(300);
// Delay before another placement when no engine has capacity.
constexpr Duration kNoEngineRetryDelay = std::chrono::milliseconds(50);
// Interval of the requests for a retry of a stream that has left a silent engine.
constexpr Duration kRetryRequestInterval = std::chrono::milliseconds(300);
// Limit on the engines tried, including those that rejected the stream or were unreachable. With
// contention control, the limit of a round.
constexpr int kMaxEndpointTries = 12;
// With contention control, the pause between rounds grows from `kNoEngineRetryDelay` to this,
// because most engines may be unreachable for seconds.
constexpr Duration kMaxRoundPause = std::chrono::milliseconds(200);
// A stream that no engine accepts is rejected after this fraction of its latency objective, so that
// the caller can still try another daemon.
constexpr int kRejectAfterDivisor = 8;

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

enum class Step { kContinue, kEnd };

/// What the end of an attempt says about its endpoint.
enum class AttemptLoss {
  /// The endpoint works: it rejected the attempt, or the request ended.
  kNone,
  /// The stream stalled or sent invalid data.
  kStalledOrInvalid,
  kBroken,
};

/// An endpoint may begin its stream with a byte-order mark, which belongs only to the beginning of
/// the caller's.
void RemoveByteOrderMark(std::string& bytes) {
  if (bytes.starts_with(kByteOrderMark)) bytes.erase(0, kByteOrderMark.size());
}

class StreamSession {
 public:
  StreamSession(RelayContext& context, HttpExchange& exchange, RelayedRequest request);
  ~StreamSession();
  StreamSession(const StreamSession&) = delete;
  StreamSession& operator=(const StreamSession&) = delete;

  Task<void> Run();

 private:
  Task<void> FindPromptOfResumedStream();
  Task<Step> StartAttempt();
  Task<Step> StartAttemptInTurn();
  Task<Step> StartAttemptAt(const EndpointRecord& engine);
  Task<Step> PauseBetweenRounds();
  Task<void> AnswerRejection(const StreamAdmission::Rejection& rejection);
  void ReadmitEngines();
  bool HasTriesLeft() const { return m_endpoint_tries < kMaxEndpointTries; }
  bool MayStartAttempt() const;
  Task<bool> TakeRetry();
  Task<std::shared_ptr<HttpClientExchange>> ConnectTo(const EndpointRecord& engine);
  void BeginAttempt(const EndpointRecord& engine, std::shared_ptr<HttpClientExchange> connection);
  Task<void> ReplaceAttempt(std::string_view reason, AttemptLoss loss);
  Task<bool> TryReplaceAttempt(std::string_view reason, AttemptLoss loss);
  std::optional<EndpointRecord> ChooseEngine() const;
  bool HasBackup() const;
  EndpointFields MakeFields(const EndpointRecord& engine);
  void MaintainBackup();
  std::shared_ptr<KvCacheBackup> NewBackup() const;
  std::string BackupHolderId() const { return m_backup->Holder() ? m_backup->Holder()->id : ""; }
  Task<Step> ForwardEvents();
  void Hold(const RawEvent& event);
  std::string TakeHeld();
  Task<void> DeliverHeldEvent();
  Task<void> Deliver(std::string bytes);
  Task<Step> OnAttemptEnd();
  Task<Step> OnNonStreamAnswer();
  Task<Step> WaitForEvents();
  Task<void> Probe(std::shared_ptr<StreamAttempt> attempt);
  void AbandonAttempt(std::string_view reason, AttemptLoss loss);
  void ReleaseBackup();
  void OnPromptRead();
  void OnRunning();
  void CountFirstEvent();
  void ObservePace();
  Task<void> Answer(HttpReply reply, RequestOutcome outcome);
  Task<void> AnswerFailure();
  void LogEnd(RequestOutcome outcome, int status);
  bool HasTimeLeft() const { return SteadyNow() < m_request.deadline; }

  RelayContext& m_context;
  HttpExchange& m_exchange;
  RelayedRequest m_request;
  StreamContinuation m_continuation;
  std::shared_ptr<Notification> m_wake;
  std::shared_ptr<StreamAttempt> m_attempt;
  StreamPlacement m_placement;
  /// The KV cache backup of the current or last attempt. Shared with the task that requests it.
  std::shared_ptr<KvCacheBackup> m_backup;
  /// Place in the service's queue; absent without contention control. Outlives `m_usage`, because
  /// it wakes the next stream once this one has released its engine.
  std::optional<WaitingStream> m_waiting;
  StreamEngineUsage m_usage;
  bool m_head_sent = false;
  bool m_stale = false;
  /// The engine from which the stream was moved because it was silent, though not known to be lost.
  std::optional<EndpointId> m_silent_engine;
  /// The request has run for long enough to know that it does not crash engines.
  bool m_is_harmless = false;
  bool m_from_backup = false;
  /// Prompt tokens that the engine had still to read when the current attempt started.
  std::int64_t m_backlog_tokens = 0;
  TimePoint m_attempt_started{};
  int m_endpoint_tries = 0;
  Duration m_round_pause = kNoEngineRetryDelay;
  int m_sends = 0;
  /// A retry was taken from the quota for the next attempt.
  bool m_has_retry = false;
  int m_resumes = 0;
  /// Time from the arrival of the request to its first event; zero until then.
  Duration m_first_event{};
  /// Of the attempt that completed the stream: what marked the end of its reply, and the last event
  /// that arrived. Logged, so that events lost here can be told from an engine that ended early.
  std::string_view m_framing = "none";
  std::optional<std::uint64_t> m_last_arrived_event;
  /// Events of the current attempt that are held, see `StreamContinuation`: a doubtful one, and
  /// those without a number that follow it or, without one, the last event delivered.
  std::string m_held_event;
  std::string m_held_unnumbered;
  /// Bytes of events without a number that were delivered. Logged, so that they can be told from
  /// bytes inside numbered events.
  std::size_t m_unnumbered_bytes = 0;
  /// An attempt with an engine's error reply, forwarded if no other engine succeeds.
  std::shared_ptr<StreamAttempt> m_failed_attempt;
};

StreamSession::StreamSession(RelayContext& context, HttpExchange& exchange, RelayedRequest request)
    : m_context(context),
      m_exchange(exchange),
      m_request(std::move(request)),
      m_continuation({m_request.route->latency_objective, m_request.route->event_gap_objective,
                      m_request.route->max_attempts, m_request.route->can_resume},
                     m_request.fields.last_event),
      m_wake(std::make_shared<Notification>(context.executor)),
      m_placement(context, m_request),
      m_backup(NewBackup()),
      m_usage(context, m_request.fields) {
  if (m_context.HasContentionControl(*m_request.table, m_request.service)) {
    m_waiting.emplace(context, m_request, m_wake);
  }
}

StreamSession::~StreamSession() {
  if (m_attempt) m_attempt->Cancel();
  ReleaseBackup();
}

Task<void> StreamSession::Run() {
  m_context.OnFirstAttempt(m_request.service);
  m_exchange.OnClientDisconnect([wake = m_wake]() { wake->Notify(); });
  co_await FindPromptOfResumedStream();
  Step step = Step::kContinue;
  while (step == Step::kContinue) {
    if (m_exchange.ClientDisconnected()) {
      LogEnd(RequestOutcome::kCallerGone, 0);
      break;
    }
    if (!HasTimeLeft()) {
      co_await AnswerFailure();
      break;
    }
    if (!m_attempt && m_context.ShouldRedirect()) {
      m_exchange.CloseAfterReply();
      co_await AnswerFailure();
      break;
    }
    if (!m_attempt) {
      step = co_await StartAttempt();
      continue;
    }
    step = co_await ForwardEvents();
    // More events may have arrived while the caller was slow to take the last ones.
    if (step == Step::kEnd || !m_attempt || m_attempt->HasEvent()) continue;
    if (m_attempt->End()) {
      step = co_await OnAttemptEnd();
      continue;
    }
    step = co_await WaitForEvents();
  }
  m_exchange.OnClientDisconnect(nullptr);
}

/// Looks up the engine that holds the prompt of a stream that the caller resumes here after it lost
/// its connection to another daemon.
Task<void> StreamSession::FindPromptOfResumedStream() {
  const CallerFields& fields = m_request.fields;
  if (!fields.last_event || fields.prompt.empty() || !m_context.look_up_prompt) co_return;
  co_await m_context.look_up_prompt(fields.prompt.back().id);
}

/// Starts an attempt at an engine. If none is available, waits, or ends the request if that has
/// taken too long.
Task<Step> StreamSession::StartAttempt() {
  if (!MayStartAttempt() || m_stale) {
    co_await AnswerFailure();
    co_return Step::kEnd;
  }
  if (m_waiting) co_return co_await StartAttemptInTurn();
  const std::optional<EndpointRecord> engine = ChooseEngine();
  if (!engine) {
    const TimePoint wait_until =
        m_request.arrived + m_request.route->latency_objective / kRejectAfterDivisor;
    const bool may_wait = m_head_sent || (SteadyNow() < wait_until &&
                                          !IsUnservable(m_context, m_request, wait_until));
    if (!may_wait) {
      co_await AnswerFailure();
      co_return Step::kEnd;
    }
    ReadmitEngines();
    co_await m_wake->WaitFor(kNoEngineRetryDelay);
    co_return Step::kContinue;
  }
  co_return co_await StartAttemptAt(*engine);
}

/// Waits for the stream's turn and then starts an attempt, unless no engine has capacity. Rejects
/// the stream if it cannot begin in time.
Task<Step> StreamSession::StartAttemptInTurn() {
  m_stale = !MayForward(m_context, m_request);
  if (m_stale) {
    co_await AnswerFailure();
    co_return Step::kEnd;
  }
  WaitingStream::State state;
  state.is_resumed = m_continuation.HasDelivered() || m_request.fields.last_event.has_value();
  state.has_backup = HasBackup();
  state.is_committed = m_head_sent;
  m_waiting->Enter(state);
  const std::optional<StreamAdmission::Rejection> rejection = m_waiting->CheckRejection();
  if (rejection) {
    co_await AnswerRejection(*rejection);
    co_return Step::kEnd;
  }
  if (!m_waiting->HasTurn()) {
    m_waiting->OnWaiting();
    co_await m_wake->WaitFor(kNoEngineRetryDelay);
    co_return Step::kContinue;
  }
  m_placement.SetMayUseReserve(m_waiting->MayUseReserve());
  const std::optional<EndpointRecord> engine = HasTriesLeft() ? ChooseEngine() : std::nullopt;
  if (!engine) co_return co_await PauseBetweenRounds();
  // The next stream chooses while this one connects, so the engine's capacity is taken before.
  m_usage.Set(engine->id, "", HasBackup());
  m_waiting->OnEngineChosen();
  const Step step = co_await StartAttemptAt(*engine);
  if (m_attempt) co_return step;
  m_usage.Clear();
  if (step == Step::kContinue) m_waiting->OnNotPlaced(Duration::zero());
  co_return step;
}

/// No engine is left to try: lets other streams choose and tries all engines again after a pause.
Task<Step> StreamSession::PauseBetweenRounds() {
  m_waiting->OnWaiting();
  ReadmitEngines();
  m_waiting->OnNotPlaced(m_round_pause);
  // Only rounds in which engines were tried in vain make the pause longer; without a free engine,
  // the stream looks for one at each poll.
  const Duration pause = m_round_pause;
  m_round_pause = m_endpoint_tries == 0 ? kNoEngineRetryDelay : std::min(2 * pause, kMaxRoundPause);
  m_endpoint_tries = 0;
  co_await m_wake->WaitFor(pause);
  co_return Step::kContinue;
}

/// Rejects a stream that has not run; one that may have run fails as after its last attempt.
Task<void> StreamSession::AnswerRejection(const StreamAdmission::Rejection& rejection) {
  const Duration retry_after = m_waiting->OnRejected(rejection);
  if (m_continuation.Attempts() > 0 || m_failed_attempt) {
    co_await AnswerFailure();
  } else if (rejection.reason == StreamRejectionReason::kStopping) {
    co_await Answer(RelayProblem(ResultCode::kDraining, "use another daemon", kRetryAfterNoEngine),
                    RequestOutcome::kRefused);
  } else {
    co_await Answer(RelayProblem(ResultCode::kOverloaded, "no engine is free in time", retry_after),
                    RequestOutcome::kRefused);
  }
}

/// Connects to the engine and sends the request, if a retry is allowed where it was sent before.
Task<Step> StreamSession::StartAttemptAt(const EndpointRecord& engine) {
  const bool may_send = co_await TakeRetry();
  // The engine that it has left may go on, so a stream that was moved from it does not end for lack
  // of a retry.
  if (!may_send && m_head_sent && m_silent_engine) {
    co_await m_wake->WaitFor(kRetryRequestInterval);
    co_return Step::kContinue;
  }
  if (!may_send) {
    co_await AnswerFailure();
    co_return Step::kEnd;
  }
  ++m_endpoint_tries;
  std::shared_ptr<HttpClientExchange> connection = co_await ConnectTo(engine);
  if (!connection || m_exchange.ClientDisconnected()) co_return Step::kContinue;
  m_stale = !MayForward(m_context, m_request);
  if (!m_stale) BeginAttempt(engine, std::move(connection));
  co_return Step::kContinue;
}

/// Makes engines eligible again because there is no other: first the one that was silent, which may
/// go on, and the ones that rejected the stream only if it is gone.
void StreamSession::ReadmitEngines() {
  if (m_silent_engine && m_context.endpoints.Find(*m_silent_engine) != nullptr) {
    m_placement.Readmit(*m_silent_engine);
  } else {
    m_placement.ClearExcluded();
  }
}

bool StreamSession::MayStartAttempt() const {
  return m_continuation.MayStartAttempt() && (m_waiting || HasTriesLeft()) &&
         (m_is_harmless || !m_context.poison_requests->IsQuarantined(m_request));
}

/// Returns whether the request may be sent: it was not sent before, or the quota allows a retry. An
/// allowed retry is kept until the request is sent.
Task<bool> StreamSession::TakeRetry() {
  if (m_sends > 0 && !m_has_retry) m_has_retry = co_await TryTakeRetry(m_context, m_request);
  co_return m_sends == 0 || m_has_retry;
}

/// Returns null, and excludes the engine, if it cannot be reached.
Task<std::shared_ptr<HttpClientExchange>> StreamSession::ConnectTo(const EndpointRecord& engine) {
  std::shared_ptr<HttpClientExchange> connection =
      std::make_shared<HttpClientExchange>(m_context.executor, HttpClientExchange::Options());
  const std::error_code error =
      co_await ConnectEndpoint(m_context, *connection, engine, kConnectTimeout);
  if (!error) co_return connection;
  ReportEndpointFailure(m_context, m_request, engine.id, "connect: " + error.message());
  m_placement.Exclude(engine.id);
  co_return nullptr;
}

/// Sends the request on a new connection to the engine.
void StreamSession::BeginAttempt(const EndpointRecord& engine,
                                 std::shared_ptr<HttpClientExchange> connection) {
  EndpointFields fields = MakeFields(engine);
  m_from_backup = fields.kv_cache_backup.has_value();
  m_usage.Set(engine.id, BackupHolderId(), m_from_backup);
  const DirectoryEndpoint* known = m_context.endpoints.Find(engine.id);
  m_backlog_tokens =
      known == nullptr ? m_request.fields.prompt_tokens : known->PendingPrefillTokens();
  m_attempt = std::make_shared<StreamAttempt>(engine, std::move(connection), m_wake,
                                              m_context.reply_memory);
  ++m_sends;
  m_has_retry = false;
  if (m_waiting) m_waiting->OnPlaced();
  m_attempt_started = SteadyNow();
  m_context.endpoints.OnRequestSent(engine.id, m_attempt_started);
  const bool is_counted = m_context.duty_counters != nullptr && !m_from_backup;
  if (is_counted) {
    m_context.duty_counters->OnPromptSent(m_request.service, m_request.fields.prompt_tokens);
  }
  const PrefillRateEstimator& pace = m_context.PrefillRate(m_request.service);
  m_continuation.OnAttemptStarted({m_from_backup, pace.EstimateTimeToFirstEvent(m_backlog_tokens),
                                   pace.EstimateTimeToFirstEvent(m_request.fields.prompt_tokens)},
                                  m_attempt_started);
  Log(LogLevel::kInfo, "run_started",
      {{"request", m_request.fields.request_id},
       {"endpoint", engine.id},
       {"after", fields.last_event.value_or(0)},
       {"copy", m_from_backup},
       {"backup", BackupHolderId()}});
  m_attempt->Start(
      m_context.executor, m_context.wire,
      BuildEndpointRequest(m_context, m_request, engine.address, std::move(fields), SteadyNow()),
      m_request.fields.request_id);
}

/// Continues a stalled attempt at another engine, if there is one. Otherwise the attempt goes on:
/// its engine may be silent for a moment only, and ending it would end the stream.
Task<void> StreamSession::ReplaceAttempt(std::string_view reason, AttemptLoss loss) {
  // The caller can resume at another daemon, while this one reaches no other engine.
  if (m_context.ShouldRedirect() && m_request.route->can_resume) {
    AbandonAttempt(reason, loss);
    co_return;
  }
  const EndpointId engine = m_attempt->Endpoint().id;
  m_placement.Exclude(engine);
  if (co_await TryReplaceAttempt(reason, loss)) co_return;
  m_placement.Readmit(engine);
  m_continuation.OnNotReplaced(SteadyNow());
  m_context.metrics.Count("relay_runs_kept",
                          loss == AttemptLoss::kBroken ? "unreachable" : "silent");
  Log(LogLevel::kInfo, "run_kept",
      {{"request", m_request.fields.request_id}, {"endpoint", engine}, {"reason", reason}});
}

/// Returns whether the attempt was replaced. Connects to the other engine first, because it may not
/// accept the connection.
Task<bool> StreamSession::TryReplaceAttempt(std::string_view reason, AttemptLoss loss) {
  if (!MayStartAttempt()) co_return false;
  const std::optional<EndpointRecord> engine = ChooseEngine();
  if (!engine) co_return false;
  const bool may_send = co_await TakeRetry();
  if (!may_send) co_return false;
  std::shared_ptr<HttpClientExchange> connection = co_await ConnectTo(*engine);
  const bool is_stalled = !m_attempt->HasEvent() && !m_attempt->End();
  const bool may_send_now = MayForward(m_context, m_request) && !m_exchange.ClientDisconnected();
  if (!connection || !is_stalled || !may_send_now) co_return false;
  ++m_endpoint_tries;
  m_silent_engine = m_attempt->Endpoint().id;
  AbandonAttempt(reason, loss);
  BeginAttempt(*engine, std::move(connection));
  co_return true;
}

std::shared_ptr<KvCacheBackup> StreamSession::NewBackup() const {
  const EngineCapacity* capacity = m_placement.Capacity();
  return std::make_shared<KvCacheBackup>(capacity == nullptr ? Duration::zero()
                                                             : capacity->backup_lifetime);
}

std::optional<EndpointRecord> StreamSession::ChooseEngine() const {
  if (HasBackup()) return m_context.endpoints.Find(m_backup->Holder()->id)->record;
  return m_placement.ChooseEngine();
}

/// Returns whether a usable engine is assumed to hold a complete KV cache backup.
bool StreamSession::HasBackup() const {
  const TimePoint now = SteadyNow();
  if (!m_continuation.HasDelivered() || !m_backup->IsComplete(now)) return false;
  const EndpointId& holder = m_backup->Holder()->id;
  return !m_placement.IsExcluded(holder) && m_context.endpoints.IsUsable(holder, now);
}

/// Returns the request fields for the engine, and chooses the engine that receives the backup.
EndpointFields StreamSession::MakeFields(const EndpointRecord& engine) {
  EndpointFields fields;
  fields.endpoint = engine.id;
  fields.last_event = m_continuation.LastEvent();
  fields.priority = m_request.priority;
  if (HasBackup() && m_backup->Holder()->id == engine.id)
    fields.kv_cache_backup = m_backup->Source();
  const EngineCapacity* capacity = m_placement.Capacity();
  std::optional<EndpointRecord> backup;
  if (capacity != nullptr && capacity->sends_backups && m_request.route->can_resume) {
    backup = m_placement.ChooseBackup(engine);
  }
  if (backup) fields.backup_address = backup->address;
  // A backup request of the last attempt may still be in progress, so this attempt gets a new
  // object.
  m_backup = NewBackup();
  m_backup->OnAttemptStarted(backup, m_request.fields.request_id);
  return fields;
}

/// Requests a backup at another engine if the one that holds it was lost, and renews requested
/// backups before they expire.
void StreamSession::MaintainBackup() {
  const EngineCapacity* capacity = m_placement.Capacity();
  const bool can_back_up = capacity != nullptr && capacity->backs_up_on_request &&
                           m_request.route->can_resume && m_continuation.HasDelivered();
  if (!can_back_up) return;
  const TimePoint now = SteadyNow();
  const std::optional<EndpointRecord>& holder = m_backup->Holder();
  const bool is_intact = holder && m_context.endpoints.IsIntact(*holder, m_attempt_started);
  if (!m_backup->IsRequestDue(is_intact, now)) return;
  const EndpointRecord& engine = m_attempt->Endpoint();
  const std::optional<EndpointRecord> target =
      is_intact ? holder : m_placement.ChooseBackup(engine);
  if (!target) return;
  m_backup->OnRequested(*target, engine.address, now);
  m_usage.Set(engine.id, BackupHolderId(), true);
  Log(LogLevel::kInfo, "copy_requested",
      {{"request", m_request.fields.request_id},
       {"endpoint", engine.id},
       {"backup", target->id},
       {"renewal", is_intact}});
  Spawn(m_context.executor, [&context = m_context, backup = m_backup, source = engine.address,
                             request = m_request.fields.request_id, holder = target->address]() {
    return RequestKvCacheBackup(context, backup, source, request, holder);
  });
}

/// Forwards the events that have arrived.
Task<Step> StreamSession::ForwardEvents() {
  ReportEndpointState(m_context, m_request, m_attempt->Endpoint(), m_attempt->Answer(),
                      m_attempt->AnsweredAt());
  std::string bytes;
  EventDisposition disposition = EventDisposition::kDeliver;
  while (m_attempt->HasEvent() && !EndsAttempt(disposition)) {
    ArrivedEvent arrived = m_attempt->TakeEvent();
    RawEvent& event = arrived.event;
    if (m_head_sent) RemoveByteOrderMark(event.bytes);
    disposition = event.id ? m_continuation.OnEvent(*event.id, event.is_doubtful, arrived.at)
                           : m_continuation.OnUnnumberedEvent(event.bytes.size());
    const bool is_delivered = disposition == EventDisposition::kDeliver;
    if (is_delivered || disposition == EventDisposition::kDeliverHeld) bytes += TakeHeld();
    if (is_delivered) bytes += event.bytes;
    if (disposition == EventDisposition::kHold || disposition == EventDisposition::kDeliverHeld) {
      Hold(event);
    }
  }
  if (!bytes.empty()) {
    OnPromptRead();
    OnRunning();
    co_await Deliver(std::move(bytes));
  }
  if (EndsAttempt(disposition)) {
    const bool has_gap = disposition == EventDisposition::kGap;
    AbandonAttempt(has_gap ? "gap between events" : "too many bytes without an event number",
                   AttemptLoss::kStalledOrInvalid);
  }
  co_return Step::kContinue;
}

void StreamSession::Hold(const RawEvent& event) {
  (event.id ? m_held_event : m_held_unnumbered) += event.bytes;
}

/// Returns the events that are held, which are delivered now.
std::string StreamSession::TakeHeld() {
  m_unnumbered_bytes += m_held_unnumbered.size();
  return std::exchange(m_held_event, std::string()) +
         std::exchange(m_held_unnumbered, std::string());
}

Task<void> StreamSession::DeliverHeldEvent() {
  m_continuation.OnHeldEventDelivered(SteadyNow());
  return Deliver(std::exchange(m_held_event, std::string()));
}

/// Writes events of the current attempt to the caller.
Task<void> StreamSession::Deliver(std::string bytes) {
  if (!m_head_sent) {
    m_head_sent = true;
    m_first_event = SteadyNow() - m_request.arrived;
    m_context.metrics.Observe("relay_first_event", {}, m_first_event);
    CountFirstEvent();
    co_await m_exchange.StartStream(m_attempt->Reply().status,
                                    EndToEndHeaders(m_attempt->Reply().headers));
  }
  co_await m_exchange.WriteChunk(std::move(bytes));
}

Task<Step> StreamSession::OnAttemptEnd() {
  switch (*m_attempt->End()) {
    case StreamAttemptEnd::kComplete:
      break;
    case StreamAttemptEnd::kAnswered:
      co_return co_await OnNonStreamAnswer();
    case StreamAttemptEnd::kBroken:
      // Nothing will replace a doubtful event, and the caller sees that the stream is cut.
      if (!MayStartAttempt() && !m_held_event.empty()) co_await DeliverHeldEvent();
      AbandonAttempt(m_attempt->Reason(), AttemptLoss::kBroken);
      co_return Step::kContinue;
    case StreamAttemptEnd::kInvalid:
      m_context.metrics.Count("relay_invalid_streams",
                              NameOf(kEventStreamErrorNames, m_attempt->StreamError()));
      AbandonAttempt(m_attempt->Reason(), AttemptLoss::kStalledOrInvalid);
      co_return Step::kContinue;
  }
  if (!m_held_event.empty()) co_await DeliverHeldEvent();
  if (!m_held_unnumbered.empty()) co_await Deliver(TakeHeld());
  m_context.endpoints.OnSuccess(m_attempt->Endpoint().id);
  const AttemptTiming timing = m_attempt->Timing();
  ReportCompletedAttempt(m_context, m_request, m_attempt->Endpoint(), false, timing.first_event,
                         timing.interval);
  // A stream that the caller resumed here began elsewhere, so its time is not that of a whole one.
  if (m_waiting && m_head_sent && !m_request.fields.last_event) {
    m_waiting->OnCompleted(SteadyNow() - m_request.arrived - m_first_event);
  }
  const int status = m_attempt->Reply().status;
  m_framing = NameOf(kReplyFramingNames, m_attempt->Framing());
  m_context.metrics.Count("relay_stream_ends", m_framing);
  m_last_arrived_event = m_attempt->LastArrivedEvent();
  if (!m_head_sent) {
    co_await m_exchange.StartStream(status, EndToEndHeaders(m_attempt->Reply().headers));
  }
  co_await m_exchange.FinishStream();
  m_context.metrics.Count("relay_requests", "answered");
  LogEnd(RequestOutcome::kAnswered, status);
  co_return Step::kEnd;
}

/// Handles a reply of the engine that is not an event stream.
Task<Step> StreamSession::OnNonStreamAnswer() {
  const EndpointResponseFields& answer = m_attempt->Answer();
  const EndpointId engine = m_attempt->Endpoint().id;
  if (answer.not_run || answer.misdirected) {
    m_continuation.OnAttemptRejected();
    if (m_waiting) m_waiting->OnPlacementRejected();
    // An engine that misses the backup stays eligible; it may run the stream without it.
    const bool backup_missing = m_from_backup && !answer.misdirected;
    if (answer.misdirected) m_context.endpoints.OnMisdirected(engine, SteadyNow());
    if (!answer.misdirected && !backup_missing) {
      m_context.endpoints.OnRejected(engine, SteadyNow());
    }
    if (!backup_missing) m_placement.Exclude(engine);
    if (backup_missing) m_usage.OnPromptMissing(engine);
    m_backup = NewBackup();
    AbandonAttempt(backup_missing
                       ? "no copy"
                       : "refused with status " + std::to_string(m_attempt->Reply().status),
                   AttemptLoss::kNone);
    co_return Step::kContinue;
  }
  const int status = m_attempt->Reply().status;
  if (!answer.is_from_endpoint || m_head_sent) {
    AbandonAttempt("answer with status " + std::to_string(status), AttemptLoss::kStalledOrInvalid);
    co_return Step::kContinue;
  }
  ReportCompletedAttempt(m_context, m_request, m_attempt->Endpoint(), status >= 500,
                         Duration::zero());
  if (status >= 500) m_context.endpoints.OnErrorReply(engine, SteadyNow());
  if (status >= 500 && m_continuation.MayStartAttempt()) {
    m_failed_attempt = m_attempt;
    AbandonAttempt("status " + std::to_string(status), AttemptLoss::kNone);
    m_placement.Exclude(engine);
    co_return Step::kContinue;
  }
  co_await Answer(std::move(m_attempt->Reply()), RequestOutcome::kAnswered);
  co_return Step::kEnd;
}

/// Waits for events, and probes or replaces an attempt that has stalled.
Task<Step> StreamSession::WaitForEvents() {
  MaintainBackup();
  const TimePoint now = SteadyNow();
  StreamContinuation::StallContext stall_context;
  stall_context.suspected = m_context.endpoints.IsSuspected(m_attempt->Endpoint().id, now);
  stall_context.has_backup = HasBackup();
  m_continuation.OnReadingPaused(m_attempt->ReadingPausedAt());
  switch (m_continuation.CheckStall(stall_context, now)) {
    case StallDecision::kAbandon:
      co_await ReplaceAttempt("silent", AttemptLoss::kStalledOrInvalid);
      co_return Step::kContinue;
    case StallDecision::kProbe:
      co_await Probe(m_attempt);
      co_return Step::kContinue;
    case StallDecision::kWait:
      break;
  }
  const TimePoint next = std::min(m_continuation.NextStallCheck(now), m_request.deadline);
  co_await m_wake->WaitFor(next - now);
  co_return Step::kContinue;
}

/// Opens a connection to the engine of an attempt that has sent nothing yet, to find out whether it
/// is reachable.
Task<void> StreamSession::Probe(std::shared_ptr<StreamAttempt> attempt) {
  HttpClientExchange connection(m_context.executor, HttpClientExchange::Options());
  const std::error_code error =
      co_await connection.Connect(attempt->Endpoint().address, kConnectTimeout);
  m_context.metrics.Count("endpoint_probes", error ? "failed" : "answered");
  m_context.OnConnectionEnded(attempt->Endpoint(), error);
  m_continuation.OnProbeAnswered(SteadyNow());
  // The connection of an attempt can outlive the path by which new ones would come.
  const bool is_lost = error && !m_context.reachability.IsIsolated() && attempt == m_attempt &&
                       !attempt->HasEvent() && !attempt->End();
  const std::string reason = "probe: " + error.message();
  if (is_lost) co_await ReplaceAttempt(reason, AttemptLoss::kBroken);
}

void StreamSession::AbandonAttempt(std::string_view reason, AttemptLoss loss) {
  const EndpointId engine = m_attempt->Endpoint().id;
  // Log first, because the attempt may own the string behind `reason`.
  Log(LogLevel::kWarning, "run_abandoned",
      {{"request", m_request.fields.request_id},
       {"endpoint", engine},
       {"after", m_continuation.LastEvent().value_or(0)},
       {"held_bytes", m_held_event.size() + m_held_unnumbered.size()},
       {"reason", reason}});
  m_held_event.clear();
  m_held_unnumbered.clear();
  const bool is_failure = loss != AttemptLoss::kNone;
  if (is_failure) {
    AttemptLossDetails details;
    details.started = m_attempt_started;
    details.connection_broken = loss == AttemptLoss::kBroken;
    details.first_event = m_attempt->FirstEventAt();
    ReportLostAttempt(m_context, m_request, m_attempt->Endpoint(), details);
  }
  m_attempt->Cancel();
  m_attempt.reset();
  m_usage.Clear();
  m_context.metrics.Count("relay_runs_abandoned", is_failure ? "failed" : "refused");
  if (!is_failure) return;
  m_context.OnEndpointFailure(engine);
  m_placement.Exclude(engine);
  if (m_continuation.HasDelivered()) ++m_resumes;
}

/// Releases a requested backup, which occupies a slot of its engine until released or expired.
void StreamSession::ReleaseBackup() {
  if (m_backup->NeedsRelease()) ReleaseKvCacheBackup(m_context, m_backup->Source());
}

/// Compares the time to the first event with the one expected from other engines.
void StreamSession::ObservePace() {
  PrefillRateEstimator& pace = m_context.PrefillRate(m_request.service);
  const Duration elapsed = SteadyNow() - m_attempt_started;
  const std::optional<Duration> expected = pace.EstimateTimeToFirstEvent(m_backlog_tokens);
  if (expected && expected->count() > 0) {
    const double ratio =
        static_cast<double>(elapsed.count()) / static_cast<double>(expected->count());
    m_context.endpoints.OnFirstEvent(m_attempt->Endpoint().id, ratio, SteadyNow());
  }
  pace.Observe(m_backlog_tokens, elapsed);
}

/// Once an attempt has sent events for some time, the request is known not to crash engines.
void StreamSession::OnRunning() {
  const std::optional<TimePoint> first_event = m_attempt->FirstEventAt();
  const bool has_survived =
      first_event && SteadyNow() - *first_event > LostAttempts::kMaxRunBeforeCrash;
  if (m_is_harmless || !has_survived) return;
  m_is_harmless = true;
  m_context.poison_requests->OnSurvived(m_request, true);
}

void StreamSession::CountFirstEvent() {
  if (m_context.duty_counters == nullptr) return;
  m_context.duty_counters->OnBegun(m_request.organisation, Duration::zero());
  m_context.duty_counters->OnFirstEvent(m_request.service,
                                        m_first_event > m_request.route->latency_objective);
}

/// The first event of an attempt shows that its engine has read the prompt.
void StreamSession::OnPromptRead() {
  if (m_usage.OnPromptRead()) ObservePace();
}

Task<void> StreamSession::Answer(HttpReply reply, RequestOutcome outcome) {
  const int status = reply.status;
  reply.headers = EndToEndHeaders(reply.headers);
  m_context.metrics.Count("relay_requests", NameOf(kRequestOutcomeNames, outcome));
  co_await m_exchange.Respond(std::move(reply));
  LogEnd(outcome, status);
}

/// Ends the request without a successful reply. A stream that has started is not finished, so that
/// the caller does not take it for complete.
Task<void> StreamSession::AnswerFailure() {
  if (m_attempt) AbandonAttempt("deadline", AttemptLoss::kNone);
  if (m_head_sent) {
    m_exchange.CloseAfterReply();
    m_context.metrics.Count("relay_requests", "cut");
    LogEnd(RequestOutcome::kCut, 200);
    co_return;
  }
  if (m_failed_attempt) {
    co_await Answer(std::move(m_failed_attempt->Reply()), RequestOutcome::kEndpointFailed);
  } else if (m_stale) {
    co_await Answer(RelayProblem(ResultCode::kStale, "use another daemon", kRetryAfterNoEngine),
                    RequestOutcome::kStale);
  } else if (m_continuation.Attempts() == 0) {
    co_await Answer(RelayProblem(ResultCode::kNoEndpoint, "no engine has taken the request",
                                 RetryAfterOf(m_context, m_request)),
                    RequestOutcome::kRefused);
  } else {
    co_await Answer(RelayProblem(ResultCode::kEndpointFailed, "the engines failed"),
                    RequestOutcome::kLost);
  }
}

void StreamSession::LogEnd(RequestOutcome outcome, int status) {
  LogRequestEnd(m_request, outcome, status,
                {{"runs", m_continuation.Attempts()},
                 {"resumes", m_resumes},
                 {"last_event", m_continuation.LastEvent().value_or(0)},
                 {"last_arrived", m_last_arrived_event.value_or(0)},
                 {"framing", m_framing},
                 {"unnumbered_bytes", m_unnumbered_bytes},
                 {"first_ms", m_first_event.count() / 1000},
                 {"longest_pause_ms", m_continuation.LongestGap().count() / 1000}});
}

}  // namespace

Task<void> RelayStream(RelayContext& context, HttpExchange& exchange, RelayedRequest request) {
  StreamSession session(context, exchange, std::move(request));
  co_await session.Run();
}

}  // namespace fulmarpoint
