#include "transport/framed_connection.h"

#include <boost/asio/co_spawn.hpp>
#include <map>
#include <optional>
#include <utility>

#include "transport/internal/completion.h"
#include "transport/internal/endpoint.h"
#include "transport/internal/frame_stream.h"
#include "transport/notification.h"

namespace fulmarpoint {

namespace asio = boost::asio;
using asio::ip::tcp;
using internal::Frame;
using internal::FrameStream;

namespace {

// A connection on which no reply arrives for this long is closed.
constexpr Duration kClientIdleTime = std::chrono::seconds(90);

/// A request that waits for its reply. Accessed only on the connection's strand.
struct PendingRequest {
  explicit PendingRequest(const Executor& strand) : done(strand) {}

  Notification done;
  bool written = false;
  std::error_code error = std::make_error_code(std::errc::timed_out);
  std::string reply;
};

}  // namespace

struct FramedConnection::State : std::enable_shared_from_this<FramedConnection::State> {
  State(const Executor& executor, std::string to, FrameLimits frame_limits)
      : strand(MakeStrand(executor)), address(std::move(to)), limits(frame_limits) {}

  Task<FramedResult> RequestOnStrand(std::string payload, Duration timeout);
  Task<void> ConnectAndReadReplies(std::shared_ptr<FrameStream> own_stream);
  void SendQueued(const std::shared_ptr<FrameStream>& own_stream);
  void FailPendingRequests(std::error_code error);

  const Executor strand;
  const std::string address;
  const FrameLimits limits;
  std::shared_ptr<FrameStream> stream;
  bool connected = false;
  bool closed = false;
  std::uint64_t next_id = 1;
  std::map<std::uint64_t, std::shared_ptr<PendingRequest>> pending_requests;
  /// Payloads of the requests that wait for the connection to be established, by request id.
  std::map<std::uint64_t, std::string> unsent_payloads;
};

Task<FramedResult> FramedConnection::State::RequestOnStrand(std::string payload, Duration timeout) {
  const std::shared_ptr<State> self = shared_from_this();
  FramedResult result;
  result.nothing_written = true;
  if (closed) result.error = std::make_error_code(std::errc::not_connected);
  if (payload.size() > limits.max_frame_bytes) {
    result.error = std::make_error_code(std::errc::message_size);
  }
  if (pending_requests.size() >= limits.max_outstanding_requests) {
    result.error = std::make_error_code(std::errc::resource_unavailable_try_again);
  }
  if (result.error) co_return result;
  const std::uint64_t id = next_id++;
  const std::shared_ptr<PendingRequest> pending_request = std::make_shared<PendingRequest>(strand);
  pending_requests.emplace(id, pending_request);
  unsent_payloads.emplace(id, std::move(payload));
  if (!stream) {
    stream = std::make_shared<FrameStream>(tcp::socket(strand), strand, limits);
    Spawn(strand,
          [self, own_stream = stream]() { return self->ConnectAndReadReplies(own_stream); });
  } else if (connected) {
    SendQueued(stream);
  }
  co_await pending_request->done.WaitFor(timeout);
  pending_requests.erase(id);
  unsent_payloads.erase(id);
  result.error = pending_request->error;
  result.nothing_written = !pending_request->written;
  result.reply = std::move(pending_request->reply);
  co_return result;
}

void FramedConnection::State::SendQueued(const std::shared_ptr<FrameStream>& own_stream) {
  for (auto& [id, payload] : unsent_payloads) {
    const auto found = pending_requests.find(id);
    if (found == pending_requests.end()) continue;
    const Frame frame{internal::FrameKind::kRequest, id, std::move(payload)};
    own_stream->Write(frame,
                      [pending_request = found->second]() { pending_request->written = true; });
  }
  unsent_payloads.clear();
}

Task<void> FramedConnection::State::ConnectAndReadReplies(std::shared_ptr<FrameStream> own_stream) {
  const std::shared_ptr<State> self = shared_from_this();
  boost::system::error_code error = asio::error::invalid_argument;
  const std::optional<tcp::endpoint> endpoint = internal::ParseEndpoint<tcp::endpoint>(address);
  if (endpoint) error = co_await own_stream->Connect(*endpoint);
  if (!error && stream == own_stream) {
    connected = true;
    SendQueued(own_stream);
  }
  while (!error && stream == own_stream) {
    Frame frame;
    error = co_await own_stream->Read(frame, kClientIdleTime);
    if (error || frame.kind != internal::FrameKind::kReply) continue;
    const auto found = pending_requests.find(frame.id);
    if (found == pending_requests.end()) continue;
    found->second->error = {};
    found->second->reply = std::move(frame.payload);
    found->second->done.Notify();
  }
  own_stream->Close();
  if (stream == own_stream)
    FailPendingRequests(error ? std::error_code(error)
                              : std::make_error_code(std::errc::connection_aborted));
}

void FramedConnection::State::FailPendingRequests(std::error_code error) {
  if (stream) stream->Close();
  stream.reset();
  connected = false;
  unsent_payloads.clear();
  for (auto& [id, pending_request] : pending_requests) {
    if (!pending_request->error) continue;
    pending_request->error = error;
    pending_request->done.Notify();
  }
  pending_requests.clear();
}

FramedConnection::FramedConnection(const Executor& executor, std::string address,
                                   FrameLimits limits)
    : m_state(std::make_shared<State>(executor, std::move(address), limits)) {}

FramedConnection::~FramedConnection() { Close(); }

Task<FramedResult> FramedConnection::Request(std::string payload, Duration timeout) {
  const std::shared_ptr<State> state = m_state;
  co_return co_await asio::co_spawn(
      state->strand, state->RequestOnStrand(std::move(payload), timeout), asio::use_awaitable);
}

void FramedConnection::Close() {
  Post(m_state->strand, [state = m_state]() {
    state->closed = true;
    state->FailPendingRequests(std::make_error_code(std::errc::not_connected));
  });
}

}  // namespace fulmarpoint
