#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

// A macro of Criterion breaks Boost headers that follow it.
#include <criterion/criterion.h>

#include "transport/address.h"
#include "transport/event_loop.h"
#include "transport/http_server.h"
#include "transport/internal/completion.h"

using namespace fulmarpoint;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

Task<void> StreamReply(HttpExchange& exchange) {
  co_await exchange.StartStream(200, HttpHeaders());
  co_await exchange.WriteChunk("part");
  co_await exchange.FinishStream();
}

Task<void> ReplyNothing(HttpExchange&) { co_return; }

/// Sends `requests` to a server that streams its replies, and returns all that it sends until it
/// closes the connection.
std::string AnswerTo(std::string requests, HttpHandler handler = &StreamReply) {
  EventLoop loop;
  HttpServer server(loop.GetExecutor(), HttpServerLimits(), std::move(handler), [](HttpRejection) {
    return HttpReply{400, {}, "rejected"};
  });
  server.Listen("127.0.0.1:0");
  std::string received;
  Spawn(loop.GetExecutor(), [&]() -> Task<void> {
    const std::optional<SocketAddress> to = ParseSocketAddress(server.Address());
    tcp::socket socket(loop.GetExecutor());
    co_await socket.async_connect({asio::ip::make_address(to->ip), to->port},
                                  internal::kCompletion);
    co_await asio::async_write(socket, asio::buffer(requests), internal::kCompletion);
    co_await asio::async_read(socket, asio::dynamic_buffer(received), internal::kCompletion);
    loop.Stop();
  });
  loop.Run();
  loop.DestroyPendingWork();
  return received;
}

std::string RequestOf(const std::string& method, const std::string& version,
                      const std::string& connection) {
  return method + " /stream HTTP/" + version + "\r\nHost: h\r\nConnection: " + connection +
         "\r\n\r\n";
}

std::string AfterHead(const std::string& reply) {
  const std::size_t end = reply.find("\r\n\r\n");
  cr_assert_neq(end, std::string::npos, "%s", reply.c_str());
  return reply.substr(end + 4);
}

}  // namespace

// Guards against parts of a streamed body after the reply to a HEAD request, which the client takes
// for bytes that are no reply.
Test(head_requests, a_streamed_reply_has_no_body) {
  for (const char* version : {"1.1", "1.0"}) {
    const std::string rest = AfterHead(AnswerTo(RequestOf("HEAD", version, "close")));
    cr_expect_eq(rest.size(), 0u, "%s: %s", version, rest.c_str());
  }
}

// Guards against a next reply on the connection that a client cannot find.
Test(head_requests, the_next_reply_follows_the_head) {
  const std::string rest = AfterHead(
      AnswerTo(RequestOf("HEAD", "1.1", "keep-alive") + RequestOf("GET", "1.1", "close")));
  cr_assert_eq(rest.rfind("HTTP/1.1 200", 0), 0u, "%s", rest.c_str());
  cr_assert(AfterHead(rest) == "4\r\npart\r\n0\r\n\r\n", "%s", rest.c_str());
}

// Guards against a body after the reply to a HEAD request whose handler has not replied.
Test(head_requests, a_rejection_has_no_body) {
  const std::string rest = AfterHead(AnswerTo(RequestOf("HEAD", "1.1", "close"), &ReplyNothing));
  cr_assert_eq(rest.size(), 0u, "%s", rest.c_str());
}
