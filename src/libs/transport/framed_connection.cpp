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
struct Waiter {
  explicit Waiter(const Executor& strand) : done(strand) {}

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
  Task<void> Work(std::shared_ptr<FrameStream> own);
  void SendQueued(const std::shared_ptr<FrameStream>& own);
  void FailAll(std::error_code error);

  const Executor strand;
  const std::string address;
  const FrameLimits limits;
  std::shared_ptr<FrameStream> stream;
  bool connected = false;
  bool closed = false;
  std::uint64_t next_id = 1;
  std::map<std::uint64_t, std::shared_ptr<Waiter>> waiters;
  /// Payloads of the requests that wait for the connection to be established, by request id.
  std::map<std::uint64_t, std::string> unsent;
};

Task<FramedResult> FramedConnection::State::RequestOnStrand(std::string payload, Duration timeout) {
  const std::shared_ptr<State> self = shared_from_this();
  FramedResult result;
  result.nothing_written = true;
  if (closed) result.error = std::make_error_code(std::errc::not_connected);
  if (payload.size() > limits.frame_bytes) {
    result.error = std::make_error_code(std::errc::message_size);
  }
  if (waiters.size() >= limits.outstanding) {
    result.error = std::make_error_code(std::errc::resource_unavailable_try_again);
  }
  if (result.error) co_return result;
  const std::uint64_t id = next_id++;
  const std::shared_ptr<Waiter> waiter = std::make_shared<Waiter>(strand);
  waiters.emplace(id, waiter);
  unsent.emplace(id, std::move(payload));
  if (!stream) {
    stream = std::make_shared<FrameStream>(tcp::socket(strand), strand, limits);
    Spawn(strand, [self, own = stream]() { return self->Work(own); });
  } else if (connected) {
    SendQueued(stream);
  }
  co_await waiter->done.WaitFor(timeout);
  waiters.erase(id);
  unsent.erase(id);
  result.error = waiter->error;
  result.nothing_written = !waiter->written;
  result.reply = std::move(waiter->reply);
  co_return result;
}

void FramedConnection::State::SendQueued(const std::shared_ptr<FrameStream>& own) {
  for (auto& [id, payload] : unsent) {
    const auto found = waiters.find(id);
    if (found == waiters.end()) continue;
    const Frame frame{internal::FrameKind::kRequest, id, std::move(payload)};
    own->Write(frame, [waiter = found->second]() { waiter->written = true; });
  }
  unsent.clear();
}

Task<void> FramedConnection::State::Work(std::shared_ptr<FrameStream> own) {
  const std::shared_ptr<State> self = shared_from_this();
  boost::system::error_code error = asio::error::invalid_argument;
  const std::optional<tcp::endpoint> endpoint = internal::ParseEndpoint<tcp::endpoint>(address);
  if (endpoint) error = co_await own->Connect(*endpoint);
  if (!error && stream == own) {
    connected = true;
    SendQueued(own);
  }
  while (!error && stream == own) {
    Frame frame;
    error = co_await own->Read(frame, kClientIdleTime);
    if (error || frame.kind != internal::FrameKind::kReply) continue;
    const auto found = waiters.find(frame.id);
    if (found == waiters.end()) continue;
    found->second->error = {};
    found->second->reply = std::move(frame.payload);
    found->second->done.Notify();
  }
  own->Close();
  if (stream == own)
    FailAll(error ? std::error_code(error) : std::make_error_code(std::errc::connection_aborted));
}

void FramedConnection::State::FailAll(std::error_code error) {
  if (stream) stream->Close();
  stream.reset();
  connected = false;
  unsent.clear();
  for (auto& [id, waiter] : waiters) {
    if (!waiter->error) continue;
    waiter->error = error;
    waiter->done.Notify();
  }
  waiters.clear();
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
    state->FailAll(std::make_error_code(std::errc::not_connected));
  });
}

}  // namespace fulmarpoint
