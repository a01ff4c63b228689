#pragma once

#include <memory>
#include <string>
#include <system_error>

#include "transport/task.h"

namespace fulmarpoint {

/// A server-sent event, the end of the stream, or an error. If the stream ends without an error,
/// the reply is complete according to its HTTP framing.
struct HttpEvent {
  std::error_code error;
  bool end = false;
  std::string id;
  std::string event;
  std::string data;
};

/// Reads the server-sent events of one reply. Must be used on the strand that opened it.
class HttpEventStream {
 public:
  struct Connection;
  explicit HttpEventStream(std::shared_ptr<Connection> connection);
  /// Closes the connection.
  ~HttpEventStream();
  HttpEventStream(const HttpEventStream&) = delete;
  HttpEventStream& operator=(const HttpEventStream&) = delete;

  /// Completes with the next event. Nothing is read from the socket between calls, so that a slow
  /// reader exerts backpressure on the sender. Only one call at a time. The stream may be destroyed
  /// during a call, which then completes with an error.
  Task<HttpEvent> Next();
  /// Closes the connection; a pending `Next()` completes with an error.
  void Close();

 private:
  std::shared_ptr<Connection> m_connection;
};

}  // namespace fulmarpoint
