#include <criterion/criterion.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <list>

#include "platform_world.h"
#include "transport/internal/completion.h"

using namespace fulmarpoint;
namespace asio = boost::asio;

namespace {

constexpr int kReceiveBufferBytes = 4096;
// More than the socket buffers of both ends can hold.
constexpr std::size_t kBodyBytes = std::size_t{16} * 1024 * 1024;

/// An endpoint that replies to each request once its headers have arrived, and reads bodies only
/// when the test calls `ReadToEnd`.
class EarlyEndpoint {
 public:
  explicit EarlyEndpoint(const Executor& executor)
      : m_acceptor(executor, {asio::ip::address_v4::loopback(), 0}) {
    m_acceptor.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
    Spawn(executor, [this]() { return Accept(); });
  }

  std::string Row() const {
    const std::string port = std::to_string(m_acceptor.local_endpoint().port());
    return EndpointRow("127.0.0.1:" + port, "orders", "a");
  }

  /// Reads from the connection until it is closed and returns everything received on it.
  Task<std::string> ReadToEnd(std::size_t connection) {
    Connection& read = *std::next(m_connections.begin(), static_cast<std::ptrdiff_t>(connection));
    co_await asio::async_read(read.socket, asio::dynamic_buffer(read.received),
                              internal::kCompletion);
    co_return read.received;
  }

  std::size_t Connections() const { return m_connections.size(); }

 private:
  struct Connection {
    asio::ip::tcp::socket socket;
    std::string received;
  };

  Task<void> Accept() {
    while (true) {
      asio::ip::tcp::socket socket(m_acceptor.get_executor());
      const std::tuple<boost::system::error_code> accepted =
          co_await m_acceptor.async_accept(socket, internal::kCompletion);
      if (std::get<0>(accepted)) co_return;
      m_connections.push_back({std::move(socket), {}});
      Connection& connection = m_connections.back();
      Spawn(m_acceptor.get_executor(), [this, &connection]() { return Answer(connection); });
    }
  }

  Task<void> Answer(Connection& connection) {
    const auto [error, head_bytes] = co_await asio::async_read_until(
        connection.socket, asio::dynamic_buffer(connection.received), "\r\n\r\n",
        asio::as_tuple(asio::use_awaitable));
    cr_assert_not(error);
    const std::string id = "r" + std::to_string(m_connections.size());
    const std::string reply =
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nKeep-Alive: timeout=60\r\n"
        "Fulmarpoint-Server-Seal: s\r\nFulmarpoint-Request-Id: " +
        id + "\r\n\r\nearly";
    co_await asio::async_write(connection.socket, asio::buffer(reply), internal::kCompletion);
  }

  asio::ip::tcp::acceptor m_acceptor;
  std::list<Connection> m_connections;
};

std::string ConfigurationForLongBodies() {
  std::string text = PlatformWorld::Configuration(1);
  const std::string limit = R"("maxBodyBytes":65536)";
  text.replace(text.find(limit), limit.size(),
               R"("maxBodyBytes":)" + std::to_string(2 * kBodyBytes));
  return text;
}

Task<void> EarlyAnswer(PlatformWorld& world) {
  EarlyEndpoint endpoint(world.loop.GetExecutor());
  world.store->Put("servers", "i-early", endpoint.Row());
  world.store->Put("op", "config", ConfigurationForLongBodies());
  world.StartDaemon();
  co_await PlatformWorld::WaitFor([&world]() { return world.daemon->IsServing(); });
  const HttpResult first =
      co_await world.Send("POST", "/look/long", HttpHeaders(), std::string(kBodyBytes, 'x'));
  cr_assert_eq(first.reply.status, 200);
  cr_assert(first.reply.body == "early");
  const HttpResult second = co_await world.Send("GET", "/look/next");
  cr_assert_eq(second.reply.status, 200);
  cr_assert_eq(endpoint.Connections(), 2u, "the connection with an unfinished body is not used");
  const std::string received = co_await endpoint.ReadToEnd(0);
  const std::size_t body = received.find("\r\n\r\n") + 4;
  cr_assert_eq(received.find_first_not_of('x', body), std::string::npos,
               "only bytes of the body follow");
  cr_assert_lt(received.size() - body, kBodyBytes, "the body was still being sent");
}

}  // namespace

// Guards against a second request that is sent within the body of the first, after the endpoint has
// replied before reading that body.
Test(early_answers, the_rest_of_a_body_is_never_another_request) {
  PlatformWorld world;
  world.Run([&world]() { return EarlyAnswer(world); });
}
