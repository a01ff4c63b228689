#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

#include "transport/framed_connection.h"
#include "transport/task.h"

namespace fulmarpoint {

/// Handles one request and completes with the reply. Runs on the strand of the connection; several
/// requests of one connection can be in progress at the same time. An empty result closes the
/// connection without a reply; use it for a payload that can't be authenticated. `peer` is
/// "ip:port".
using FrameHandler = std::function<Task<std::string>(std::string request, std::string peer)>;

/// Server side of `FramedConnection`. Connections beyond the limit are closed at once. Thread-safe.
class FramedServer {
 public:
  FramedServer(Executor executor, FrameLimits limits, FrameHandler handler);
  /// Calls `Close()`.
  ~FramedServer();
  FramedServer(const FramedServer&) = delete;
  FramedServer& operator=(const FramedServer&) = delete;

  /// Opens "ip:port" and accepts connections; port 0 selects a free port.
  std::error_code Listen(std::string_view address);
  /// Returns "ip:port" of the open socket, or an empty string.
  std::string Address() const;
  std::size_t ConnectionCount() const;
  /// Stops accepting and closes all connections.
  void Close();

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
