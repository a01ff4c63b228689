#include "transport/internal/http_client_connection.h"

#include <sys/socket.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <cerrno>
#include <utility>

#include "transport/internal/completion.h"
#include "transport/internal/endpoint.h"
#include "transport/internal/http_format.h"

namespace fulmarpoint {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using internal::kCompletion;

namespace {

constexpr std::size_t kReadBytes = std::size_t{8} * 1024;
// Maximum number of informational (1xx) replies before the final one.
constexpr int kMaxInformational = 8;

bool IsSafe(const HttpClientRequest& request) {
  if (!internal::IsSafeToken(request.method) || !internal::IsSafeToken(request.target)) {
    return false;
  }
  if (!request.host.empty() && !internal::IsSafeToken(request.host)) return false;
  for (const HttpHeader& header : request.headers) {
    if (!internal::IsSafeHeader(header)) return false;
  }
  return true;
}

constexpr unsigned kHttp11 = 11;

/// Returns whether the framing of the reply says where its body ends: by `chunked` as the only
/// transfer coding, or without any coding. The parser ignores other codings, so that the coded
/// bytes would be taken for the body.
bool HasKnownFraming(const http::response<http::buffer_body>& reply) {
  const std::size_t codings = reply.count(http::field::transfer_encoding);
  if (codings == 0) return true;
  const bool is_chunked = boost::beast::iequals(reply[http::field::transfer_encoding], "chunked");
  const bool has_length = reply.count(http::field::content_length) > 0;
  return codings == 1 && is_chunked && !has_length && reply.version() >= kHttp11;
}

constexpr int kMinFinalStatus = 200;
constexpr int kMaxStatus = 599;

// No request of this client asks for another protocol.
constexpr unsigned kSwitchingProtocols = 101;

bool IsInformational(unsigned status) { return status / 100 == 1 && status != kSwitchingProtocols; }

bool IsFinalStatus(int status) { return status >= kMinFinalStatus && status <= kMaxStatus; }

}  // namespace

Task<boost::system::error_code> HttpEventStream::Connection::Connect(std::string to) {
  address = std::move(to);
  const std::optional<tcp::endpoint> endpoint = internal::ParseEndpoint<tcp::endpoint>(address);
  if (!endpoint) co_return asio::error::invalid_argument;
  auto [error] = co_await socket.async_connect(*endpoint, kCompletion);
  if (error) co_return error;
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  co_return error;
}

Task<boost::system::error_code> HttpEventStream::Connection::WriteRequest(
    const HttpClientRequest& request, std::size_t& written) {
  if (!IsSafe(request)) co_return asio::error::invalid_argument;
  const std::string& host = request.host.empty() ? address : request.host;
  std::string head =
      internal::FormatRequestHead(request.method, request.target, host, request.headers);
  if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
    head += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  head += "\r\n";
  const std::array<asio::const_buffer, 2> parts = {asio::buffer(head), asio::buffer(request.body)};
  const internal::IoResult result = co_await asio::async_write(socket, parts, kCompletion);
  written = std::get<1>(result);
  co_return std::get<0>(result);
}

Task<boost::system::error_code> HttpEventStream::Connection::ReadHead(bool head_only,
                                                                      std::size_t max_head_bytes,
                                                                      HttpReply& reply) {
  boost::system::error_code error;
  int heads = 0;
  reply_begun = false;
  do {
    if (heads++ > kMaxInformational) co_return http::error::header_limit;
    parser.emplace();
    parser->body_limit(boost::none);
    parser->header_limit(static_cast<std::uint32_t>(max_head_bytes));
    parser->skip(head_only);
    while (!error && !parser->is_header_done()) {
      const internal::IoResult read =
          co_await http::async_read_some(socket, buffer, *parser, kCompletion);
      error = std::get<0>(read);
    }
    reply_begun = reply_begun || parser->got_some();
    if (error) co_return error;
  } while (IsInformational(parser->get().result_int()));
  reply.status = static_cast<int>(parser->get().result_int());
  if (!IsFinalStatus(reply.status)) co_return http::error::bad_status;
  if (!HasKnownFraming(parser->get())) co_return http::error::bad_transfer_encoding;
  for (const auto& field : parser->get()) {
    reply.headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  co_return error;
}

Task<boost::system::error_code> HttpEventStream::Connection::ReadSome(std::string& data) {
  data.resize(kReadBytes);
  auto& body = parser->get().body();
  body.data = data.data();
  body.size = data.size();
  body.more = true;
  const internal::IoResult read =
      co_await http::async_read_some(socket, buffer, *parser, kCompletion);
  boost::system::error_code error = std::get<0>(read);
  if (error == http::error::need_buffer) error = {};
  data.resize(data.size() - parser->get().body().size);
  co_return error;
}

bool HttpEventStream::Connection::IsOpenAndIdle() {
  if (!socket.is_open()) return false;
  char byte = 0;
  const ssize_t got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void HttpEventStream::Connection::Close() {
  boost::system::error_code ignored;
  socket.close(ignored);
}

HttpEventStream::HttpEventStream(std::shared_ptr<Connection> connection)
    : m_connection(std::move(connection)) {}

HttpEventStream::~HttpEventStream() { m_connection->Close(); }

Task<HttpEvent> HttpEventStream::Next() {
  const std::shared_ptr<Connection> connection = m_connection;
  HttpEvent event;
  std::string data;
  while (!connection->events.HasEvent()) {
    if (connection->BodyDone()) {
      event.end = true;
      co_return event;
    }
    const boost::system::error_code error = co_await connection->ReadSome(data);
    if (error) event.error = error;
    if (!error && !connection->events.Append(data)) {
      event.error = std::make_error_code(std::errc::message_size);
    }
    if (event.error) {
      connection->Close();
      co_return event;
    }
  }
  event = connection->events.Take();
  co_return event;
}

void HttpEventStream::Close() { m_connection->Close(); }

}  // namespace fulmarpoint
