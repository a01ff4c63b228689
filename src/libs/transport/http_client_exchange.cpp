#include "transport/http_client_exchange.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <utility>

#include "transport/internal/deadline.h"
#include "transport/internal/http_client_connection.h"

namespace fulmarpoint {

namespace {

constexpr std::size_t kBufferSlackBytes = std::size_t{16} * 1024;
constexpr int kKeepAliveProbes = 1;

void SetOption(int socket, int level, int name, int value) {
  ::setsockopt(socket, level, name, &value, sizeof value);
}

/// Makes the kernel detect an unreachable peer: by keep-alive probes while no bytes are in flight,
/// by the user timeout of TCP while bytes are unacknowledged.
void SetDeadPeerTimeout(int socket, Duration limit) {
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(limit).count();
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(limit).count();
  // The idle time plus the number of probes times their interval of 1 s is the limit.
  const int idle = static_cast<int>(std::max<std::int64_t>(1, seconds - kKeepAliveProbes));
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, idle);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(millis));
}

}  // namespace

struct HttpClientExchange::State : std::enable_shared_from_this<HttpClientExchange::State> {
  State(const Executor& own_executor, Options own_options)
      : executor(own_executor),
        options(own_options),
        connection(executor, options.max_head_bytes + kBufferSlackBytes) {}

  Task<void> Send(HttpClientRequest request);
  /// Like `Connection::ReadSome()`, but fails if the end of the connection may not be the end of
  /// the reply.
  Task<boost::system::error_code> ReadSome(std::string& data);

  const Executor executor;
  const Options options;
  HttpEventStream::Connection connection;
  std::size_t written = 0;
  bool sending = false;
  bool send_failed = false;
  bool started = false;
  /// The request is a HEAD request: its reply has no body whatever its headers say.
  bool head_only = false;
};

Task<void> HttpClientExchange::State::Send(HttpClientRequest request) {
  const std::shared_ptr<State> self = shared_from_this();
  const boost::system::error_code error = co_await connection.WriteRequest(request, written);
  sending = false;
  // The server may have replied before it received the whole request, so the connection stays open
  // for reading.
  send_failed = static_cast<bool>(error);
}

Task<boost::system::error_code> HttpClientExchange::State::ReadSome(std::string& data) {
  const boost::system::error_code error = co_await connection.ReadSome(data);
  // The kernel reports a reset once. If the write of the request has received it, the read sees
  // only the end of the connection.
  const bool was_cut =
      connection.BodyDone() && connection.EndsWithConnection() && (sending || send_failed);
  if (!error && was_cut) co_return boost::asio::error::connection_reset;
  co_return error;
}

HttpClientExchange::HttpClientExchange(const Executor& executor, Options options)
    : m_state(std::make_shared<State>(executor, options)) {}

HttpClientExchange::~HttpClientExchange() { m_state->connection.Close(); }

Task<std::error_code> HttpClientExchange::Connect(std::string address, Duration timeout) {
  const std::shared_ptr<State> state = m_state;
  const internal::Deadline deadline(state->executor, timeout,
                                    [state]() { state->connection.Close(); });
  const boost::system::error_code error = co_await state->connection.Connect(std::move(address));
  if (deadline.Expired()) co_return std::make_error_code(std::errc::timed_out);
  if (!error) {
    SetDeadPeerTimeout(state->connection.socket.native_handle(), state->options.dead_peer_timeout);
  }
  co_return error;
}

void HttpClientExchange::Start(HttpClientRequest request) {
  m_state->written = 0;
  m_state->sending = true;
  m_state->send_failed = false;
  m_state->started = true;
  m_state->head_only = request.method == "HEAD";
  m_state->connection.parser.reset();
  Spawn(m_state->executor, [state = m_state, request = std::move(request)]() mutable {
    return state->Send(std::move(request));
  });
}

Task<std::error_code> HttpClientExchange::ReadHead(HttpReply& reply, Duration timeout) {
  const std::shared_ptr<State> state = m_state;
  const internal::Deadline deadline(state->executor, timeout,
                                    [state]() { state->connection.Close(); });
  reply = HttpReply();
  const boost::system::error_code error =
      co_await state->connection.ReadHead(state->head_only, state->options.max_head_bytes, reply);
  if (deadline.Expired()) co_return std::make_error_code(std::errc::timed_out);
  co_return error;
}

Task<std::error_code> HttpClientExchange::ReadSome(std::string& data) {
  const std::shared_ptr<State> state = m_state;
  co_return co_await state->ReadSome(data);
}

Task<std::error_code> HttpClientExchange::ReadBody(std::string& body, std::size_t max_bytes,
                                                   Duration timeout, ByteReservation* memory) {
  const std::shared_ptr<State> state = m_state;
  const internal::Deadline deadline(state->executor, timeout,
                                    [state]() { state->connection.Close(); });
  std::string data;
  while (!state->connection.BodyDone()) {
    const boost::system::error_code error = co_await state->ReadSome(data);
    if (deadline.Expired()) co_return std::make_error_code(std::errc::timed_out);
    if (error) co_return error;
    const bool has_memory = memory == nullptr || memory->TryReserve(data.size());
    if (!has_memory || body.size() + data.size() > max_bytes) {
      co_return std::make_error_code(std::errc::message_size);
    }
    body += data;
  }
  co_return std::error_code();
}

bool HttpClientExchange::HasReplyBegun() const { return m_state->connection.reply_begun; }

ReplyFraming HttpClientExchange::Framing() const {
  const HttpEventStream::Connection::Parser& parser = *m_state->connection.parser;
  if (parser.chunked()) return ReplyFraming::kChunked;
  return m_state->connection.EndsWithConnection() ? ReplyFraming::kConnectionClose
                                                  : ReplyFraming::kLength;
}

bool HttpClientExchange::BodyDone() const {
  return m_state->connection.parser && m_state->connection.BodyDone();
}

bool HttpClientExchange::IsReusable() const {
  const State& state = *m_state;
  if (!state.connection.socket.is_open() || state.sending || state.send_failed) return false;
  if (!state.started) return true;
  return BodyDone() && state.connection.KeepAlive();
}

bool HttpClientExchange::IsOpenAndIdle() { return m_state->connection.IsOpenAndIdle(); }

bool HttpClientExchange::HasSent() const {
  // `written` is set only when the send completes; until then some bytes may have been written.
  return m_state->started && (m_state->sending || m_state->written > 0);
}

void HttpClientExchange::Close() { m_state->connection.Close(); }

}  // namespace fulmarpoint
