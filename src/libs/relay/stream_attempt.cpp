#include "relay/stream_attempt.h"

#include <utility>

namespace fulmarpoint {

namespace {

constexpr std::size_t kMaxOtherAnswerBytes = std::size_t{1024} * 1024;
// The caller of `StreamRun` cancels a run that takes too long.
constexpr Duration kNoTimeout = std::chrono::hours(24);
// Events that wait for a slow caller; the endpoint is read no further beyond that.
constexpr std::size_t kMaxQueuedEvents = 512;
constexpr std::size_t kMaxQueuedBytes = std::size_t{512} * 1024;
constexpr Duration kQueueCheckInterval = std::chrono::milliseconds(20);

bool IsEventStream(const HttpReply& reply) {
  const std::optional<std::string_view> type = FindHeader(reply.headers, "Content-Type");
  return reply.status == 200 && type && type->substr(0, 17) == "text/event-stream";
}

}  // namespace

void StreamRun::Start(const Executor& executor, const RelayWire& wire, HttpClientRequest request,
                      std::string request_id) {
  m_started = SteadyNow();
  m_connection->Start(std::move(request));
  Spawn(executor, [self = shared_from_this(), wire, id = std::move(request_id)]() {
    return self->Read(wire, id);
  });
}

void StreamRun::Cancel() {
  m_cancelled = true;
  m_connection->Close();
}

RunPace StreamRun::Pace() const {
  RunPace pace;
  if (m_arrivals > 0) pace.first_event = m_first_arrival - m_started;
  if (m_arrivals > 1) pace.interval = (m_last_arrival - m_first_arrival) / (m_arrivals - 1);
  return pace;
}

ArrivedEvent StreamRun::TakeEvent() {
  ArrivedEvent event = std::move(m_events.front());
  m_events.pop_front();
  m_queued_bytes -= event.event.bytes.size();
  return event;
}

bool StreamRun::IsQueueFull() const {
  return m_events.size() >= kMaxQueuedEvents || m_queued_bytes >= kMaxQueuedBytes;
}

Task<void> StreamRun::Read(RelayWire wire, std::string request_id) {
  const std::shared_ptr<StreamRun> self = shared_from_this();
  const std::error_code error = co_await m_connection->ReadHead(m_reply, kNoTimeout);
  if (error) {
    Finish(StreamRunEnd::kBroken, "head: " + error.message());
    co_return;
  }
  m_answer = wire.decode_answer(m_reply.status, m_reply.headers);
  const bool is_refusal = m_answer.not_run || m_answer.misdirected;
  if (m_answer.request_id != request_id && !(m_answer.request_id.empty() && is_refusal)) {
    Finish(StreamRunEnd::kBroken, "answer to request " + m_answer.request_id);
    co_return;
  }
  if (FindHeader(m_reply.headers, "Content-Encoding")) {
    Finish(StreamRunEnd::kBroken, "the answer is encoded");
    co_return;
  }
  if (IsEventStream(m_reply) && m_answer.is_from_endpoint) {
    co_await ReadEvents();
  } else {
    co_await ReadOtherAnswer();
  }
}

Task<void> StreamRun::ReadEvents() {
  std::string data;
  while (!m_connection->BodyDone()) {
    while (IsQueueFull() && !m_cancelled) co_await Sleep(kQueueCheckInterval);
    const std::error_code error = co_await m_connection->ReadSome(data);
    if (m_cancelled) co_return;
    if (error) {
      Finish(StreamRunEnd::kBroken, "stream: " + error.message());
      co_return;
    }
    if (!m_splitter.Append(data)) {
      Finish(StreamRunEnd::kBroken, "an event is too large");
      co_return;
    }
    const TimePoint now = SteadyNow();
    const bool arrived = m_splitter.HasEvent();
    while (m_splitter.HasEvent()) {
      m_events.push_back({m_splitter.Take(), now});
      if (m_arrivals++ == 0) m_first_arrival = now;
      m_last_arrival = now;
      m_queued_bytes += m_events.back().event.bytes.size();
    }
    if (arrived) Wake();
  }
  if (m_splitter.HasPartial()) {
    Finish(StreamRunEnd::kBroken, "the stream ends within an event");
    co_return;
  }
  Finish(StreamRunEnd::kComplete);
}

Task<void> StreamRun::ReadOtherAnswer() {
  const std::error_code error =
      co_await m_connection->ReadBody(m_reply.body, kMaxOtherAnswerBytes, kNoTimeout);
  const bool is_refusal = m_answer.not_run || m_answer.misdirected;
  if (error && !is_refusal) {
    Finish(StreamRunEnd::kBroken, "body: " + error.message());
    co_return;
  }
  Finish(StreamRunEnd::kAnswered);
}

void StreamRun::Finish(StreamRunEnd end, std::string reason) {
  if (m_cancelled) return;
  m_end = end;
  m_reason = std::move(reason);
  m_connection->Close();
  Wake();
}

void StreamRun::Wake() {
  if (const std::shared_ptr<Notification> wake = m_wake.lock()) wake->Notify();
}

}  // namespace fulmarpoint
