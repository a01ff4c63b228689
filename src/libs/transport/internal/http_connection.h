#pragma once

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "transport/http_server.h"
#include "transport/internal/completion.h"
#include "transport/internal/deadline.h"

namespace fulmarpoint {

namespace internal {

/// State shared by the connections of one server. `handler` and `rejection_reply` do not change
/// once the server listens.
struct HttpServerShared {
  std::shared_ptr<const HttpServerLimits> Limits() const {
    const std::lock_guard<std::mutex> lock(limits_mutex);
    return limits;
  }
  void SetLimits(const HttpServerLimits& new_limits) {
    std::shared_ptr<const HttpServerLimits> copy =
        std::make_shared<const HttpServerLimits>(new_limits);
    const std::lock_guard<std::mutex> lock(limits_mutex);
    limits = std::move(copy);
  }

  /// Guards `limits`. No other mutex is locked while it is held.
  mutable std::mutex limits_mutex;
  std::shared_ptr<const HttpServerLimits> limits;
  HttpHandler handler;
  HttpRejectionReply rejection_reply;
  std::atomic<bool> stopping{false};
  std::atomic<bool> closing_after_replies{false};
  std::atomic<std::size_t> body_bytes{0};
};

/// Memory for a request body, reserved from the server's `total_body_bytes` until destruction.
/// `shared` must outlive it.
class BodyReservation {
 public:
  explicit BodyReservation(HttpServerShared& shared) : m_shared(shared) {}
  ~BodyReservation() { m_shared.body_bytes -= m_bytes; }
  BodyReservation(const BodyReservation&) = delete;
  BodyReservation& operator=(const BodyReservation&) = delete;

  /// Grows the reservation to `bytes`; returns false and reserves nothing more if that exceeds the
  /// server's limit.
  bool GrowTo(std::size_t bytes);

 private:
  HttpServerShared& m_shared;
  std::size_t m_bytes = 0;
};

}  // namespace internal

/// One accepted connection. All members must be accessed on its strand.
struct HttpExchange::Connection : std::enable_shared_from_this<HttpExchange::Connection> {
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  Connection(boost::asio::ip::tcp::socket connected, Executor own_strand,
             std::shared_ptr<internal::HttpServerShared> server);

  /// Sets socket options and reads the peer's address; returns false if the peer has disconnected.
  bool Prepare();
  /// Serves requests until the connection closes.
  Task<void> Run();
  /// Sends the reply to a rejected request and closes the connection. `self` keeps this object
  /// alive.
  Task<void> Reject(HttpRejection rejection, std::shared_ptr<Connection> self);
  Task<std::error_code> Write(const std::string& data);
  /// Sets whether the connection is reset when the socket is closed, also by the end of the
  /// process. Does nothing if the socket is closed already.
  void SetResetOnClose(bool reset);
  void CloseIfIdle();
  void Abort();
  const std::string& PeerIp() const { return peer_ip; }

  boost::asio::ip::tcp::socket socket;
  Executor strand;
  std::shared_ptr<internal::HttpServerShared> shared;
  boost::beast::flat_buffer buffer;
  std::string peer_ip;
  std::string peer_address;
  std::function<void()> on_client_disconnect;
  bool client_disconnected = false;
  bool close_after_reply = false;
  /// The current request is a HEAD request, whose reply has no body.
  bool is_head_request = false;
  /// Whether the connection waits for a request and has taken no bytes of it from the socket.
  bool idle = true;

 private:
  Task<bool> WaitForRequest();
  /// Ends the connection once it has been idle for the server's limit, which may grow meanwhile.
  void EnforceIdleTimeout(TimePoint idle_since);
  Task<bool> ServeOne(bool first);
  Task<boost::system::error_code> ReadHead(Parser& parser, std::optional<HttpRejection>& rejection);
  Task<boost::system::error_code> ReadBody(Parser& parser, internal::BodyReservation& reservation,
                                           std::optional<HttpRejection>& rejection);
  Task<void> Handle(HttpExchange& exchange);
  /// Waits, for at most the time limit of a write, until the client has received the last reply. If
  /// the socket were closed before, a request that the client sends meanwhile would make the kernel
  /// reset the connection and drop the rest. Such a request is not read, so that the client may
  /// send it elsewhere.
  Task<void> WaitUntilReplyReceived();
  bool HasUnacknowledgedBytes();
  /// Returns whether the client has sent bytes of a request that is not handled yet.
  bool HasUnreadBytes() const;
  /// Ends a connection that waits for a request and has received none, once the client has received
  /// the last reply.
  void EndIdle();
  void WatchClient();
  void CheckClient(std::uint64_t watch_id);
  void StopWatching();
  void MarkClientDisconnected();
  void CloseSocket();

  std::uint64_t m_watch_id = 0;
  std::optional<internal::Deadline> m_idle_deadline;
};

}  // namespace fulmarpoint
