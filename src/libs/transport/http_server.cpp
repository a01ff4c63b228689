#include "transport/http_server.h"

#include <atomic>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <mutex>
#include <unordered_map>
#include <utility>

#include "transport/internal/completion.h"
#include "transport/internal/endpoint.h"
#include "transport/internal/http_connection.h"
#include "utils/logging.h"

namespace fulmarpoint {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Pause after a failed accept, for example when no file descriptor is left.
constexpr Duration kAcceptRetryPause = std::chrono::milliseconds(50);

}  // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
  State(Executor pool, HttpServerLimits server_limits, HttpHandler handle,
        HttpRejectionReply reject)
      : executor(std::move(pool)),
        accept_strand(MakeStrand(executor)),
        acceptor(accept_strand),
        shared(std::make_shared<internal::HttpServerShared>()) {
    shared->SetLimits(server_limits);
    shared->handler = std::move(handle);
    shared->rejection_reply = std::move(reject);
  }

  Task<void> Accept();
  void Start(tcp::socket socket);
  Task<void> Serve(std::shared_ptr<HttpExchange::Connection> connection);
  bool Register(const std::shared_ptr<HttpExchange::Connection>& connection);
  void Unregister(const std::shared_ptr<HttpExchange::Connection>& connection);

  Executor executor;
  Executor accept_strand;
  tcp::acceptor acceptor;
  std::shared_ptr<internal::HttpServerShared> shared;

  std::mutex mutex;
  std::string address;
  std::unordered_map<HttpExchange::Connection*, std::weak_ptr<HttpExchange::Connection>>
      connections;
  std::map<std::string, std::size_t> per_address;
};

Task<void> HttpServer::State::Accept() {
  const std::shared_ptr<State> self = shared_from_this();
  while (acceptor.is_open()) {
    tcp::socket socket(MakeStrand(executor));
    auto [error] = co_await acceptor.async_accept(socket, internal::kCompletion);
    if (error == asio::error::operation_aborted || !acceptor.is_open()) break;
    if (error) {
      co_await Sleep(kAcceptRetryPause);
      continue;
    }
    Start(std::move(socket));
  }
}

void HttpServer::State::Start(tcp::socket socket) {
  const Executor strand = socket.get_executor();
  const std::shared_ptr<HttpExchange::Connection> connection =
      std::make_shared<HttpExchange::Connection>(std::move(socket), strand, shared);
  if (!connection->Prepare()) return;
  const bool accepted = Register(connection);
  Spawn(strand, [self = shared_from_this(), connection, accepted]() -> Task<void> {
    return accepted ? self->Serve(connection)
                    : connection->Reject(HttpRejection::kTooManyConnections, connection);
  });
}

Task<void> HttpServer::State::Serve(std::shared_ptr<HttpExchange::Connection> connection) {
  const std::shared_ptr<State> self = shared_from_this();
  co_await connection->Run();
  Unregister(connection);
}

bool HttpServer::State::Register(const std::shared_ptr<HttpExchange::Connection>& connection) {
  const std::lock_guard<std::mutex> lock(mutex);
  std::size_t& from_address = per_address[connection->PeerIp()];
  const std::shared_ptr<const HttpServerLimits> limits = shared->Limits();
  if (connections.size() >= limits->connections ||
      from_address >= limits->connections_per_address) {
    if (from_address == 0) per_address.erase(connection->PeerIp());
    return false;
  }
  ++from_address;
  connections.emplace(connection.get(), connection);
  return true;
}

void HttpServer::State::Unregister(const std::shared_ptr<HttpExchange::Connection>& connection) {
  const std::lock_guard<std::mutex> lock(mutex);
  connections.erase(connection.get());
  auto found = per_address.find(connection->PeerIp());
  if (found != per_address.end() && --found->second == 0) per_address.erase(found);
}

HttpServer::HttpServer(Executor executor, HttpServerLimits limits, HttpHandler handler,
                       HttpRejectionReply rejection_reply)
    : m_state(std::make_shared<State>(std::move(executor), limits, std::move(handler),
                                      std::move(rejection_reply))) {}

HttpServer::~HttpServer() { Close(); }

std::error_code HttpServer::Listen(std::string_view address) {
  const std::optional<tcp::endpoint> endpoint = internal::ParseEndpoint<tcp::endpoint>(address);
  if (!endpoint) return std::make_error_code(std::errc::invalid_argument);
  boost::system::error_code error;
  tcp::acceptor& acceptor = m_state->acceptor;
  acceptor.open(endpoint->protocol(), error);
  if (!error) acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.bind(*endpoint, error);
  if (!error) acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    boost::system::error_code ignored;
    acceptor.close(ignored);
    return error;
  }
  {
    const std::lock_guard<std::mutex> lock(m_state->mutex);
    m_state->address = internal::AddressText(acceptor.local_endpoint(error));
  }
  Spawn(m_state->accept_strand, [state = m_state]() { return state->Accept(); });
  return {};
}

std::string HttpServer::Address() const {
  const std::lock_guard<std::mutex> lock(m_state->mutex);
  return m_state->address;
}

std::size_t HttpServer::ConnectionCount() const {
  const std::lock_guard<std::mutex> lock(m_state->mutex);
  return m_state->connections.size();
}

void HttpServer::SetLimits(HttpServerLimits limits) { m_state->shared->SetLimits(limits); }

void HttpServer::CloseConnectionsAfterReply() { m_state->shared->closing_after_replies = true; }

void HttpServer::StopAccepting() {
  m_state->shared->stopping = true;
  Post(m_state->accept_strand, [state = m_state]() {
    boost::system::error_code ignored;
    state->acceptor.close(ignored);
  });
  const std::lock_guard<std::mutex> lock(m_state->mutex);
  for (const auto& [key, weak] : m_state->connections) {
    if (const std::shared_ptr<HttpExchange::Connection> connection = weak.lock()) {
      Post(connection->strand, [connection]() { connection->CloseIfIdle(); });
    }
  }
}

void HttpServer::Close() {
  StopAccepting();
  const std::lock_guard<std::mutex> lock(m_state->mutex);
  for (const auto& [key, weak] : m_state->connections) {
    if (const std::shared_ptr<HttpExchange::Connection> connection = weak.lock()) {
      Post(connection->strand, [connection]() { connection->Abort(); });
    }
  }
}

}  // namespace fulmarpoint
