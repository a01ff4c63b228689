#pragma once

#include <memory>
#include <string>
#include <system_error>

#include "transport/task.h"

namespace fulmarpoint {

struct FrameLimits {
  std::size_t max_frame_bytes = std::size_t{4} * 1024 * 1024;
  /// Maximum number of requests of one connection that wait for their reply.
  std::size_t max_outstanding_requests = 256;
  Duration connect_timeout = std::chrono::seconds(1);
  /// Maximum time from the start of a frame until it is completely read or written.
  Duration frame_timeout = std::chrono::seconds(10);
  /// A server closes a connection on which no frame starts for this long.
  Duration idle_timeout = std::chrono::seconds(120);
  /// Maximum number of connections that a server keeps open.
  std::size_t connections = 1024;
};

/// Result of a request. `reply` is valid only without an error.
struct FramedResult {
  std::error_code error;
  /// On an error: true only if no byte of the request was passed to the kernel, so that the peer
  /// cannot have received it.
  bool nothing_written = false;
  std::string reply;
};

/// Client side of a TCP connection with length-prefixed frames. Replies are matched to requests by
/// an identifier, so that a slow reply does not delay others. Connects on the first request, and
/// again on the next request after a failure. Thread-safe.
class FramedConnection {
 public:
  FramedConnection(const Executor& executor, std::string address, FrameLimits limits);
  /// Closes the connection; pending requests complete with an error.
  ~FramedConnection();
  FramedConnection(const FramedConnection&) = delete;
  FramedConnection& operator=(const FramedConnection&) = delete;

  /// Sends a request and completes with its reply. Fails with `timed_out` after `timeout`, with
  /// `message_size` if `payload` exceeds the frame limit, and with
  /// `resource_unavailable_try_again` if too many requests wait for their reply.
  Task<FramedResult> Request(std::string payload, Duration timeout);
  /// Closes the connection for good; pending and later requests fail with `not_connected`.
  void Close();

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
