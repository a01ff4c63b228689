#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <optional>
#include <string>

#include "transport/http_client.h"
#include "transport/internal/event_parser.h"

namespace fulmarpoint {

/// One client connection. Must be used on the strand of the call that holds it.
struct HttpEventStream::Connection {
  using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  Connection(const Executor& executor, std::size_t max_buffer_bytes)
      : socket(executor), buffer(max_buffer_bytes) {}

  /// Connects to "ip:port".
  Task<boost::system::error_code> Connect(std::string address);
  /// Writes a request. Sets `written` to the number of bytes that the kernel accepted.
  Task<boost::system::error_code> WriteRequest(const HttpClientRequest& request,
                                               std::size_t& written);
  /// Reads the reply's head; skips informational (1xx) replies. `head_only` means that the reply
  /// has no body.
  Task<boost::system::error_code> ReadHead(bool head_only, std::size_t max_head_bytes,
                                           HttpReply& reply);
  /// Reads some body bytes into `data`; `data` may stay empty before the end.
  Task<boost::system::error_code> ReadSome(std::string& data);
  bool BodyDone() const { return parser->is_done(); }
  /// Returns whether only the end of the connection marks the end of the body. Precondition: the
  /// head has been read.
  bool EndsWithConnection() const { return parser->need_eof(); }
  bool KeepAlive() const { return parser->keep_alive() && buffer.size() == 0; }
  /// Returns whether the peer has neither closed the connection nor sent anything.
  bool IsOpenAndIdle();
  void Close();

  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  std::optional<Parser> parser;
  /// Bytes of the current reply have arrived, be it an informational one.
  bool reply_begun = false;
  internal::EventParser events;
  std::string address;
  TimePoint idle_since;
};

}  // namespace fulmarpoint
