#include "raw_caller.h"

#include <criterion/criterion.h>

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <optional>

#include "transport/address.h"
#include "transport/internal/completion.h"

namespace fulmarpoint {

namespace asio = boost::asio;

namespace {

constexpr int kReceiveBufferBytes = 4096;
constexpr Duration kSlowReadPause = std::chrono::milliseconds(1);
constexpr std::size_t kSlowReadBytes = std::size_t{2} * 1024;

}  // namespace

Task<void> ReplyingEndpoint::Handle(HttpExchange& exchange) {
  seen.push_back(exchange.Request());
  HttpReply reply;
  reply.status = status;
  reply.headers.push_back(
      {"Fulmarpoint-Request-Id",
       std::string(FindHeader(exchange.Request().headers, "Fulmarpoint-Request-Id").value_or(""))});
  reply.headers.push_back({"Fulmarpoint-Server-Seal", "seal"});
  reply.body = body;
  co_await Sleep(pause);
  if (has_length) {
    co_await exchange.Respond(std::move(reply));
    co_return;
  }
  co_await exchange.StartStream(reply.status, std::move(reply.headers));
  co_await exchange.WriteChunk(std::move(reply.body));
  co_await exchange.FinishStream();
}

Task<void> RawCaller::Connect(std::string address) {
  const std::optional<SocketAddress> to = ParseSocketAddress(address);
  m_socket.open(asio::ip::tcp::v4());
  m_socket.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
  co_await m_socket.async_connect({asio::ip::make_address(to->ip), to->port},
                                  internal::kCompletion);
}

Task<void> RawCaller::Send(std::string bytes) {
  co_await asio::async_write(m_socket, asio::buffer(bytes), internal::kCompletion);
}

void RawCaller::SendNow(const std::string& bytes) { asio::write(m_socket, asio::buffer(bytes)); }

Task<std::string> RawCaller::ReadHead() {
  const auto [error, size] = co_await asio::async_read_until(
      m_socket, asio::dynamic_buffer(m_received), "\r\n\r\n", asio::as_tuple(asio::use_awaitable));
  if (error) co_return std::string();
  std::string head = m_received.substr(0, size);
  m_received.erase(0, size);
  co_return head;
}

Task<std::string> RawCaller::ReadBody(std::size_t size) {
  boost::system::error_code error;
  std::string part(kSlowReadBytes, '\0');
  while (!error && m_received.size() < size) {
    co_await m_socket.async_wait(asio::ip::tcp::socket::wait_read, internal::kCompletion);
    const std::size_t got = m_socket.read_some(asio::buffer(part), error);
    m_received.append(part, 0, got);
    m_body_bytes += got;
    if (got == part.size()) co_await Sleep(kSlowReadPause);
  }
  std::string body = m_received.substr(0, size);
  m_received.erase(0, size);
  co_return body;
}

std::string Request(const std::string& method, const std::string& id, const std::string& headers) {
  return method + " /look/" + id +
         " HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key-1\r\n"
         "Fulmarpoint-Request-Id: " +
         id + "\r\nFulmarpoint-Deadline-Ms: 5000\r\n" + headers + "\r\n";
}

Task<void> UseOnce(RawCaller& caller) {
  co_await caller.Send(Request("GET", "first"));
  cr_assert_neq(co_await caller.ReadHead(), "");
  const std::string body = co_await caller.ReadBody(5);
  cr_assert(body == "short");
}

void RunTest(Task<void> (*test)(PlatformWorld&, ReplyingEndpoint&, RawCaller&),
             const std::function<void(RelaySettings&)>& change_settings) {
  PlatformWorld world;
  if (change_settings) change_settings(world.settings);
  ReplyingEndpoint endpoint(world.loop.GetExecutor());
  RawCaller caller(world.loop.GetExecutor());
  world.Run([&]() -> Task<void> {
    world.store->Put("servers", "i-replying", endpoint.Row());
    co_await world.Start();
    co_await caller.Connect(world.daemon->CallerAddress());
    co_await test(world, endpoint, caller);
  });
}

}  // namespace fulmarpoint
