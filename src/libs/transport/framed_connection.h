#pragma once

#include <memory>
#include <string>
#include <system_error>

#include "transport/task.h"

namespace fulmarpoint {

struct FrameLimits {
  std::size_t frame_bytes = std::size_t{4} * 1024 * 1024;
  /// Requests of one connection that wait for their reply.
  std::size_t outstanding = 256;
  Duration connect_timeout = std::chrono::seconds(1);
  /// Time in which a frame that has begun must arrive or be written.
  Duration frame_time = std::chrono::seconds(10);
  /// A server closes a connection that sends nothing for this long.
  Duration idle_timeout = std::chrono::seconds(120);
  /// Connections that a server accepts.
  std::size_t connections = 1024;
};

/// Result of a request. `reply` is valid if `error` is empty.
struct FramedResult {
  std::error_code error;
  /// With an error: true only if no byte of the request was handed to the kernel.
  bool nothing_written = false;
  std::string reply;
};

/// Client side of a TCP connection with length-prefixed frames. Requests are matched to replies by
/// an identifier, so that a slow reply does not delay others. Connects when first used, and again
/// after a failure. Thread-safe.
class FramedConnection {
 public:
  FramedConnection(const Executor& executor, std::string address, FrameLimits limits);
  /// Closes the connection; pending requests complete with an error.
  ~FramedConnection();
  FramedConnection(const FramedConnection&) = delete;
  FramedConnection& operator=(const FramedConnection&) = delete;

  Task<FramedResult> Request(std::string payload, Duration timeout);
  void Close();

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
