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
  /// Total size of the request bodies that are being received or handled.
  std::size_t total_body_bytes = std::size_t{256} * 1024 * 1024;
  std::size_t url_bytes = std::size_t{8} * 1024;
  std::size_t connections = 4096;
  /// Maximum number of connections from one IP address.
  std::size_t connections_per_address = 2048;
  /// Maximum time from the first byte of a request (of the first request: from the connection's
  /// start) to the end of its head.
  Duration head_timeout = std::chrono::seconds(10);
  /// Maximum time from the end of a request's head to its last byte.
  Duration body_timeout = std::chrono::seconds(10);
  /// Maximum time that a connection may be idle between two requests.
  Duration idle_timeout = std::chrono::seconds(60);
  /// Maximum duration of one write; a slow client delays it.
  Duration write_timeout = std::chrono::seconds(60);
  /// Size of the kernel's send buffer of a connection. It bounds the memory for output to a client
  /// that does not read.
  int send_buffer_bytes = 32 * 1024;
};

/// Reason why the server itself replies to a request.
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

/// One request and the operations to reply to it. Must be used only on the strand of the handler's
/// coroutine; it is destroyed after the handler completes.
class HttpExchange {
 public:
  struct Connection;
  HttpExchange(Connection& connection, HttpRequest request);
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  const HttpRequest& Request() const { return m_request; }
  /// Moves the body out, so that it does not stay in memory during a long stream.
  std::string TakeBody() { return std::move(m_request.body); }

  /// Sends a complete reply. Content-Length is added.
  Task<std::error_code> Respond(HttpReply reply);
  /// Starts a reply of unknown length. The reply to a HEAD request is its head only: parts of the
  /// body are dropped. If the handler returns or the connection ends before
  /// `FinishStream()`, the client can tell that the reply is incomplete: the last chunk is missing,
  /// or, for an HTTP/1.0 client, the connection is reset.
  Task<std::error_code> StartStream(int status, HttpHeaders headers);
  /// Writes a part of a streamed reply. Completes when the kernel has accepted it, so that a slow
  /// client exerts backpressure. `data` must not be empty.
  Task<std::error_code> WriteChunk(std::string data);
  /// Ends a streamed reply.
  Task<std::error_code> FinishStream();
  /// Closes the connection after this exchange.
  void CloseAfterReply();

  /// Returns whether the client has closed the connection or a write has failed.
  bool ClientDisconnected() const;
  /// Sets the function to call once on the handler's strand when the client disconnects; if it has
  /// already, the call is posted. Replaces a function set before; an empty one removes it.
  void OnClientDisconnect(std::function<void()> function);
  /// Returns whether a reply has been started.
  bool Started() const { return m_started; }

 private:
  Task<std::error_code> WritePart(std::string text);
  /// The reply to a HEAD request has no body, whatever its headers say.
  bool IsHeadRequest() const { return m_request.method == "HEAD"; }

  Connection& m_connection;
  HttpRequest m_request;
  bool m_started = false;
  bool m_streaming = false;
  /// The first error of a part of a stream.
  std::error_code m_write_error;
  bool m_chunked = false;

  friend struct Connection;
};

/// Handles one request. Runs on the strand of its connection.
using HttpHandler = std::function<Task<void>(HttpExchange&)>;

/// Builds the reply to a request that the server rejects without calling the handler.
using HttpRejectionReply = std::function<HttpReply(HttpRejection)>;

/// HTTP/1.1 server with persistent connections. Requests of one connection are handled one after
/// another, requests of different connections concurrently. Thread-safe.
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
  /// Returns "ip:port" of the open socket, or an empty string.
  std::string Address() const;
  std::size_t ConnectionCount() const;
  /// Replaces the limits. Open connections use the new limits from their next request on; a longer
  /// idle timeout holds for connections that are idle now.
  void SetLimits(HttpServerLimits limits);
  /// Makes each connection close after its next reply, which carries `Connection: close`. New
  /// connections are still accepted and treated alike.
  void CloseConnectionsAfterReply();
  /// Stops accepting connections, closes idle ones and closes the others after their current
  /// request.
  void StopAccepting();
  /// Like `StopAccepting()`, but also aborts the current requests as if their clients had
  /// disconnected.
  void Close();

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
