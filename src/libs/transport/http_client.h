#pragma once

#include <memory>
#include <string>
#include <system_error>

#include "transport/http_event_stream.h"
#include "transport/http_message.h"
#include "transport/task.h"

namespace fulmarpoint {

struct HttpClientOptions {
  Duration connect_timeout = std::chrono::seconds(1);
  /// An idle connection older than this is closed instead of being used again.
  Duration idle_timeout = std::chrono::seconds(20);
  std::size_t max_idle_connections_per_address = 16;
  std::size_t max_idle_connections = 1024;
  std::size_t max_head_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{8} * 1024 * 1024;
};

/// A request to "ip:port".
struct HttpClientRequest {
  std::string address;
  std::string method = "GET";
  std::string target = "/";
  /// Value of the Host header; the address if empty.
  std::string host;
  HttpHeaders headers;
  std::string body;
  /// Longest time until the reply is complete; for a stream, until its head is complete.
  Duration timeout = std::chrono::seconds(5);
  /// Does not use a pooled connection. Needed where an old connection may have gone silent, and for
  /// a request that must not be sent twice, because a pooled connection may be closing.
  bool new_connection = false;
};

/// Result of a request. `reply` is valid if `error` is empty.
struct HttpResult {
  std::error_code error;
  /// With an error: true only if no byte of the request was handed to the kernel.
  bool nothing_written = false;
  HttpReply reply;
};

/// Result of opening an event stream. Without an error, `stream` is set if the status is 200 and
/// the reply is an event stream; otherwise `reply` is complete.
struct HttpStreamResult {
  std::error_code error;
  bool nothing_written = false;
  HttpReply reply;
  std::unique_ptr<HttpEventStream> stream;
};

/// HTTP/1.1 client with a pool of idle connections by address. Thread-safe; each call runs on the
/// executor of its coroutine, which must be a strand (or an executor with one thread). A call that
/// runs when the client is destroyed completes normally.
class HttpClient {
 public:
  HttpClient(Executor executor, HttpClientOptions options);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends a request and reads the whole reply.
  Task<HttpResult> Send(HttpClientRequest request);
  /// Sends a request on a new connection and reads the reply as server-sent events.
  Task<HttpStreamResult> OpenStream(HttpClientRequest request);

  std::size_t IdleConnectionCount() const;

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
