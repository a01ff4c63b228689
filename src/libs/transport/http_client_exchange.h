#pragma once

#include <memory>
#include <string>
#include <system_error>

#include "transport/http_client.h"
#include "transport/http_message.h"
#include "transport/task.h"
#include "utils/byte_budget.h"

namespace fulmarpoint {

/// One connection to a server, on which requests are exchanged step by step: the reply can be read
/// while the request is still being sent, and a step can be ended from outside by `Close()`. Use it
/// on one strand; a step in progress completes with an error when the connection is closed.
class HttpClientExchange {
 public:
  struct Options {
    std::size_t max_head_bytes = std::size_t{32} * 1024;
    /// Time without any sign of life after which the kernel gives the connection up; whole seconds.
    Duration silence_limit = std::chrono::seconds(2);
  };

  HttpClientExchange(const Executor& executor, Options options);
  /// Closes the connection.
  ~HttpClientExchange();
  HttpClientExchange(const HttpClientExchange&) = delete;
  HttpClientExchange& operator=(const HttpClientExchange&) = delete;

  /// Connects to "ip:port".
  Task<std::error_code> Connect(std::string address, Duration timeout);
  /// Begins to send `request`; its address and timeout do not count. The connection must be
  /// reusable or new.
  void Start(HttpClientRequest request);
  /// Reads status and headers of the reply; informational replies are skipped.
  Task<std::error_code> ReadHead(HttpReply& reply, Duration timeout);
  /// Reads some bytes of the body. `data` may be empty before the end.
  Task<std::error_code> ReadSome(std::string& data);
  /// Reads the whole body; fails if it has more than `max_bytes`, or more than `memory` lets it
  /// hold. `memory` must outlive the call.
  Task<std::error_code> ReadBody(std::string& body, std::size_t max_bytes, Duration timeout,
                                 HeldBytes* memory = nullptr);
  /// Returns whether the reply has been read to its end.
  bool BodyDone() const;
  /// Returns whether another request may be sent: both messages are complete, the server keeps the
  /// connection, and it has sent nothing more.
  bool IsReusable() const;
  /// Returns whether the server has neither closed the connection nor sent anything. Only for a
  /// connection without a request.
  bool IsOpenAndIdle();
  /// Returns whether a byte of the current request was handed to the kernel.
  bool HasSent() const;
  void Close();

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
