#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

#include "transport/http_message.h"
#include "transport/task.h"

namespace fulmarpoint {

struct HttpServerLimits {
  std::size_t head_bytes = std::size_t{16} * 1024;
  std::size_t body_bytes = std::size_t{1024} * 1024;
  /// Sum of the request bodies that are being received or handled.
  std::size_t total_body_bytes = std::size_t{256} * 1024 * 1024;
  std::size_t url_bytes = std::size_t{8} * 1024;
  std::size_t connections = 4096;
  /// Connections from one IP address.
  std::size_t connections_per_address = 2048;
  /// Time from the first byte of a request (or the connection's start) to the end of its head.
  Duration head_timeout = std::chrono::seconds(10);
  /// Time from the end of a request's head to its last byte.
  Duration body_timeout = std::chrono::seconds(10);
  /// Time a connection may stay open between two requests.
  Duration idle_timeout = std::chrono::seconds(60);
  /// Time one write may wait for the client to accept bytes.
  Duration write_time = std::chrono::seconds(60);
  /// Size of the kernel's send buffer of a connection; it bounds the output that a client which
  /// does not read keeps in memory.
  int send_buffer_bytes = 32 * 1024;
};

/// Why the server answers a request without calling the handler.
enum class HttpRejection {
  kMalformed,
  kHeadTooLarge,
  kUrlTooLong,
  kBodyTooLarge,
  kTimeout,
  kTooManyConnections,
  kBodyMemoryLimit,
  kHandlerFailed,
};

/// One request and the means to answer it. Use it only in the handler's coroutine and on its
/// strand; it ends when the handler completes.
class HttpExchange {
 public:
  struct Connection;
  HttpExchange(Connection& connection, HttpRequest request);
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  const HttpRequest& Request() const { return m_request; }
  /// Moves the body out, so that a long stream does not hold it.
  std::string TakeBody() { return std::move(m_request.body); }

  /// Sends a whole reply. Content-Length is added.
  Task<std::error_code> Respond(HttpReply reply);
  /// Starts a reply whose length is not known.
  Task<std::error_code> StartStream(int status, HttpHeaders headers);
  /// Writes a part of a started reply and completes when the kernel has accepted it, so that a slow
  /// client delays the writer. `data` must not be empty.
  Task<std::error_code> WriteChunk(std::string data);
  /// Ends a started reply.
  Task<std::error_code> FinishStream();
  /// Closes the connection after this exchange.
  void CloseAfterReply();

  /// Returns whether the client closed its connection or a write failed.
  bool ClientDisconnected() const;
  /// Calls `function` once on the handler's strand when the client has gone. It replaces the
  /// function set before; an empty one removes it.
  void OnClientDisconnect(std::function<void()> function);
  /// Returns whether a reply was started.
  bool Started() const { return m_started; }

 private:
  Task<std::error_code> Write(const std::string& data);

  Connection& m_connection;
  HttpRequest m_request;
  bool m_started = false;
  bool m_streaming = false;
  bool m_chunked = false;

  friend struct Connection;
};

/// Answers one request. Runs on the strand of its connection.
using HttpHandler = std::function<Task<void>(HttpExchange&)>;

/// Builds the reply to a request that the server rejects itself.
using HttpRejectionReply = std::function<HttpReply(HttpRejection)>;

/// HTTP/1.1 server with keep-alive. Requests of one connection are handled one after another.
/// Thread-safe.
class HttpServer {
 public:
  HttpServer(Executor executor, HttpServerLimits limits, HttpHandler handler,
             HttpRejectionReply rejection_reply);
  /// Calls `Close()`.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Opens "ip:port" and accepts connections; port 0 selects a free port.
  std::error_code Listen(std::string_view address);
  /// Returns "ip:port" of the open socket, or an empty text.
  std::string Address() const;
  std::size_t ConnectionCount() const;
  /// Replaces the limits. Connections that are open use the new ones from their next request on.
  void SetLimits(HttpServerLimits limits);
  /// Closes each connection after its next reply, which says so; new ones are still accepted.
  void CloseConnectionsAfterReply();
  /// Accepts no more connections and closes each one after its current request.
  void StopAccepting();
  /// Also aborts the current requests: their clients count as gone.
  void Close();

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
