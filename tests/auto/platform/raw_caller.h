#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>
#include <vector>

#include "platform_world.h"
#include "transport/http_server.h"

namespace fulmarpoint {

/// An endpoint whose reply the test chooses.
class ReplyingEndpoint {
 public:
  explicit ReplyingEndpoint(const Executor& executor)
      : m_server(
            executor, HttpServerLimits(),
            [this](HttpExchange& exchange) { return Handle(exchange); },
            [](HttpRejection) {
              return HttpReply{400, {}, ""};
            }) {
    m_server.Listen("127.0.0.1:0");
  }

  std::string Row() const { return EndpointRow(m_server.Address(), "orders", "a"); }

  int status = 200;
  std::string body = "short";
  bool has_length = true;
  Duration pause{};
  std::vector<HttpRequest> seen;

  void SetIdleTimeout(Duration timeout) {
    HttpServerLimits limits;
    limits.idle_timeout = timeout;
    m_server.SetLimits(limits);
  }

 private:
  Task<void> Handle(HttpExchange& exchange);

  HttpServer m_server;
};

/// A caller that sends bytes as they are on one connection.
class RawCaller {
 public:
  explicit RawCaller(const Executor& executor) : m_socket(executor) {}

  Task<void> Connect(std::string address);

  Task<void> Send(std::string bytes);

  /// Sends bytes before it returns, so that they are in the daemon's kernel buffer.
  void SendNow(const std::string& bytes);

  /// Reads the head of a reply and returns it; empty if the connection ended before.
  Task<std::string> ReadHead();

  /// Reads a body slowly; returns fewer bytes if the connection ended within it.
  Task<std::string> ReadBody(std::size_t size);

  /// Returns how many bytes of bodies have arrived, those that the caller has not read included.
  std::size_t ReceivedBytes() const { return m_body_bytes + m_socket.available(); }

 private:
  boost::asio::ip::tcp::socket m_socket;
  std::string m_received;
  std::size_t m_body_bytes = 0;
};

/// Returns a request of route "look" with its head complete; `headers` are lines that end in CRLF.
std::string Request(const std::string& method, const std::string& id,
                    const std::string& headers = "");

/// Sends a short request and reads its reply, so that the connection is a kept one.
Task<void> UseOnce(RawCaller& caller);

/// Runs `test` with a daemon, one endpoint of service "orders" and a connected caller.
void RunTest(Task<void> (*test)(PlatformWorld&, ReplyingEndpoint&, RawCaller&),
             const std::function<void(RelaySettings&)>& change_settings = {});

}  // namespace fulmarpoint
