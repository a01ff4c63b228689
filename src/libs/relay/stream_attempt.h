#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <system_error>

#include "protocol/endpoint_record.h"
#include "protocol/relay_messages.h"
#include "relay/relay_wire.h"
#include "transport/event_splitter.h"
#include "transport/http_client_exchange.h"
#include "transport/notification.h"
#include "utils/byte_budget.h"

namespace fulmarpoint {

/// An event of an attempt and when it arrived.
struct ArrivedEvent {
  RawEvent event;
  TimePoint at{};
};

/// Timing of an attempt's events.
struct AttemptTiming {
  /// Time from the start to the first event, and the mean interval between events; zero if unknown.
  Duration first_event{};
  Duration interval{};
};

/// How an attempt ended.
enum class StreamAttemptEnd {
  /// The endpoint ended its stream.
  kComplete,
  /// The endpoint replied with something other than a stream. `Reply()` is complete, but for the
  /// body of a rejection or of a reply that is not the endpoint's own.
  kAnswered,
  /// The connection broke, or the reply's head is invalid or belongs to another request.
  kBroken,
  /// The body is no stream of events.
  kInvalid,
};

/// One attempt to run a stream at an endpoint. Reads the events into a queue as they arrive. Used
/// on one strand.
class StreamAttempt : public std::enable_shared_from_this<StreamAttempt> {
 public:
  /// `wake` is notified when events arrive or the attempt ends; it may be destroyed earlier. The
  /// body of a reply that is not a stream is reserved from `memory`, which must outlive this.
  StreamAttempt(EndpointRecord endpoint, std::shared_ptr<HttpClientExchange> connection,
                std::weak_ptr<Notification> wake, ByteBudget& memory)
      : m_endpoint(std::move(endpoint)),
        m_connection(std::move(connection)),
        m_wake(std::move(wake)),
        m_memory(memory) {}

  /// Sends `request` and reads the reply until its end. Call once; the connection must be new.
  void Start(const Executor& executor, const RelayWire& wire, HttpClientRequest request,
             std::string request_id);
  /// Cancels the attempt by closing its connection. No event arrives afterwards.
  void Cancel();

  bool HasEvent() const { return !m_events.empty(); }
  ArrivedEvent TakeEvent();
  /// Nothing while the attempt is in progress, or as long as events that arrived before its end are
  /// still to be taken.
  std::optional<StreamAttemptEnd> End() const { return HasEvent() ? std::nullopt : m_end; }
  /// Why the attempt broke.
  const std::string& Reason() const { return m_reason; }
  /// Returns what is wrong with the reply if it is no stream of events.
  EventStreamError StreamError() const { return m_splitter.Error(); }
  /// The reply's status and headers, and for `kAnswered` its body.
  HttpReply& Reply() { return m_reply; }
  const EndpointResponseFields& Answer() const { return m_answer; }
  /// Returns when `Answer()` arrived.
  TimePoint AnsweredAt() const { return m_answered_at; }
  const EndpointRecord& Endpoint() const { return m_endpoint; }
  /// Returns when the reading last paused because too many events are still to be taken; what an
  /// engine sends meanwhile does not arrive.
  TimePoint ReadingPausedAt() const { return m_reading_paused_at; }
  /// Returns what marks the end of the reply's body. Precondition: the attempt has ended as
  /// `kComplete`.
  ReplyFraming Framing() const { return m_connection->Framing(); }
  /// Returns the highest number of an event that has arrived, taken or not; nothing if none has.
  const std::optional<std::uint64_t>& LastArrivedEvent() const { return m_last_arrived_event; }
  AttemptTiming Timing() const;
  /// Returns when the first numbered event arrived; nothing if none has.
  std::optional<TimePoint> FirstEventAt() const;

 private:
  Task<void> Read(RelayWire wire, std::string request_id);
  Task<void> ReadEvents();
  void QueueEvents();
  void DoubtQueuedEvent(std::uint64_t id);
  void FinishInvalid();
  bool IsQueueFull() const;
  Task<void> ReadNonStreamAnswer();
  void Finish(StreamAttemptEnd end, std::string reason = {});
  void Wake();

  EndpointRecord m_endpoint;
  std::shared_ptr<HttpClientExchange> m_connection;
  std::weak_ptr<Notification> m_wake;
  ByteReservation m_memory;
  HttpReply m_reply;
  EndpointResponseFields m_answer;
  TimePoint m_answered_at{};
  EventSplitter m_splitter;
  std::deque<ArrivedEvent> m_events;
  std::size_t m_queued_bytes = 0;
  TimePoint m_started{};
  TimePoint m_first_arrival{};
  TimePoint m_last_arrival{};
  TimePoint m_reading_paused_at{};
  /// Numbered events that have arrived.
  int m_event_count = 0;
  std::optional<std::uint64_t> m_last_arrived_event;
  std::optional<StreamAttemptEnd> m_end;
  std::string m_reason;
  bool m_cancelled = false;
};

}  // namespace fulmarpoint
