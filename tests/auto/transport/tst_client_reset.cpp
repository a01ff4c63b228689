#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

// A macro of Criterion breaks Boost headers that follow it.
#include <criterion/criterion.h>

#include "transport/event_loop.h"
#include "transport/http_client_exchange.h"
#include "transport/internal/completion.h"

using namespace fulmarpoint;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// More than the kernel takes for a server that does not read.
constexpr std::size_t kUploadBytes = std::size_t{32} * 1024 * 1024;
constexpr Duration kLimit = std::chrono::seconds(10);
// Time in which the client reads what was sent before the connection ends.
constexpr Duration kSettleTime = std::chrono::milliseconds(20);
constexpr char kHead[] = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

/// Replies to a request whose body it does not read with a part of a reply without length, and ends
/// the connection.
Task<void> ServeOnce(tcp::acceptor& acceptor, bool resets) {
  tcp::socket socket(acceptor.get_executor());
  co_await acceptor.async_accept(socket, internal::kCompletion);
  std::string received;
  co_await asio::async_read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n",
                                  internal::kCompletion);
  const std::string reply = std::string(kHead) + "id: 1\ndata: e1\n\n";
  co_await asio::async_write(socket, asio::buffer(reply), internal::kCompletion);
  co_await Sleep(kSettleTime);
  boost::system::error_code ignored;
  if (resets) {
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
  } else {
    socket.shutdown(tcp::socket::shutdown_send, ignored);
    co_await Sleep(kSettleTime);
  }
  socket.close(ignored);
}

/// Returns the error with which the body of a reply ends whose request is still being written.
std::error_code EndOfEarlyReply(bool resets, bool reads_in_parts) {
  EventLoop loop;
  tcp::acceptor acceptor(loop.GetExecutor(), tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  Spawn(loop.GetExecutor(), [&]() { return ServeOnce(acceptor, resets); });
  std::error_code error;
  Spawn(loop.GetExecutor(), [&]() -> Task<void> {
    HttpClientExchange exchange(loop.GetExecutor(), HttpClientExchange::Options());
    const std::string port = std::to_string(acceptor.local_endpoint().port());
    error = co_await exchange.Connect("127.0.0.1:" + port, kLimit);
    cr_assert_not(error);
    HttpClientRequest request;
    request.method = "POST";
    request.target = "/upload";
    request.body = std::string(kUploadBytes, 'u');
    exchange.Start(std::move(request));
    HttpReply reply;
    error = co_await exchange.ReadHead(reply, kLimit);
    cr_assert_not(error, "%s", error.message().c_str());
    std::string body;
    if (!reads_in_parts) error = co_await exchange.ReadBody(body, kUploadBytes, kLimit);
    while (reads_in_parts && !error && !exchange.BodyDone()) {
      error = co_await exchange.ReadSome(body);
    }
    loop.Stop();
  });
  loop.Run();
  loop.DestroyPendingWork();
  return error;
}

}  // namespace

// Guards against a part of a reply that is taken for the whole, because the write of the request
// has received the reset and the read sees only the end of the connection.
Test(client_reset, a_reset_during_the_upload_breaks_a_reply_without_length) {
  for (bool reads_in_parts : {false, true}) cr_expect(EndOfEarlyReply(true, reads_in_parts));
}

// Guards against a part of a reply that is taken for the whole, because its server has closed the
// connection before it has read the request.
Test(client_reset, a_close_during_the_upload_breaks_a_reply_without_length) {
  for (bool reads_in_parts : {false, true}) cr_expect(EndOfEarlyReply(false, reads_in_parts));
}
