#include "endless_endpoint.h"

#include <algorithm>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <tuple>
#include <utility>

#include "endpoint_standin.h"
#include "transport/internal/completion.h"

namespace fulmarpoint {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kPieceBytes = std::size_t{16} * 1024;

}  // namespace

EndlessEndpoint::EndlessEndpoint(const Executor& executor, std::string begin,
                                 const std::string& repeated)
    : m_acceptor(executor, {asio::ip::address_v4::loopback(), 0}), m_begin(std::move(begin)) {
  while (m_piece.size() < kPieceBytes) m_piece += repeated;
  Spawn(executor, [this]() { return Accept(); });
}

std::string EndlessEndpoint::Row(const std::string& service) const {
  const std::string port = std::to_string(m_acceptor.local_endpoint().port());
  return EndpointRow("127.0.0.1:" + port, service, "a");
}

Task<void> EndlessEndpoint::Accept() {
  while (true) {
    asio::ip::tcp::socket socket(m_acceptor.get_executor());
    const std::tuple<boost::system::error_code> accepted =
        co_await m_acceptor.async_accept(socket, internal::kCompletion);
    if (std::get<0>(accepted)) co_return;
    m_sockets.push_back(std::move(socket));
    Spawn(m_acceptor.get_executor(),
          [this, &connection = m_sockets.back()]() { return Answer(connection); });
  }
}

Task<void> EndlessEndpoint::Answer(asio::ip::tcp::socket& socket) {
  std::string received;
  const internal::IoResult read = co_await asio::async_read_until(
      socket, asio::dynamic_buffer(received), "\r\n\r\n", internal::kCompletion);
  // A probe only connects.
  if (std::get<0>(read)) co_return;
  ++requests;
  internal::IoResult written =
      co_await asio::async_write(socket, asio::buffer(m_begin), internal::kCompletion);
  std::size_t total = 0;
  while (!std::get<0>(written)) {
    written = co_await asio::async_write(socket, asio::buffer(m_piece), internal::kCompletion);
    total += std::get<1>(written);
    max_written = std::max(max_written, total);
  }
  ++closed;
}

}  // namespace fulmarpoint
