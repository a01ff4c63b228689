#include "relay/waiting_stream.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>

#include "utils/logging.h"

namespace fulmarpoint {

namespace {

// A caller leaves a stream without events after the longest of 2 s, four times the objective and
// eight times the event gap objective.
constexpr Duration kMinCallerTimeout = std::chrono::seconds(2);
constexpr int kCallerTimeoutObjectives = 4;
constexpr int kCallerTimeoutEventGaps = 8;
// The run time is estimated from the maximum output, and most streams are shorter, so the estimate
// takes at most this fraction of the time until the deadline.
constexpr int kMaxRunTimeDivisor = 2;

std::int64_t Millis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace

WaitingStream::WaitingStream(RelayContext& context, const RelayedRequest& request,
                             std::shared_ptr<Notification> wake)
    : m_context(context),
      m_request(request),
      m_wake(std::move(wake)),
      m_queue(context.StreamQueueFor(request.service)) {}

WaitingStream::~WaitingStream() {
  Leave();
  m_queue.admission.OnRoomFreed();
  m_queue.WakeNext(SteadyNow());
}

void WaitingStream::Enter(const State& state) {
  if (m_id && state == m_state) return;
  m_state = state;
  const StreamAdmission::Stream stream = MakeStream(state);
  if (m_id) {
    m_queue.admission.Update(*m_id, stream);
    return;
  }
  m_entered = SteadyNow();
  m_position.reset();
  m_id = m_queue.admission.Enqueue(stream, m_entered);
  m_queue.wakes[*m_id] = m_wake;
  PublishWaiting();
}

std::optional<StreamAdmission::Rejection> WaitingStream::CheckRejection() const {
  if (!m_id || m_state.is_committed) return std::nullopt;
  const TimePoint now = SteadyNow();
  const TimePoint earliest_end = now + ExpectedFirstEvent() + ExpectedRunTime();
  if (m_context.cut_at && earliest_end > *m_context.cut_at) {
    return StreamAdmission::Rejection{StreamRejectionReason::kStopping, Duration::zero()};
  }
  // All engines may have stated that they want no requests before a later time.
  const TimePoint latest_start = MakeStream(m_state).latest_useful_start;
  if (IsUnservable(m_context, m_request, latest_start)) {
    return StreamAdmission::Rejection{StreamRejectionReason::kTooLate, latest_start - now};
  }
  return m_queue.admission.CheckRejection(*m_id, now);
}

bool WaitingStream::HasTurn() const { return m_id && m_queue.admission.Next(SteadyNow()) == m_id; }

bool WaitingStream::MayUseReserve() const {
  return m_state.is_resumed || (m_id && m_queue.admission.HasReservedTurn(*m_id, SteadyNow()));
}

void WaitingStream::OnWaiting() {
  if (!m_id || m_position) return;
  m_position = m_queue.admission.PositionOf(*m_id, SteadyNow());
  Log(LogLevel::kInfo, "stream_waiting",
      {{"request", m_request.fields.request_id},
       {"service", m_request.service},
       {"priority", m_request.priority},
       {"position", *m_position},
       {"waiting", m_queue.admission.Waiting()}});
}

void WaitingStream::OnEngineChosen() {
  if (m_id) m_queue.admission.OnEngineChosen(*m_id);
  m_queue.WakeNext(SteadyNow());
}

void WaitingStream::OnNotPlaced(Duration pause) {
  const TimePoint now = SteadyNow();
  if (m_id) m_queue.admission.OnNotPlaced(*m_id, now + pause);
  m_queue.WakeNext(now);
}

void WaitingStream::OnPlaced() {
  if (!m_id) return;
  const TimePoint now = SteadyNow();
  m_queue.admission.OnPlaced(*m_id, now);
  m_context.metrics.Count("relay_streams_admitted", std::to_string(m_request.priority));
  if (m_position) {
    Log(LogLevel::kInfo, "stream_admitted",
        {{"request", m_request.fields.request_id},
         {"service", m_request.service},
         {"priority", m_request.priority},
         {"waited_ms", Millis(now - m_entered)},
         {"position", *m_position}});
  }
  Leave();
  m_queue.WakeNext(now);
}

void WaitingStream::OnPlacementRejected() {
  m_queue.admission.OnPlacementRejected(MakeStream(m_state), SteadyNow());
}

void WaitingStream::OnCompleted(Duration elapsed) {
  m_queue.admission.OnCompleted(elapsed, m_request.fields.max_output_tokens);
}

Duration WaitingStream::OnRejected(const StreamAdmission::Rejection& rejection) {
  m_context.metrics.Count("relay_streams_rejected", std::to_string(m_request.priority));
  const TimePoint now = SteadyNow();
  const Duration retry_after = m_queue.admission.RetryAfter(
      MakeStream(m_state), rejection.predicted_wait, now, m_context.random);
  Log(LogLevel::kWarning, "stream_rejected",
      {{"request", m_request.fields.request_id},
       {"service", m_request.service},
       {"priority", m_request.priority},
       {"waited_ms", Millis(now - m_entered)},
       {"predicted_ms", Millis(rejection.predicted_wait)},
       {"retry_after_ms", Millis(retry_after)},
       {"reason", NameOf(kStreamRejectionReasonNames, rejection.reason)}});
  Leave();
  return retry_after;
}

StreamAdmission::Stream WaitingStream::MakeStream(const State& state) const {
  const RelayRoute& route = *m_request.route;
  const Duration first_event = ExpectedFirstEvent();
  const Duration caller_timeout =
      std::max({kMinCallerTimeout, kCallerTimeoutObjectives * route.latency_objective,
                kCallerTimeoutEventGaps * route.event_gap_objective});
  StreamAdmission::Stream stream;
  stream.priority = m_request.priority;
  stream.level = PriorityLevelOf(m_request);
  stream.organisation = m_request.organisation;
  stream.prompt_tokens = m_request.fields.prompt_tokens;
  stream.is_resumed = state.is_resumed;
  stream.has_backup = state.has_backup;
  stream.is_committed = state.is_committed;
  stream.latest_objective_start = m_request.arrived + route.latency_objective - first_event;
  stream.latest_useful_start =
      std::min(m_request.deadline - ExpectedRunTime(), m_request.arrived + caller_timeout) -
      first_event;
  stream.deadline = m_request.deadline;
  return stream;
}

Duration WaitingStream::ExpectedFirstEvent() const {
  return m_context.PrefillRate(m_request.service)
      .EstimateTimeToFirstEvent(m_request.fields.prompt_tokens)
      .value_or(Duration::zero());
}

Duration WaitingStream::ExpectedRunTime() const {
  const Duration longest = (m_request.deadline - m_request.arrived) / kMaxRunTimeDivisor;
  return std::min(m_queue.admission.ExpectedRunTime(m_request.fields.max_output_tokens), longest);
}

void WaitingStream::Leave() {
  if (!m_id) return;
  m_queue.admission.Remove(*m_id);
  m_queue.wakes.erase(*m_id);
  m_id.reset();
  PublishWaiting();
}

void WaitingStream::PublishWaiting() const {
  m_context.metrics.SetGauge("relay_streams_waiting", std::to_string(m_request.priority),
                             static_cast<double>(m_queue.admission.WaitingOf(m_request.priority)));
}

}  // namespace fulmarpoint
