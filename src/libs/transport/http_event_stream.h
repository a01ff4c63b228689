#pragma once

#include <memory>
#include <string>
#include <system_error>

#include "transport/task.h"

namespace fulmarpoint {

/// A server-sent event, the end of the stream, or an error. A stream that ends without an error has
/// been received completely as far as HTTP can tell.
struct HttpEvent {
  std::error_code error;
  bool end = false;
  std::string id;
  std::string event;
  std::string data;
};

/// Reads server-sent events of one reply. Use it only on the strand that opened it.
class HttpEventStream {
 public:
  struct Connection;
  explicit HttpEventStream(std::shared_ptr<Connection> connection);
  /// Closes the connection.
  ~HttpEventStream();
  HttpEventStream(const HttpEventStream&) = delete;
  HttpEventStream& operator=(const HttpEventStream&) = delete;

  /// Completes with the next event. Nothing is read ahead while no call is pending, so that a
  /// reader that stops calling delays the sender. One call at a time. The stream may be destroyed
  /// during the call, which then completes with an error.
  Task<HttpEvent> Next();
  /// Closes the connection; a pending `Next()` completes with an error.
  void Close();

 private:
  std::shared_ptr<Connection> m_connection;
};

}  // namespace fulmarpoint
