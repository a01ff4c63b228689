#include "scripted_endpoints.h"

#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdio>
#include <utility>

// A macro of Criterion breaks Boost headers that follow it.
#include <criterion/criterion.h>

#include "platform_world.h"
#include "transport/address.h"
#include "transport/internal/completion.h"

namespace fulmarpoint {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr Duration kRepeatInterval = std::chrono::milliseconds(1);

int LastEventOf(const std::string& request) {
  const std::string name = "Last-Event-Id: ";
  const std::size_t at = request.find(name);
  return at == std::string::npos ? 0 : std::stoi(request.substr(at + name.size()));
}

std::string Events(const Answer& answer, int after) {
  const bool is_chunked = answer.head.find(kChunked) != std::string::npos;
  const std::string events = AllEvents(after + 1, answer.events);
  return is_chunked && !events.empty() ? InChunk(events) : events;
}

}  // namespace

std::string Head(const std::string& status, const std::string& headers) {
  return "HTTP/1.1 " + status + "\r\n" + kSeal + headers + "\r\n";
}

std::string InChunk(const std::string& data) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", data.size());
  return size + data + "\r\n";
}

Answer GoodStream() {
  return {"whole stream", Head("200 OK", kEventStream), kWholeStreamEvents, "", Ending::kClose};
}

ScriptedEndpoints::ScriptedEndpoints(const Executor& executor, std::vector<Answer> answers,
                                     int count)
    : m_answers(std::move(answers)) {
  for (int endpoint = 0; endpoint < count; ++endpoint) {
    m_acceptors.emplace_back(executor, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    Spawn(executor, [this, &acceptor = m_acceptors.back()]() { return Accept(acceptor); });
  }
}

void ScriptedEndpoints::List(StoreStandin& store, const std::string& service) const {
  for (const tcp::acceptor& acceptor : m_acceptors) {
    const std::string port = std::to_string(acceptor.local_endpoint().port());
    store.Put("servers", "i-" + port, EndpointRow("127.0.0.1:" + port, service, "a"));
  }
}

Task<void> ScriptedEndpoints::Accept(tcp::acceptor& acceptor) {
  while (true) {
    tcp::socket socket(acceptor.get_executor());
    const std::tuple<boost::system::error_code> accepted =
        co_await acceptor.async_accept(socket, internal::kCompletion);
    if (std::get<0>(accepted)) co_return;
    m_sockets.push_back(std::move(socket));
    Spawn(acceptor.get_executor(),
          [this, &connection = m_sockets.back()]() { return Serve(connection); });
  }
}

Task<void> ScriptedEndpoints::Serve(tcp::socket& socket) {
  Ending ending = Ending::kStayOpen;
  while (ending == Ending::kStayOpen) ending = co_await ServeOne(socket);
  boost::system::error_code ignored;
  if (ending == Ending::kReset) {
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
  }
  socket.close(ignored);
}

Task<Ending> ScriptedEndpoints::ServeOne(tcp::socket& socket) {
  std::string received;
  const internal::IoResult read = co_await asio::async_read_until(
      socket, asio::dynamic_buffer(received), "\r\n\r\n", internal::kCompletion);
  // A probe only connects.
  if (std::get<0>(read)) co_return Ending::kClose;
  const std::size_t at = std::min<std::size_t>(requests++, m_answers.size() - 1);
  const Answer answer = m_answers[at];
  const std::string bytes = answer.head + Events(answer, LastEventOf(received)) + answer.tail;
  co_await asio::async_write(socket, asio::buffer(bytes), internal::kCompletion);
  while (!answer.repeated.empty()) {
    const internal::IoResult written =
        co_await asio::async_write(socket, asio::buffer(answer.repeated), internal::kCompletion);
    if (std::get<0>(written)) co_return Ending::kClose;
    co_await Sleep(kRepeatInterval);
  }
  co_await Sleep(kSettleTime);
  co_return answer.ending;
}

Received ParseReply(std::string bytes, bool was_closed_cleanly) {
  http::response_parser<http::string_body> parser;
  parser.eager(true);
  boost::system::error_code error;
  std::size_t used = 0;
  while (!error && used < bytes.size() && !parser.is_done()) {
    used += parser.put(asio::buffer(bytes.data() + used, bytes.size() - used), error);
  }
  if (error == http::error::need_more) error = {};
  if (!error && !parser.is_done() && was_closed_cleanly) parser.put_eof(error);
  Received received;
  received.is_whole = !error && parser.is_done();
  if (parser.is_header_done()) received.status = static_cast<int>(parser.get().result_int());
  received.body = parser.get().body();
  cr_assert(!parser.is_done() || used == bytes.size(), "bytes after the reply");
  received.bytes = std::move(bytes);
  return received;
}

std::string RequestText(const Exchange& exchange) {
  return "POST " + exchange.target + " " + exchange.version +
         "\r\nHost: h.example\r\nAuthorization: Bearer key-1\r\nConnection: close\r\n"
         "Fulmarpoint-Request-Id: r1\r\nFulmarpoint-Model: m\r\n"
         "Fulmarpoint-Token-Count: 50,80\r\nFulmarpoint-Prompt-Prefix: 5c1e07a2:50\r\n"
         "Content-Length: 0\r\nFulmarpoint-Deadline-Ms: " +
         exchange.deadline + "\r\n\r\n";
}

Task<Received> SendRequest(std::string address, std::string request) {
  const std::optional<SocketAddress> to = ParseSocketAddress(address);
  tcp::socket socket(co_await asio::this_coro::executor);
  co_await socket.async_connect({asio::ip::make_address(to->ip), to->port}, internal::kCompletion);
  co_await asio::async_write(socket, asio::buffer(request), internal::kCompletion);
  std::string bytes;
  const internal::IoResult read =
      co_await asio::async_read(socket, asio::dynamic_buffer(bytes), internal::kCompletion);
  co_return ParseReply(std::move(bytes), std::get<0>(read) == asio::error::eof);
}

Received Play(const Exchange& exchange, std::vector<Answer> answers, int* requests) {
  PlatformWorld world;
  ScriptedEndpoints endpoints(world.loop.GetExecutor(), std::move(answers));
  const bool is_stream = exchange.target.substr(0, 8) == "/stream/";
  Received received;
  world.Run([&]() -> Task<void> {
    endpoints.List(*world.store, is_stream ? "drafts" : "orders");
    co_await world.Start();
    received = co_await SendRequest(world.daemon->CallerAddress(), RequestText(exchange));
  });
  if (requests != nullptr) *requests = endpoints.requests;
  return received;
}

void CheckWholeStream(const Received& received, const std::string& name) {
  cr_expect_eq(received.status, 200, "%s: %d", name.c_str(), received.status);
  cr_expect(received.is_whole, "%s: not whole", name.c_str());
  cr_expect(received.body == AllEvents(1, kWholeStreamEvents), "%s: %s", name.c_str(),
            received.bytes.c_str());
}

}  // namespace fulmarpoint
