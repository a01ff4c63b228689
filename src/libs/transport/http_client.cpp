#include "transport/http_client.h"

#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

#include "transport/internal/deadline.h"
#include "transport/internal/http_client_connection.h"

namespace fulmarpoint {

namespace asio = boost::asio;

namespace {

using Connection = HttpEventStream::Connection;
using ConnectionPointer = std::shared_ptr<Connection>;

constexpr std::size_t kBufferSlackBytes = std::size_t{16} * 1024;

bool IsEventStream(const HttpReply& reply) {
  return reply.status == 200 && HasMediaType(reply.headers, "text/event-stream");
}

}  // namespace

struct HttpClient::State {
  State(Executor pool, HttpClientOptions client_options)
      : executor(std::move(pool)), options(client_options) {}

  ConnectionPointer TakeIdle(const std::string& address);
  void PutIdle(ConnectionPointer connection);
  Task<std::error_code> Connect(const HttpClientRequest& request, ConnectionPointer connection);
  Task<std::error_code> Exchange(const HttpClientRequest& request, ConnectionPointer connection,
                                 std::size_t& written, HttpReply& reply);
  Task<std::error_code> ReadBody(ConnectionPointer connection, HttpReply& reply);

  const Executor executor;
  const HttpClientOptions options;
  std::mutex mutex;
  std::map<std::string, std::deque<ConnectionPointer>> idle;
  std::size_t idle_count = 0;
};

ConnectionPointer HttpClient::State::TakeIdle(const std::string& address) {
  const TimePoint oldest = SteadyNow() - options.idle_timeout;
  const std::lock_guard<std::mutex> lock(mutex);
  const auto found = idle.find(address);
  if (found == idle.end()) return nullptr;
  ConnectionPointer taken;
  std::deque<ConnectionPointer>& connections = found->second;
  while (!connections.empty() && !taken) {
    // The most recently used connection is the least likely to have been closed by a middlebox.
    taken = std::move(connections.back());
    connections.pop_back();
    --idle_count;
    if (taken->idle_since < oldest || !taken->IsOpenAndIdle()) taken.reset();
  }
  if (connections.empty()) idle.erase(found);
  return taken;
}

void HttpClient::State::PutIdle(ConnectionPointer connection) {
  connection->parser.reset();
  connection->idle_since = SteadyNow();
  const std::lock_guard<std::mutex> lock(mutex);
  if (idle_count >= options.max_idle_connections) return;
  std::deque<ConnectionPointer>& connections = idle[connection->address];
  if (connections.size() >= options.max_idle_connections_per_address) {
    connections.pop_front();
    --idle_count;
  }
  connections.push_back(std::move(connection));
  ++idle_count;
}

Task<std::error_code> HttpClient::State::Connect(const HttpClientRequest& request,
                                                 ConnectionPointer connection) {
  const Executor strand = co_await CurrentExecutor();
  const internal::Deadline deadline(strand, std::min(options.connect_timeout, request.timeout),
                                    [connection]() { connection->Close(); });
  const boost::system::error_code error = co_await connection->Connect(request.address);
  if (deadline.Expired()) co_return std::make_error_code(std::errc::timed_out);
  co_return error;
}

Task<std::error_code> HttpClient::State::Exchange(const HttpClientRequest& request,
                                                  ConnectionPointer connection,
                                                  std::size_t& written, HttpReply& reply) {
  boost::system::error_code error = co_await connection->WriteRequest(request, written);
  if (error) co_return error;
  error = co_await connection->ReadHead(request.method == "HEAD", options.max_head_bytes, reply);
  co_return error;
}

Task<std::error_code> HttpClient::State::ReadBody(ConnectionPointer connection, HttpReply& reply) {
  std::string data;
  while (!connection->BodyDone()) {
    const boost::system::error_code error = co_await connection->ReadSome(data);
    if (error) co_return error;
    if (reply.body.size() + data.size() > options.max_body_bytes) {
      co_return std::make_error_code(std::errc::message_size);
    }
    reply.body += data;
  }
  co_return std::error_code();
}

HttpClient::HttpClient(Executor executor, HttpClientOptions options)
    : m_state(std::make_shared<State>(std::move(executor), options)) {}

HttpClient::~HttpClient() = default;

Task<HttpResult> HttpClient::Send(HttpClientRequest request) {
  const std::shared_ptr<State> state = m_state;
  const Executor strand = co_await CurrentExecutor();
  HttpResult result;
  ConnectionPointer connection;
  if (!request.new_connection) connection = state->TakeIdle(request.address);
  const TimePoint start = SteadyNow();
  if (!connection) {
    connection = std::make_shared<Connection>(state->executor,
                                              state->options.max_head_bytes + kBufferSlackBytes);
    result.error = co_await state->Connect(request, connection);
  }
  result.nothing_written = true;
  if (result.error) co_return result;
  std::size_t written = 0;
  {
    const internal::Deadline deadline(strand, request.timeout - (SteadyNow() - start),
                                      [connection]() { connection->Close(); });
    result.error = co_await state->Exchange(request, connection, written, result.reply);
    if (!result.error) result.error = co_await state->ReadBody(connection, result.reply);
    if (deadline.Expired()) result.error = std::make_error_code(std::errc::timed_out);
  }
  result.nothing_written = written == 0;
  if (result.error) {
    connection->Close();
  } else if (connection->KeepAlive()) {
    state->PutIdle(std::move(connection));
  }
  co_return result;
}

Task<HttpStreamResult> HttpClient::OpenStream(HttpClientRequest request) {
  const std::shared_ptr<State> state = m_state;
  const Executor strand = co_await CurrentExecutor();
  HttpStreamResult result;
  const ConnectionPointer connection = std::make_shared<Connection>(
      state->executor, state->options.max_head_bytes + kBufferSlackBytes);
  const TimePoint start = SteadyNow();
  result.error = co_await state->Connect(request, connection);
  result.nothing_written = true;
  if (result.error) co_return result;
  std::size_t written = 0;
  const internal::Deadline deadline(strand, request.timeout - (SteadyNow() - start),
                                    [connection]() { connection->Close(); });
  result.error = co_await state->Exchange(request, connection, written, result.reply);
  if (!result.error && !deadline.Expired() && IsEventStream(result.reply)) {
    result.stream = std::make_unique<HttpEventStream>(connection);
    co_return result;
  }
  if (!result.error) result.error = co_await state->ReadBody(connection, result.reply);
  if (deadline.Expired()) result.error = std::make_error_code(std::errc::timed_out);
  result.nothing_written = written == 0;
  connection->Close();
  co_return result;
}

std::size_t HttpClient::IdleConnectionCount() const {
  const std::lock_guard<std::mutex> lock(m_state->mutex);
  return m_state->idle_count;
}

}  // namespace fulmarpoint
