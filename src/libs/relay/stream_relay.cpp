#include "relay/stream_relay.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/kv_cache_backup.h"
#include "coordination/stream_continuation.h"
#include "relay/kv_cache_backups.h"
#include "relay/poison_request_detector.h"
#include "relay/stream_attempt.h"
#include "relay/stream_engine_usage.h"
#include "relay/stream_placement.h"
#include "transport/notification.h"
#include "utils/logging.h"

namespace fulmarpoint {

namespace {

constexpr Duration kConnectTime = std::chrono::milliseconds(120);
constexpr Duration kRetryAfterNoEngine = std::chrono::milliseconds(300);
// Pause before engines are looked for again when none has room.
constexpr Duration kNoEnginePause = std::chrono::milliseconds(50);
// Refusals and failed connections before the stream is given up.
constexpr int kMaxTries = 12;
// A stream without any run is refused after this part of its objective, so that its caller can
// still try elsewhere.
constexpr int kRefusalDivisor = 8;

enum class Step { kGoOn, kEnd };

/// What the end of a run says about its endpoint.
enum class RunLoss {
  /// The endpoint works: it refused the run, or the request ended.
  kNone,
  /// Silence or wrong bytes.
  kDoubtful,
  kBroken,
};

class StreamSession {
 public:
  StreamSession(RelayContext& context, HttpExchange& exchange, RelayedRequest request);
  ~StreamSession();
  StreamSession(const StreamSession&) = delete;
  StreamSession& operator=(const StreamSession&) = delete;

  Task<void> Run();

 private:
  Task<void> FindPromptOfResumedStream();
  Task<Step> StartRun();
  std::optional<EndpointRecord> ChooseEngine() const;
  bool HasCopy() const;
  EndpointFields MakeFields(const EndpointRecord& engine);
  void MaintainCopy();
  std::shared_ptr<KvCacheBackup> NewCopy() const;
  std::string HolderId() const { return m_copy->Holder() ? m_copy->Holder()->id : ""; }
  Task<Step> Deliver();
  Task<Step> OnRunEnd();
  Task<Step> OnOtherAnswer();
  Task<Step> OnSilence();
  Task<void> Probe(std::shared_ptr<StreamRun> run);
  void AbandonRun(std::string_view reason, RunLoss loss);
  void FreeCopy();
  void OnPromptRead();
  void ObservePace();
  Task<void> Answer(HttpReply reply, RequestOutcome outcome);
  Task<void> Fail();
  void LogEnd(RequestOutcome outcome, int status);
  bool HasLeft() const { return SteadyNow() < m_request.deadline; }

