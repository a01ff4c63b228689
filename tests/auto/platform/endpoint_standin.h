#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "transport/http_server.h"
#include "transport/task.h"

namespace fulmarpoint {

/// What an endpoint does with a request.
enum class EndpointBehaviour {
  kAnswer,
  /// Answers a call with its own failure.
  kFail,
  /// States that it has not run the request.
  kRefuse,
  /// Another endpoint has the address.
  kMisdirect,
  /// Answers without the mark of an endpoint.
  kUnsealed,
  /// Breaks the answer off: a call in its body, a stream after `events`.
  kBreak,
  /// Falls silent: a call at once, a stream after `events`.
  kStall,
  /// Leaves out the event after `events`.
  kSkip,
  /// Sends an answer to another request first.
  kStray,
  /// Its process ends when it begins to run a request for the target `crashing_target`.
  kCrash,
};

/// A call or stream as an endpoint received it.
struct SeenRequest {
  HttpRequest request;
  bool caller_left = false;
};

/// The row that an endpoint at `address` keeps in the store.
std::string EndpointRow(const std::string& address, const std::string& service,
                        const std::string& domain, const std::string& state = "ready",
                        const std::string& version = "v1");

/// An endpoint that speaks the platform's protocol. Streams have the events 1 to `total`; each
/// continues after the event that the request names. Used on one strand.
class EndpointStandin {
 public:
  EndpointStandin(const Executor& executor, std::string id);

  /// The row that the endpoint keeps in the store.
  std::string Row(const std::string& service, const std::string& domain,
                  const std::string& state = "ready") const;
  std::string Address() const { return m_server.Address(); }
  const std::string& Id() const { return m_id; }
  /// Header of a received request; empty if absent.
  std::string Header(std::size_t request, const char* name) const;

  EndpointBehaviour behaviour = EndpointBehaviour::kAnswer;
  std::string crashing_target;
  std::string version = "v1";
  int events = 0;
  int total = 10;
  /// Events of the latest stream so far.
  int sent = 0;
  Duration event_interval = std::chrono::milliseconds(2);
  std::vector<SeenRequest> seen;
  /// Addresses to which a run's memory was to be copied, and names of copies that were
  /// freed_backups.
  std::vector<std::string> backup_targets;
  std::vector<std::string> freed_backups;

 private:
  Task<void> Handle(HttpExchange& exchange);
  Task<void> Crash(HttpExchange& exchange);
  Task<void> AnswerCall(HttpExchange& exchange, std::string request_id);
  Task<void> AnswerStream(HttpExchange& exchange, std::string request_id);
  Task<void> WaitUntilGone(HttpExchange& exchange);

  std::string m_id;
  HttpServer m_server;
};

}  // namespace fulmarpoint
