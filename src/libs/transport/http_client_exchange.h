#pragma once

#include <array>
#include <memory>
#include <string>
#include <system_error>

#include "transport/http_client.h"
#include "transport/http_message.h"
#include "transport/task.h"
#include "utils/byte_budget.h"
#include "utils/enum_names.h"

namespace fulmarpoint {

/// What marks the end of a reply's body.
enum class ReplyFraming { kLength, kChunked, kConnectionClose };

inline constexpr std::array<EnumName<ReplyFraming>, 3> kReplyFramingNames = {{
    {ReplyFraming::kLength, "length"},
    {ReplyFraming::kChunked, "chunked"},
    {ReplyFraming::kConnectionClose, "close"},
}};

/// An HTTP/1.1 client connection that exposes the steps of an exchange: the reply can be read while
/// the request is still being sent, and `Close()` makes a step in progress complete with an error.
/// Must be used on one strand.
class HttpClientExchange {
 public:
  struct Options {
    std::size_t max_head_bytes = std::size_t{32} * 1024;
    /// The kernel drops the connection if the peer acknowledges nothing, not even keep-alive
    /// probes, for this long. Whole seconds.
    Duration dead_peer_timeout = std::chrono::seconds(2);
  };

  HttpClientExchange(const Executor& executor, Options options);
  /// Closes the connection.
  ~HttpClientExchange();
  HttpClientExchange(const HttpClientExchange&) = delete;
  HttpClientExchange& operator=(const HttpClientExchange&) = delete;

  /// Connects to "ip:port".
  Task<std::error_code> Connect(std::string address, Duration timeout);
  /// Starts sending `request`, whose address and timeout are ignored. Precondition:
  /// `IsReusable()`, which also holds for a new connection.
  void Start(HttpClientRequest request);
  /// Reads the status and headers of the reply; informational (1xx) replies are skipped.
  Task<std::error_code> ReadHead(HttpReply& reply, Duration timeout);
  /// Returns whether any byte of the reply that is read has arrived. Precondition: `ReadHead()` has
  /// completed.
  bool HasReplyBegun() const;
  /// Reads some bytes of the body. `data` may be empty before the end.
  Task<std::error_code> ReadSome(std::string& data);
  /// Reads the whole body; fails with `message_size` if it exceeds `max_bytes` or the bytes that
  /// can be reserved from `memory`, which must outlive the call.
  Task<std::error_code> ReadBody(std::string& body, std::size_t max_bytes, Duration timeout,
                                 ByteReservation* memory = nullptr);
  /// Returns what marks the end of the body. Precondition: `ReadHead()` has succeeded.
  ReplyFraming Framing() const;
  /// Returns whether the reply has been read completely.
  bool BodyDone() const;
  /// Returns whether another request may be sent: request and reply are complete, the server keeps
  /// the connection open and has sent nothing after the reply.
  bool IsReusable() const;
  /// Returns whether the server has neither closed the connection nor sent anything. Precondition:
  /// no request is in progress.
  bool IsOpenAndIdle();
  /// Returns whether bytes of the current request may have been passed to the kernel.
  bool HasSent() const;
  void Close();

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