  RelayContext& m_context;
  HttpExchange& m_exchange;
  RelayedRequest m_request;
  StreamContinuation m_continuation;
  std::shared_ptr<Notification> m_wake;
  std::shared_ptr<StreamRun> m_run;
  StreamPlacement m_placement;
  /// The copy of the current or last run's memory. Shared with the task that requests one.
  std::shared_ptr<KvCacheBackup> m_copy;
  StreamUses m_uses;
  bool m_head_sent = false;
  bool m_stale = false;
  bool m_from_copy = false;
  /// Tokens that the engine of the current run had to read when it started.
  std::int64_t m_backlog = 0;
  TimePoint m_run_started{};
  int m_tries = 0;
  int m_arrivals = 0;
  int m_resumes = 0;
  /// Time from the arrival of the request to its first event; zero before.
  Duration m_first_event{};
  /// A failure of an engine that is passed on if no other engine does better.
  std::optional<HttpReply> m_failure;
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
      m_copy(NewCopy()),
      m_uses(context, m_request.fields) {}

StreamSession::~StreamSession() {
  if (m_run) m_run->Cancel();
  FreeCopy();
}

Task<void> StreamSession::Run() {
  m_context.OnFirstAttempt(m_request.service);
  m_exchange.OnClientDisconnect([wake = m_wake]() { wake->Notify(); });
  co_await FindPromptOfResumedStream();
  Step step = Step::kGoOn;
  while (step == Step::kGoOn) {
    if (m_exchange.ClientDisconnected()) {
      LogEnd(RequestOutcome::kCallerGone, 0);
      break;
    }
    if (!HasLeft()) {
      co_await Fail();
      break;
    }
    if (!m_run) {
      step = co_await StartRun();
      continue;
    }
    step = co_await Deliver();
    if (step == Step::kEnd || !m_run) continue;
    if (m_run->End()) {
      step = co_await OnRunEnd();
      continue;
    }
    step = co_await OnSilence();
  }
  m_exchange.OnClientDisconnect(nullptr);
}

/// The caller had the stream from another daemon, whose engine still has its prompt in memory.
Task<void> StreamSession::FindPromptOfResumedStream() {
  const CallerFields& fields = m_request.fields;
  if (!fields.last_event || fields.prompt.empty() || !m_context.look_up_prompt) co_return;
  co_await m_context.look_up_prompt(fields.prompt.back().id);
}

/// Starts a run at an engine. Without one it pauses, or ends the request when that has taken too
/// long.
Task<Step> StreamSession::StartRun() {
  const TimePoint now = SteadyNow();
  const bool may_start = m_continuation.MayStartAttempt() && m_continuation.MayContinue() &&
                         !m_context.crashes->IsBlocked(m_request.fingerprint);
  if (!may_start || m_tries >= kMaxTries || m_stale) {
    co_await Fail();
    co_return Step::kEnd;
  }
  const std::optional<EndpointRecord> engine = ChooseEngine();
  if (!engine) {
    const bool may_wait = m_head_sent || now - m_request.arrived <
                                             m_request.route->latency_objective / kRefusalDivisor;
    if (!may_wait) {
      co_await Fail();
      co_return Step::kEnd;
    }
    m_placement.ClearExcluded();
    co_await m_wake->WaitFor(kNoEnginePause);
    co_return Step::kGoOn;
  }
  ++m_tries;
  if (m_arrivals > 0) {
    const bool may_repeat = co_await TryRepeat(m_context, m_request);
    if (!may_repeat) {
      co_await Fail();
      co_return Step::kEnd;
    }
  }
  const std::shared_ptr<HttpClientExchange> connection =
      std::make_shared<HttpClientExchange>(m_context.executor, HttpClientExchange::Options());
  const std::error_code error =
      co_await ConnectEndpoint(m_context, *connection, engine->address, kConnectTime);
  if (error) {
    ReportEndpointFailure(m_context, m_request, engine->id, "connect: " + error.message());
    m_placement.Exclude(engine->id);
    co_return Step::kGoOn;
  }
  if (m_exchange.ClientDisconnected()) co_return Step::kGoOn;
  m_stale = !MayRun(m_context, m_request);
  if (m_stale) co_return Step::kGoOn;
  EndpointFields fields = MakeFields(*engine);
  m_from_copy = fields.kv_cache_backup.has_value();
  m_uses.Set(engine->id, HolderId(), m_from_copy);
  const DirectoryEndpoint* known = m_context.endpoints.Find(engine->id);
  m_backlog = known == nullptr ? m_request.fields.prompt_tokens : known->PendingPrefillTokens();
  m_run = std::make_shared<StreamRun>(*engine, connection, m_wake);
  ++m_arrivals;
  m_run_started = SteadyNow();
  const PrefillRateEstimator& pace = m_context.Pace(m_request.service);
  m_continuation.OnAttemptStarted({m_from_copy, pace.EstimateTimeToFirstEvent(m_backlog),
                                   pace.EstimateTimeToFirstEvent(m_request.fields.prompt_tokens)},
                                  m_run_started);
  Log(LogLevel::kInfo, "run_started",
      {{"request", m_request.fields.request_id},
       {"endpoint", engine->id},
       {"after", fields.last_event.value_or(0)},
       {"copy", m_from_copy},
       {"backup", HolderId()}});
  m_run->Start(
      m_context.executor, m_context.wire,
      BuildEndpointRequest(m_context, m_request, engine->address, std::move(fields), SteadyNow()),
      m_request.fields.request_id);
  co_return Step::kGoOn;
}

std::shared_ptr<KvCacheBackup> StreamSession::NewCopy() const {
  const EngineCapacity* capacity = m_placement.Capacity();
  return std::make_shared<KvCacheBackup>(capacity == nullptr ? Duration::zero()
                                                             : capacity->backup_lifetime);
}

std::optional<EndpointRecord> StreamSession::ChooseEngine() const {
  if (HasCopy()) return m_context.endpoints.Find(m_copy->Holder()->id)->record;
  return m_placement.ChooseEngine();
}

/// Returns whether an engine that can be used probably holds a copy of the run's memory.
bool StreamSession::HasCopy() const {
  const TimePoint now = SteadyNow();
  if (!m_continuation.HasDelivered() || !m_copy->IsComplete(now)) return false;
  const EndpointId& holder = m_copy->Holder()->id;
  return !m_placement.IsExcluded(holder) && m_context.endpoints.IsUsable(holder, now);
}

/// Fills what the engine is told, and chooses the engine that receives the copy.
EndpointFields StreamSession::MakeFields(const EndpointRecord& engine) {
  EndpointFields fields;
  fields.endpoint = engine.id;
  fields.last_event = m_continuation.LastEvent();
  fields.priority = m_request.priority;
  if (HasCopy() && m_copy->Holder()->id == engine.id) fields.kv_cache_backup = m_copy->Source();
  const EngineCapacity* capacity = m_placement.Capacity();
  std::optional<EndpointRecord> backup;
  if (capacity != nullptr && capacity->sends_backups && m_request.route->can_resume) {
    backup = m_placement.ChooseBackup(engine);
  }
  if (backup) fields.backup_address = backup->address;
  // A request for the copy of the last run may still be in progress, so this run gets its own.
  m_copy = NewCopy();
  m_copy->OnAttemptStarted(backup, m_request.fields.request_id);
  return fields;
}

/// Requests a copy at another engine if the one that has it was lost, and renews requested copies.
void StreamSession::MaintainCopy() {
  const EngineCapacity* capacity = m_placement.Capacity();
  const bool can_copy = capacity != nullptr && capacity->backs_up_on_request &&
                        m_request.route->can_resume && m_continuation.HasDelivered();
  if (!can_copy) return;
  const TimePoint now = SteadyNow();
  const std::optional<EndpointRecord>& holder = m_copy->Holder();
  const bool is_intact = holder && m_context.endpoints.IsIntact(*holder, m_run_started);
  if (!m_copy->IsRequestDue(is_intact, now)) return;
  const EndpointRecord& engine = m_run->Endpoint();
  const std::optional<EndpointRecord> target =
      is_intact ? holder : m_placement.ChooseBackup(engine);
  if (!target) return;
  m_copy->OnRequested(*target, engine.address, now);
  m_uses.Set(engine.id, HolderId(), true);
  Log(LogLevel::kInfo, "copy_requested",
      {{"request", m_request.fields.request_id},
       {"endpoint", engine.id},
       {"backup", target->id},
       {"renewal", is_intact}});
  Spawn(m_context.executor, [&context = m_context, copy = m_copy, source = engine.address,
                             request = m_request.fields.request_id, holder = target->address]() {
    return RequestCopy(context, copy, source, request, holder);
  });
}

/// Passes on the events that have arrived.
Task<Step> StreamSession::Deliver() {
  std::string bytes;
  bool has_gap = false;
  while (m_run->HasEvent() && !has_gap) {
    ArrivedEvent arrived = m_run->TakeEvent();
    const EventDisposition verdict =
        arrived.event.id ? m_continuation.OnEvent(*arrived.event.id, arrived.at)
                         : m_continuation.OnUnnumberedEvent(arrived.event.bytes.size());
    if (verdict == EventDisposition::kDeliver) bytes += arrived.event.bytes;
    has_gap = verdict == EventDisposition::kGap;
  }
  if (!bytes.empty()) {
    OnPromptRead();
    if (!m_head_sent) {
      m_head_sent = true;
      m_first_event = SteadyNow() - m_request.arrived;
      m_context.metrics.Observe("relay_first_event", {}, m_first_event);
      co_await m_exchange.StartStream(m_run->Reply().status,
                                      EndToEndHeaders(m_run->Reply().headers));
    }
    co_await m_exchange.WriteChunk(std::move(bytes));
  }
  if (has_gap) AbandonRun("gap between events", RunLoss::kDoubtful);
  co_return Step::kGoOn;
}

Task<Step> StreamSession::OnRunEnd() {
  switch (*m_run->End()) {
    case StreamRunEnd::kComplete:
      break;
    case StreamRunEnd::kAnswered:
      co_return co_await OnOtherAnswer();
    case StreamRunEnd::kBroken:
      AbandonRun(m_run->Reason(), RunLoss::kBroken);
      co_return Step::kGoOn;
  }
  m_context.endpoints.OnSuccess(m_run->Endpoint().id);
  const RunPace pace = m_run->Pace();
  ReportCompletedRun(m_context, m_request, m_run->Endpoint(), false, pace.first_event,
                     pace.interval);
  const int status = m_run->Reply().status;
  if (!m_head_sent) {
    co_await m_exchange.StartStream(status, EndToEndHeaders(m_run->Reply().headers));
  }
  co_await m_exchange.FinishStream();
  m_context.metrics.Count("relay_requests", "answered");
  LogEnd(RequestOutcome::kAnswered, status);
  co_return Step::kEnd;
}

/// The engine answered with something else than events.
Task<Step> StreamSession::OnOtherAnswer() {
  const EndpointResponseFields& answer = m_run->Answer();
  const EndpointId engine = m_run->Endpoint().id;
  if (answer.not_run || answer.misdirected) {
    m_continuation.OnAttemptRejected();
    // A missing copy says nothing about the engine, which may run the stream without it.
    const bool copy_missing = m_from_copy && !answer.misdirected;
    if (answer.misdirected) m_context.endpoints.OnMisdirected(engine, SteadyNow());
    if (!answer.misdirected && !copy_missing) {
      m_context.endpoints.OnRejected(engine, SteadyNow());
    }
    if (!copy_missing) m_placement.Exclude(engine);
    if (copy_missing) m_uses.OnPromptMissing(engine);
    m_copy = NewCopy();
    AbandonRun(
        copy_missing ? "no copy" : "refused with status " + std::to_string(m_run->Reply().status),
        RunLoss::kNone);
    co_return Step::kGoOn;
  }
  const int status = m_run->Reply().status;
  if (!answer.is_from_endpoint || m_head_sent) {
    AbandonRun("answer with status " + std::to_string(status), RunLoss::kDoubtful);
    co_return Step::kGoOn;
  }
  ReportCompletedRun(m_context, m_request, m_run->Endpoint(), status >= 500, Duration::zero());
  if (status >= 500 && m_continuation.MayStartAttempt() && m_continuation.MayContinue()) {
    m_failure = std::move(m_run->Reply());
    AbandonRun("status " + std::to_string(status), RunLoss::kNone);
    m_placement.Exclude(engine);
    co_return Step::kGoOn;
  }
  co_await Answer(std::move(m_run->Reply()), RequestOutcome::kAnswered);
  co_return Step::kEnd;
}

/// Waits for events, and judges the run if none come.
Task<Step> StreamSession::OnSilence() {
  MaintainCopy();
  const TimePoint now = SteadyNow();
  StreamContinuation::StallContext circumstances;
  circumstances.suspected = m_context.endpoints.IsSuspected(m_run->Endpoint().id, now);
  circumstances.has_copy = HasCopy();
  switch (m_continuation.CheckStall(circumstances, now)) {
    case StallDecision::kAbandon:
      AbandonRun("silent", RunLoss::kDoubtful);
      co_return Step::kGoOn;
    case StallDecision::kProbe:
      co_await Probe(m_run);
      co_return Step::kGoOn;
    case StallDecision::kWait:
      break;
  }
  const TimePoint next = std::min(m_continuation.NextStallCheck(now), m_request.deadline);
  co_await m_wake->WaitFor(next - now);
  co_return Step::kGoOn;
}

/// Opens a connection to the engine of a run that has sent nothing yet.
Task<void> StreamSession::Probe(std::shared_ptr<StreamRun> run) {
  HttpClientExchange connection(m_context.executor, HttpClientExchange::Options());
  const std::error_code error = co_await connection.Connect(run->Endpoint().address, kConnectTime);
  m_context.metrics.Count("endpoint_probes", error ? "failed" : "answered");
  m_continuation.OnProbeAnswered(SteadyNow());
  const bool is_lost = error && run == m_run && !run->HasEvent() && !run->End();
  if (is_lost) AbandonRun("probe: " + error.message(), RunLoss::kBroken);
}

void StreamSession::AbandonRun(std::string_view reason, RunLoss loss) {
  const EndpointId engine = m_run->Endpoint().id;
  // Written first, because the run may own the reason.
  Log(LogLevel::kWarning, "run_abandoned",
      {{"request", m_request.fields.request_id},
       {"endpoint", engine},
       {"after", m_continuation.LastEvent().value_or(0)},
       {"reason", reason}});
  const bool is_failure = loss != RunLoss::kNone;
  if (is_failure) {
    ReportLostRun(m_context, m_request, m_run->Endpoint(), m_run_started, loss == RunLoss::kBroken);
  }
  m_run->Cancel();
  m_run.reset();
  m_uses.Clear();
  m_context.metrics.Count("relay_runs_abandoned", is_failure ? "failed" : "refused");
  if (!is_failure) return;
  m_context.OnEndpointFailure(engine);
  m_placement.Exclude(engine);
  if (m_continuation.HasDelivered()) ++m_resumes;
}

/// A requested copy takes a slot until it is freed or has expired.
void StreamSession::FreeCopy() {
  if (m_copy->IsRequested()) ReleaseCopy(m_context, m_copy->Source());
}

/// Compares the time to the first event with that at other engines.
void StreamSession::ObservePace() {
  PrefillRateEstimator& pace = m_context.Pace(m_request.service);
  const Duration elapsed = SteadyNow() - m_run_started;
  const std::optional<Duration> expected = pace.EstimateTimeToFirstEvent(m_backlog);
  if (expected && expected->count() > 0) {
    const double ratio =
        static_cast<double>(elapsed.count()) / static_cast<double>(expected->count());
    m_context.endpoints.OnFirstEvent(m_run->Endpoint().id, ratio, SteadyNow());
  }
  pace.Observe(m_backlog, elapsed);
}

/// The first event of a run shows that its engine has read the prompt.
void StreamSession::OnPromptRead() {
  if (m_uses.OnPromptRead()) ObservePace();
}

Task<void> StreamSession::Answer(HttpReply reply, RequestOutcome outcome) {
  const int status = reply.status;
  reply.headers = EndToEndHeaders(reply.headers);
  m_context.metrics.Count("relay_requests", NameOf(kRequestOutcomeNames, outcome));
  co_await m_exchange.Respond(std::move(reply));
  LogEnd(outcome, status);
}

/// Ends the request without an answer of an engine. A stream that has begun is cut, so that it does
/// not look complete.
Task<void> StreamSession::Fail() {
  if (m_run) AbandonRun("deadline", RunLoss::kNone);
  if (m_head_sent) {
    m_exchange.CloseAfterReply();
    m_context.metrics.Count("relay_requests", "cut");
    LogEnd(RequestOutcome::kCut, 200);
    co_return;
  }
  if (m_failure) {
    co_await Answer(std::move(*m_failure), RequestOutcome::kEndpointFailed);
  } else if (m_stale) {
    co_await Answer(RelayProblem(ResultCode::kStale, "use another daemon", kRetryAfterNoEngine),
                    RequestOutcome::kStale);
  } else if (m_continuation.Attempts() == 0) {
    co_await Answer(RelayProblem(ResultCode::kNoEndpoint, "no engine has taken the request",
                                 kRetryAfterNoEngine),
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
                 {"first_ms", m_first_event.count() / 1000},
                 {"longest_pause_ms", m_continuation.LongestGap().count() / 1000}});
}

}  // namespace

Task<void> RelayStream(RelayContext& context, HttpExchange& exchange, RelayedRequest request) {
  StreamSession session(context, exchange, std::move(request));
  co_await session.Run();
}

}  // namespace fulmarpoint
