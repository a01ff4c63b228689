#include "transport/internal/http_connection.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <cerrno>
#include <charconv>
#include <exception>
#include <tuple>
#include <utility>

#include "transport/internal/endpoint.h"
#include "transport/internal/http_format.h"
#include "utils/logging.h"

namespace fulmarpoint {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using internal::kCompletion;

namespace {

const char kContinueReply[] = "HTTP/1.1 100 Continue\r\n\r\n";

constexpr std::size_t kBufferSlackBytes = 4096;

// Limits of the lingering close after a rejection. The peer may still be sending, and closing a
// socket with unread data makes the kernel reset the connection before the peer has read the reply.
constexpr Duration kLingerTime = std::chrono::seconds(1);
constexpr std::size_t kLingerBytes = std::size_t{256} * 1024;
// Interval of the checks whether the client has received the last reply before the socket is
// closed.
constexpr Duration kReplyCheckInterval = std::chrono::milliseconds(5);

HttpRejection RejectionOf(const boost::system::error_code& error) {
  if (error == http::error::header_limit) return HttpRejection::kHeadTooLarge;
  if (error == http::error::buffer_overflow) return HttpRejection::kHeadTooLarge;
  if (error == http::error::body_limit) return HttpRejection::kBodyTooLarge;
  return HttpRejection::kMalformed;
}

bool IsProtocolError(const boost::system::error_code& error) {
  return error.category() == make_error_code(http::error::bad_method).category() &&
         error != http::error::end_of_stream && error != http::error::partial_message;
}

/// Returns whether the request's framing says where its body ends: by `Content-Length` alone, or by
/// `chunked` as the only transfer coding. The parser takes a request with another coding for one
/// without a body, so that its body would be read as the next request.
bool HasKnownFraming(const HttpExchange::Connection::Parser& parser) {
  const http::request<http::string_body>& message = parser.get();
  const std::size_t codings = message.count(http::field::transfer_encoding);
  if (codings == 0) return true;
  const bool is_chunked = boost::beast::iequals(message[http::field::transfer_encoding], "chunked");
  return codings == 1 && is_chunked && message.version() >= 11;
}

/// Returns the request without its body. Must be called before the body is read, because the parser
/// adds the trailer fields to the headers.
HttpRequest ToRequest(HttpExchange::Connection::Parser& parser, const std::string& peer) {
  http::request<http::string_body>& message = parser.get();
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message) {
    request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  request.peer_address = peer;
  return request;
}

}  // namespace

namespace internal {

bool BodyReservation::GrowTo(std::size_t bytes) {
  if (bytes <= m_bytes) return true;
  const std::size_t more = bytes - m_bytes;
  if (m_shared.body_bytes.fetch_add(more) + more > m_shared.Limits()->total_body_bytes) {
    m_shared.body_bytes -= more;
    return false;
  }
  m_bytes = bytes;
  return true;
}

}  // namespace internal

HttpExchange::Connection::Connection(tcp::socket connected, Executor own_strand,
                                     std::shared_ptr<internal::HttpServerShared> server)
    : socket(std::move(connected)),
      strand(std::move(own_strand)),
      shared(std::move(server)),
      buffer(shared->Limits()->head_bytes + kBufferSlackBytes) {}

bool HttpExchange::Connection::Prepare() {
  boost::system::error_code error;
  const tcp::endpoint peer = socket.remote_endpoint(error);
  if (error) return false;
  peer_ip = peer.address().to_string();
  peer_address = internal::AddressText(peer);
  socket.set_option(tcp::no_delay(true), error);
  socket.set_option(asio::socket_base::send_buffer_size(shared->Limits()->send_buffer_bytes),
                    error);
  return true;
}

Task<void> HttpExchange::Connection::Run() {
  const std::shared_ptr<Connection> self = shared_from_this();
  bool first = true;
  while (co_await ServeOne(first)) {
    first = false;
    idle = true;
    // A client that was not told of the close may have sent its next request already.
    if (shared->stopping && !HasUnreadBytes()) break;
    if (!co_await WaitForRequest()) break;
  }
  if (!client_disconnected) co_await WaitUntilReplyReceived();
  CloseSocket();
}

Task<bool> HttpExchange::Connection::WaitForRequest() {
  if (buffer.size() > 0) co_return true;
  EnforceIdleTimeout(SteadyNow());
  auto [error] = co_await socket.async_wait(tcp::socket::wait_read, kCompletion);
  m_idle_deadline.reset();
  co_return !error && socket.is_open();
}

void HttpExchange::Connection::EnforceIdleTimeout(TimePoint idle_since) {
  const Duration left = shared->Limits()->idle_timeout - (SteadyNow() - idle_since);
  if (left <= Duration::zero()) {
    EndIdle();
    return;
  }
  m_idle_deadline.emplace(strand, left, [this, idle_since]() { EnforceIdleTimeout(idle_since); });
}

Task<bool> HttpExchange::Connection::ServeOne(bool first) {
  const std::shared_ptr<const HttpServerLimits> limits = shared->Limits();
  internal::BodyReservation reservation(*shared);
  std::optional<Parser> parser(std::in_place);
  parser->header_limit(static_cast<std::uint32_t>(limits->head_bytes));
  parser->body_limit(limits->body_bytes);
  buffer.max_size(limits->head_bytes + kBufferSlackBytes);
  std::optional<HttpRejection> rejection;
  is_head_request = false;
  idle = first;
  boost::system::error_code error = co_await ReadHead(*parser, rejection);
  std::optional<HttpRequest> request;
  if (!error && !rejection) {
    request = ToRequest(*parser, peer_address);
    is_head_request = request->method == "HEAD";
    error = co_await ReadBody(*parser, reservation, rejection);
  }
  if (rejection) {
    co_await Reject(*rejection, shared_from_this());
    co_return false;
  }
  // A request whose connection has been aborted meanwhile could not be answered.
  if (error || !request || !socket.is_open()) co_return false;
  request->body = std::move(parser->get().body());
  const bool keep_alive = parser->get().keep_alive();
  HttpExchange exchange(*this, std::move(*request));
  exchange.m_chunked = parser->get().version() >= 11;
  parser.reset();
  close_after_reply = !keep_alive || shared->stopping || shared->closing_after_replies;
  co_await Handle(exchange);
  co_return !close_after_reply && !client_disconnected;
}

Task<boost::system::error_code> HttpExchange::Connection::ReadHead(
    Parser& parser, std::optional<HttpRejection>& rejection) {
  // Shutting down the receiving side ends this and all later reads; a reply can still be sent.
  const internal::Deadline deadline(strand, shared->Limits()->head_timeout, [this]() {
    boost::system::error_code ignored;
    socket.shutdown(tcp::socket::shutdown_receive, ignored);
  });
  boost::system::error_code error;
  if (idle) {
    // A read could take bytes from the socket while `CloseIfIdle()` still finds the connection
    // idle.
    std::tie(error) = co_await socket.async_wait(tcp::socket::wait_read, kCompletion);
    idle = false;
  }
  while (!error && !parser.is_header_done()) {
    const internal::IoResult read =
        co_await http::async_read_some(socket, buffer, parser, kCompletion);
    error = std::get<0>(read);
  }
  if (deadline.Expired()) {
    if (parser.got_some() || buffer.size() > 0) rejection = HttpRejection::kTimeout;
    co_return asio::error::timed_out;
  }
  if (error && IsProtocolError(error)) rejection = RejectionOf(error);
  if (!error && !HasKnownFraming(parser)) rejection = HttpRejection::kMalformed;
  co_return error;
}

Task<boost::system::error_code> HttpExchange::Connection::ReadBody(
    Parser& parser, internal::BodyReservation& reservation,
    std::optional<HttpRejection>& rejection) {
  const std::shared_ptr<const HttpServerLimits> limits = shared->Limits();
  boost::system::error_code error;
  if (parser.get().target().size() > limits->url_bytes) {
    rejection = HttpRejection::kUrlTooLong;
    co_return error;
  }
  if (parser.content_length() && *parser.content_length() > limits->body_bytes) {
    rejection = HttpRejection::kBodyTooLarge;
    co_return error;
  }
  if (!parser.is_done() &&
      boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
    const std::string text(kContinueReply);
    if (co_await Write(text)) co_return asio::error::connection_reset;
  }
  const internal::Deadline deadline(strand, limits->body_timeout, [this]() {
    boost::system::error_code ignored;
    socket.shutdown(tcp::socket::shutdown_receive, ignored);
  });
  while (!error && !parser.is_done()) {
    const internal::IoResult read =
        co_await http::async_read_some(socket, buffer, parser, kCompletion);
    error = std::get<0>(read);
    if (!reservation.GrowTo(parser.get().body().capacity())) {
      rejection = HttpRejection::kBodyMemoryLimit;
      co_return error;
    }
  }
  if (deadline.Expired()) {
    rejection = HttpRejection::kTimeout;
    co_return asio::error::timed_out;
  }
  if (error && IsProtocolError(error)) rejection = RejectionOf(error);
  co_return error;
}

Task<void> HttpExchange::Connection::Handle(HttpExchange& exchange) {
  WatchClient();
  bool failed = false;
  try {
    co_await shared->handler(exchange);
  } catch (const std::exception& exception) {
    failed = true;
    Log(LogLevel::kError, "handler_failed", {{"reason", exception.what()}});
  }
  on_client_disconnect = nullptr;
  StopWatching();
  if (exchange.m_started && !exchange.m_streaming) co_return;
  close_after_reply = true;
  if (exchange.m_started) co_return;
  if (failed || !client_disconnected)
    co_await Reject(HttpRejection::kHandlerFailed, shared_from_this());
}

Task<void> HttpExchange::Connection::Reject(HttpRejection rejection,
                                            [[maybe_unused]] std::shared_ptr<Connection> self) {
  close_after_reply = true;
  HttpReply reply = shared->rejection_reply(rejection);
  reply.headers.push_back({"Content-Length", std::to_string(reply.body.size())});
  reply.headers.push_back({"Connection", "close"});
  std::string text = internal::FormatReplyHead(reply.status, reply.headers) + "\r\n";
  if (!is_head_request) text += reply.body;
  if (co_await Write(text)) co_return;
  boost::system::error_code error;
  socket.shutdown(tcp::socket::shutdown_send, error);
  const internal::Deadline deadline(strand, kLingerTime, [this]() { CloseSocket(); });
  std::string ignored(4096, '\0');
  std::size_t total = 0;
  while (!error && total < kLingerBytes) {
    const internal::IoResult read =
        co_await socket.async_read_some(asio::buffer(ignored), kCompletion);
    error = std::get<0>(read);
    total += std::get<1>(read);
  }
  CloseSocket();
}

Task<void> HttpExchange::Connection::WaitUntilReplyReceived() {
  const TimePoint limit = SteadyNow() + shared->Limits()->write_timeout;
  while (HasUnacknowledgedBytes() && SteadyNow() < limit) co_await Sleep(kReplyCheckInterval);
}

bool HttpExchange::Connection::HasUnacknowledgedBytes() {
  int bytes = 0;
  return socket.is_open() && ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

Task<std::error_code> HttpExchange::Connection::Write(const std::string& data) {
  if (client_disconnected) co_return make_error_code(std::errc::connection_reset);
  const internal::Deadline deadline(strand, shared->Limits()->write_timeout,
                                    [this]() { CloseSocket(); });
  const internal::IoResult written =
      co_await asio::async_write(socket, asio::buffer(data), kCompletion);
  const boost::system::error_code error = std::get<0>(written);
  if (error) MarkClientDisconnected();
  co_return error;
}

void HttpExchange::Connection::CloseIfIdle() {
  if (idle) EndIdle();
}

bool HttpExchange::Connection::HasUnreadBytes() const {
  boost::system::error_code ignored;
  return buffer.size() > 0 || socket.available(ignored) > 0;
}

void HttpExchange::Connection::EndIdle() {
  // A request has arrived in time, but the event loop has not yet learnt of it.
  if (HasUnreadBytes()) return;
  if (!HasUnacknowledgedBytes()) {
    CloseSocket();
    return;
  }
  // Ends the wait for the next request. The socket is closed when the client has the reply.
  boost::system::error_code ignored;
  socket.cancel(ignored);
}

void HttpExchange::Connection::Abort() {
  CloseSocket();
  MarkClientDisconnected();
}

void HttpExchange::Connection::WatchClient() {
  if (client_disconnected || !socket.is_open()) return;
  const std::uint64_t watch_id = ++m_watch_id;
  socket.async_wait(tcp::socket::wait_read,
                    [self = shared_from_this(), watch_id](const boost::system::error_code& error) {
                      if (!error) self->CheckClient(watch_id);
                    });
}

void HttpExchange::Connection::CheckClient(std::uint64_t watch_id) {
  if (watch_id != m_watch_id || !socket.is_open()) return;
  char byte = 0;
  const ssize_t got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  // Unread bytes of a pipelined request hide the end of the stream; a failed write will reveal it.
  if (got > 0) return;
  if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
    WatchClient();
    return;
  }
  MarkClientDisconnected();
}

void HttpExchange::Connection::StopWatching() {
  ++m_watch_id;
  boost::system::error_code ignored;
  if (socket.is_open()) socket.cancel(ignored);
}

void HttpExchange::Connection::MarkClientDisconnected() {
  if (std::exchange(client_disconnected, true)) return;
  const std::function<void()> notify = std::exchange(on_client_disconnect, nullptr);
  if (notify) notify();
}

void HttpExchange::Connection::SetResetOnClose(bool reset) {
  // The option is set past Asio, which would remove it again when the socket is destroyed.
  const struct linger option = {reset ? 1 : 0, 0};
  ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

void HttpExchange::Connection::CloseSocket() {
  boost::system::error_code ignored;
  socket.close(ignored);
}

HttpExchange::HttpExchange(Connection& connection, HttpRequest request)
    : m_connection(connection), m_request(std::move(request)) {}

Task<std::error_code> HttpExchange::Respond(HttpReply reply) {
  if (m_started) co_return std::make_error_code(std::errc::operation_not_permitted);
  m_started = true;
  const bool has_body = reply.status != 204 && reply.status != 304;
  // The length of the body that a GET request would get is unknown here.
  if (has_body && !IsHeadRequest()) {
    reply.headers.push_back({"Content-Length", std::to_string(reply.body.size())});
  }
  if (m_connection.close_after_reply) reply.headers.push_back({"Connection", "close"});
  std::string text = internal::FormatReplyHead(reply.status, reply.headers) + "\r\n";
  if (has_body && !IsHeadRequest()) text += reply.body;
  co_return co_await m_connection.Write(text);
}

Task<std::error_code> HttpExchange::StartStream(int status, HttpHeaders headers) {
  if (m_started) co_return std::make_error_code(std::errc::operation_not_permitted);
  m_started = true;
  m_streaming = true;
  if (m_chunked) headers.push_back({"Transfer-Encoding", "chunked"});
  if (!m_chunked) {
    m_connection.close_after_reply = true;
    // Nothing but the end of the connection tells the client that the reply is complete.
    m_connection.SetResetOnClose(true);
  }
  if (m_connection.close_after_reply) headers.push_back({"Connection", "close"});
  const std::string text = internal::FormatReplyHead(status, headers) + "\r\n";
  co_return co_await m_connection.Write(text);
}

Task<std::error_code> HttpExchange::WriteChunk(std::string data) {
  if (!m_streaming || data.empty()) {
    co_return std::make_error_code(std::errc::operation_not_permitted);
  }
  if (IsHeadRequest()) co_return std::error_code();
  if (!m_chunked) co_return co_await WritePart(std::move(data));
  char size[20];
  const std::to_chars_result end = std::to_chars(size, size + sizeof size, data.size(), 16);
  std::string text(size, end.ptr);
  text.append("\r\n").append(data).append("\r\n");
  co_return co_await WritePart(std::move(text));
}

Task<std::error_code> HttpExchange::WritePart(std::string text) {
  const std::error_code error = co_await m_connection.Write(text);
  if (error) m_write_error = error;
  co_return error;
}

Task<std::error_code> HttpExchange::FinishStream() {
  if (!m_streaming) co_return std::make_error_code(std::errc::operation_not_permitted);
  // A stream that lacks a part must not look complete.
  if (m_write_error) co_return m_write_error;
  m_streaming = false;
  if (!m_chunked) {
    m_connection.SetResetOnClose(false);
    co_return std::error_code();
  }
  if (IsHeadRequest()) co_return std::error_code();
  const std::string text = "0\r\n\r\n";
  co_return co_await m_connection.Write(text);
}

void HttpExchange::CloseAfterReply() { m_connection.close_after_reply = true; }

bool HttpExchange::ClientDisconnected() const { return m_connection.client_disconnected; }

void HttpExchange::OnClientDisconnect(std::function<void()> function) {
  if (m_connection.client_disconnected && function) {
    Post(m_connection.strand, std::move(function));
    return;
  }
  m_connection.on_client_disconnect = std::move(function);
}

}  // namespace fulmarpoint
