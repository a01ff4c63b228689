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

namespace fulmarpoint {

/// An event of a run and when it arrived.
struct ArrivedEvent {
  RawEvent event;
  TimePoint at{};
};

/// When the events of a run arrived.
struct RunPace {
  /// Time from the start to the first event, and the mean time between events; zero if there was
  /// none.
  Duration first_event{};
  Duration interval{};
};

/// How a run ended.
enum class StreamRunEnd {
  /// The endpoint ended its stream.
  kComplete,
  /// The endpoint answered with something else than a stream; `reply` is complete.
  kAnswered,
  /// The connection broke, or the bytes are no answer to this request.
  kBroken,
};

/// One run of a stream at one endpoint: reads its events into a queue as they arrive. Used on one
/// strand.
class StreamRun : public std::enable_shared_from_this<StreamRun> {
 public:
  /// `wake` is notified when something has arrived and may end before the run does.
  StreamRun(EndpointRecord endpoint, std::shared_ptr<HttpClientExchange> connection,
            std::weak_ptr<Notification> wake)
      : m_endpoint(std::move(endpoint)),
        m_connection(std::move(connection)),
        m_wake(std::move(wake)) {}

  /// Sends `request` and reads until the end. Call once; the connection must be new.
  void Start(const Executor& executor, const RelayWire& wire, HttpClientRequest request,
             std::string request_id);
  /// Ends the run at the endpoint by closing its connection. Nothing arrives afterwards.
  void Cancel();

  bool HasEvent() const { return !m_events.empty(); }
  ArrivedEvent TakeEvent();
  /// Nothing while the run goes on. Events that arrived before are still to be taken.
  const std::optional<StreamRunEnd>& End() const { return m_end; }
  /// Why the run broke.
  const std::string& Reason() const { return m_reason; }
  /// Status and headers, and for `kAnswered` the body.
  HttpReply& Reply() { return m_reply; }
  const EndpointResponseFields& Answer() const { return m_answer; }
  const EndpointRecord& Endpoint() const { return m_endpoint; }
  RunPace Pace() const;

 private:
  Task<void> Read(RelayWire wire, std::string request_id);
  Task<void> ReadEvents();
  bool IsQueueFull() const;
  Task<void> ReadOtherAnswer();
  void Finish(StreamRunEnd end, std::string reason = {});
  void Wake();

  EndpointRecord m_endpoint;
  std::shared_ptr<HttpClientExchange> m_connection;
  std::weak_ptr<Notification> m_wake;
  HttpReply m_reply;
  EndpointResponseFields m_answer;
  EventSplitter m_splitter;
  std::deque<ArrivedEvent> m_events;
  std::size_t m_queued_bytes = 0;
  TimePoint m_started{};
  TimePoint m_first_arrival{};
  TimePoint m_last_arrival{};
  int m_arrivals = 0;
  std::optional<StreamRunEnd> m_end;
  std::string m_reason;
  bool m_cancelled = false;
};

}  // namespace fulmarpoint
