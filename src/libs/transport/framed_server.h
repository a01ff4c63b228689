#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

#include "transport/framed_connection.h"
#include "transport/task.h"

namespace fulmarpoint {

/// Answers one request. Runs on the strand of the connection, several at a time. An empty result
/// closes the connection without an answer; a payload that can't be authenticated deserves none.
using FrameHandler = std::function<Task<std::string>(std::string request, std::string peer)>;

/// Accepts framed connections. Thread-safe.
class FramedServer {
 public:
  FramedServer(Executor executor, FrameLimits limits, FrameHandler handler);
  /// Calls `Close()`.
  ~FramedServer();
  FramedServer(const FramedServer&) = delete;
  FramedServer& operator=(const FramedServer&) = delete;

  /// Opens "ip:port" and accepts connections; port 0 selects a free port.
  std::error_code Listen(std::string_view address);
  std::string Address() const;
  std::size_t ConnectionCount() const;
  void Close();

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
