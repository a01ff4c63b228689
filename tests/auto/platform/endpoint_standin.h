#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "transport/http_server.h"
#include "transport/task.h"

namespace fulmarpoint {

/// How an endpoint handles a request.
enum class EndpointBehaviour {
  kAnswer,
  /// Replies with status 500.
  kFail,
  /// Rejects the request and states that it has not run it.
  kReject,
  /// Replies as another endpoint that has taken over the address.
  kMisdirect,
  /// Replies without an endpoint's seal.
  kUnsealed,
  /// Closes the connection within the reply: a call in its body, a stream after
  /// `events_before_fault` events.
  kBreak,
  /// Stalls: a call at once, a stream after `events_before_fault` events.
  kStall,
  /// Is silent for `pause` and then goes on: a call at once, a stream after `events_before_fault`
  /// events.
  kPause,
  /// Skips one event of a stream after `events_before_fault` events.
  kSkip,
  /// Replies with the identifier of another request.
  kStray,
  /// Crashes when it starts to run a request for the target `crashing_target`, or one whose prompt
  /// has the part `crashing_part`.
  kCrash,
};

/// A call or stream as an endpoint received it.
struct SeenRequest {
  HttpRequest request;
  bool caller_disconnected = false;
};

/// Returns the row that an endpoint at `address` keeps in the store.
std::string EndpointRow(const std::string& address, const std::string& service,
                        const std::string& domain, const std::string& state = "ready",
                        const std::string& version = "v1");

/// Returns the events `first` to `last` as an `EndpointStandin` sends them.
std::string AllEvents(int first, int last);

/// Test double of an endpoint that speaks the platform's protocol. Streams have the events 1 to
/// `total_events` and start after the event that the request names. Used on one strand.
class EndpointStandin {
 public:
  EndpointStandin(const Executor& executor, std::string id);

  /// Returns the row that the endpoint keeps in the store.
  std::string Row(const std::string& service, const std::string& domain,
                  const std::string& state = "ready") const;
  std::string Address() const { return m_server.Address(); }
  const std::string& Id() const { return m_id; }
  /// Returns a header of a received request; empty if absent.
  std::string Header(std::size_t request, const char* name) const;

  EndpointBehaviour behaviour = EndpointBehaviour::kAnswer;
  /// Headers of all replies, beside those of the behaviour.
  HttpHeaders extra_headers;
  std::string crashing_target;
  std::string crashing_part;
  std::string version = "v1";
  int events_before_fault = 0;
  Duration pause{};
  int total_events = 10;
  /// Bytes by which each event is longer than those of `AllEvents()`.
  std::size_t event_padding = 0;
  /// Events sent on the latest stream so far.
  int sent = 0;
  /// The latest stream was sent whole.
  bool has_finished_stream = false;
  Duration event_interval = std::chrono::milliseconds(2);
  std::vector<SeenRequest> seen;
  /// Target addresses of the KV cache backups requested, and names of the backups released.
  std::vector<std::string> backup_targets;
  std::vector<std::string> freed_backups;

 private:
  Task<void> Handle(HttpExchange& exchange);
  /// Returns whether a stream gets the reply of a call.
  bool AnswersWithoutEvents() const;
  bool Crashes(const HttpRequest& request) const;
  HttpReply WithExtraHeaders(HttpReply reply) const;
  Task<void> Crash(HttpExchange& exchange);
  Task<void> AnswerCall(HttpExchange& exchange, std::string request_id);
  Task<void> AnswerStream(HttpExchange& exchange, std::string request_id);
  Task<void> WaitUntilCallerDisconnected(HttpExchange& exchange);

  std::string m_id;
  HttpServer m_server;
};

}  // namespace fulmarpoint
