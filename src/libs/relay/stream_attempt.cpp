#include "relay/stream_attempt.h"

#include <algorithm>
#include <utility>

namespace fulmarpoint {

namespace {

constexpr std::size_t kMaxNonStreamAnswerBytes = std::size_t{1024} * 1024;
// Practically none: the owner of a `StreamAttempt` cancels it if it takes too long.
constexpr Duration kNoTimeout = std::chrono::hours(24);
// Limits on the events queued for a slow caller. Reading from the endpoint pauses beyond them.
constexpr std::size_t kMaxQueuedEvents = 512;
constexpr std::size_t kMaxQueuedBytes = std::size_t{512} * 1024;
constexpr Duration kQueueCheckInterval = std::chrono::milliseconds(20);

bool IsEventStream(const HttpReply& reply) {
  return reply.status == 200 && HasMediaType(reply.headers, "text/event-stream");
}

}  // namespace

void StreamAttempt::Start(const Executor& executor, const RelayWire& wire,
                          HttpClientRequest request, std::string request_id) {
  m_started = SteadyNow();
  m_connection->Start(std::move(request));
  Spawn(executor, [self = shared_from_this(), wire, id = std::move(request_id)]() {
    return self->Read(wire, id);
  });
}

void StreamAttempt::Cancel() {
  m_cancelled = true;
  m_connection->Close();
}

AttemptTiming StreamAttempt::Timing() const {
  AttemptTiming timing;
  if (m_event_count > 0) timing.first_event = m_first_arrival - m_started;
  if (m_event_count > 1) timing.interval = (m_last_arrival - m_first_arrival) / (m_event_count - 1);
  return timing;
}

std::optional<TimePoint> StreamAttempt::FirstEventAt() const {
  if (m_event_count == 0) return std::nullopt;
  return m_first_arrival;
}

ArrivedEvent StreamAttempt::TakeEvent() {
  if (IsQueueFull()) m_reading_paused_at = SteadyNow();
  ArrivedEvent event = std::move(m_events.front());
  m_events.pop_front();
  m_queued_bytes -= event.event.bytes.size();
  return event;
}

bool StreamAttempt::IsQueueFull() const {
  return m_events.size() >= kMaxQueuedEvents || m_queued_bytes >= kMaxQueuedBytes;
}

Task<void> StreamAttempt::Read(RelayWire wire, std::string request_id) {
  const std::shared_ptr<StreamAttempt> self = shared_from_this();
  const std::error_code error = co_await m_connection->ReadHead(m_reply, kNoTimeout);
  if (error) {
    Finish(StreamAttemptEnd::kBroken, "head: " + error.message());
    co_return;
  }
  m_answer = wire.decode_answer(m_reply.status, m_reply.headers);
  m_answered_at = SteadyNow();
  const bool is_refusal = m_answer.not_run || m_answer.misdirected;
  if (m_answer.request_id != request_id && !(m_answer.request_id.empty() && is_refusal)) {
    Finish(StreamAttemptEnd::kBroken, "answer to another request: " + m_answer.request_id);
    co_return;
  }
  if (FindHeader(m_reply.headers, "Content-Encoding")) {
    Finish(StreamAttemptEnd::kBroken, "answer with content coding");
    co_return;
  }
  if (IsEventStream(m_reply) && m_answer.is_from_endpoint) {
    co_await ReadEvents();
  } else {
    co_await ReadNonStreamAnswer();
  }
}

Task<void> StreamAttempt::ReadEvents() {
  std::string data;
  while (!m_connection->BodyDone()) {
    while (IsQueueFull() && !m_cancelled) {
      co_await Sleep(kQueueCheckInterval);
      m_reading_paused_at = SteadyNow();
    }
    const std::error_code error = co_await m_connection->ReadSome(data);
    if (m_cancelled) co_return;
    if (error) {
      Finish(StreamAttemptEnd::kBroken, "stream: " + error.message());
      co_return;
    }
    const bool is_event_stream = m_splitter.Append(data);
    QueueEvents();
    if (!is_event_stream) {
      FinishInvalid();
      co_return;
    }
  }
  const bool is_complete = m_splitter.Finish();
  QueueEvents();
  if (m_splitter.Error() != EventStreamError::kNone) {
    FinishInvalid();
  } else if (!is_complete) {
    Finish(StreamAttemptEnd::kBroken, "the stream ends within an event");
  } else {
    Finish(StreamAttemptEnd::kComplete);
  }
}

void StreamAttempt::QueueEvents() {
  if (!m_splitter.HasEvent()) return;
  const TimePoint now = SteadyNow();
  while (m_splitter.HasEvent()) {
    RawEvent next = m_splitter.Take();
    if (next.id && next.id == m_last_arrived_event) DoubtQueuedEvent(*next.id);
    m_events.push_back({std::move(next), now});
    const RawEvent& event = m_events.back().event;
    m_queued_bytes += event.bytes.size();
    if (!event.id) continue;
    if (m_event_count++ == 0) m_first_arrival = now;
    m_last_arrival = now;
    m_last_arrived_event = std::max(m_last_arrived_event, event.id);
  }
  Wake();
}

/// Marks an event as doubtful if it is still queued: the endpoint has sent its number again, so one
/// of the two is not the endpoint's event.
void StreamAttempt::DoubtQueuedEvent(std::uint64_t id) {
  for (ArrivedEvent& queued : m_events) {
    if (queued.event.id == id) queued.event.is_doubtful = true;
  }
}

/// Ends the attempt because the bytes that have arrived are no stream of events. Where the foreign
/// ones begin is not known: an event before the first invalid line may end in some of them.
void StreamAttempt::FinishInvalid() {
  bool is_numbered = false;
  while (!m_events.empty() && !is_numbered) {
    is_numbered = m_events.back().event.id.has_value();
    m_queued_bytes -= m_events.back().event.bytes.size();
    m_events.pop_back();
  }
  Finish(StreamAttemptEnd::kInvalid,
         "no event stream: " + std::string(NameOf(kEventStreamErrorNames, m_splitter.Error())));
}

Task<void> StreamAttempt::ReadNonStreamAnswer() {
  const bool is_rejection = m_answer.not_run || m_answer.misdirected;
  const bool is_forwarded = m_answer.is_from_endpoint && !is_rejection;
  if (!is_forwarded) {
    Finish(StreamAttemptEnd::kAnswered);
    co_return;
  }
  const std::error_code error = co_await m_connection->ReadBody(
      m_reply.body, kMaxNonStreamAnswerBytes, kNoTimeout, &m_memory);
  if (error) {
    Finish(StreamAttemptEnd::kBroken, "body: " + error.message());
    co_return;
  }
  Finish(StreamAttemptEnd::kAnswered);
}

void StreamAttempt::Finish(StreamAttemptEnd end, std::string reason) {
  if (m_cancelled) return;
  m_end = end;
  m_reason = std::move(reason);
  m_connection->Close();
  Wake();
}

void StreamAttempt::Wake() {
  if (const std::shared_ptr<Notification> wake = m_wake.lock()) wake->Notify();
}

}  // namespace fulmarpoint
