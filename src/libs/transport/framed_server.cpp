#include "transport/framed_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <mutex>
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

// Pause after a failed accept, for example when no file descriptor is left.
constexpr Duration kAcceptRetryPause = std::chrono::milliseconds(50);

/// One accepted connection. Used on its strand.
struct Peer {
  Peer(const Executor& own_strand, std::shared_ptr<FrameStream> frames, std::string from)
      : strand(own_strand), stream(std::move(frames)), address(std::move(from)), room(strand) {}

  Executor strand;
  std::shared_ptr<FrameStream> stream;
  std::string address;
  Notification room;
  std::size_t outstanding = 0;
};

}  // namespace

struct FramedServer::State : std::enable_shared_from_this<FramedServer::State> {
  State(Executor pool, FrameLimits frame_limits, FrameHandler handle)
      : executor(std::move(pool)),
        limits(frame_limits),
        handler(std::move(handle)),
        accept_strand(MakeStrand(executor)),
        acceptor(accept_strand) {}

  Task<void> Accept();
  void Start(tcp::socket socket);
  Task<void> Serve(std::shared_ptr<Peer> peer);
  Task<void> Answer(std::shared_ptr<Peer> peer, std::uint64_t id, std::string payload);

  const Executor executor;
  const FrameLimits limits;
  const FrameHandler handler;
  const Executor accept_strand;
  tcp::acceptor acceptor;
  std::mutex mutex;
  std::string address;
  std::map<Peer*, std::weak_ptr<Peer>> peers;
  bool closed = false;
};

Task<void> FramedServer::State::Accept() {
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

void FramedServer::State::Start(tcp::socket socket) {
  const Executor strand = socket.get_executor();
  boost::system::error_code error;
  const tcp::endpoint from = socket.remote_endpoint(error);
  if (error) return;
  socket.set_option(tcp::no_delay(true), error);
  const std::shared_ptr<FrameStream> stream =
      std::make_shared<FrameStream>(std::move(socket), strand, limits);
  const std::shared_ptr<Peer> peer =
      std::make_shared<Peer>(strand, stream, internal::AddressText(from));
  {
    const std::lock_guard<std::mutex> lock(mutex);
    if (closed || peers.size() >= limits.connections) return;
    peers.emplace(peer.get(), peer);
  }
  Spawn(strand, [self = shared_from_this(), peer]() { return self->Serve(peer); });
}

Task<void> FramedServer::State::Serve(std::shared_ptr<Peer> peer) {
  const std::shared_ptr<State> self = shared_from_this();
  boost::system::error_code error;
  while (!error) {
    Frame frame;
    error = co_await peer->stream->Read(frame, limits.idle_timeout);
    if (error || frame.kind != internal::FrameKind::kRequest) continue;
    ++peer->outstanding;
    Spawn(peer->strand, [self, peer, id = frame.id, payload = std::move(frame.payload)]() {
      return self->Answer(peer, id, payload);
    });
    while (peer->outstanding >= limits.outstanding) co_await peer->room.Wait();
  }
  peer->stream->Close();
  const std::lock_guard<std::mutex> lock(mutex);
  peers.erase(peer.get());
}

Task<void> FramedServer::State::Answer(std::shared_ptr<Peer> peer, std::uint64_t id,
                                       std::string payload) {
  const std::shared_ptr<State> self = shared_from_this();
  Frame reply{internal::FrameKind::kReply, id, ""};
  reply.payload = co_await handler(std::move(payload), peer->address);
  if (reply.payload.empty() || reply.payload.size() > limits.frame_bytes) {
    peer->stream->Close();
  } else if (peer->stream->IsOpen()) {
    peer->stream->Write(reply, nullptr);
  }
  --peer->outstanding;
  peer->room.Notify();
}

FramedServer::FramedServer(Executor executor, FrameLimits limits, FrameHandler handler)
    : m_state(std::make_shared<State>(std::move(executor), limits, std::move(handler))) {}

FramedServer::~FramedServer() { Close(); }

std::error_code FramedServer::Listen(std::string_view address) {
  const std::optional<tcp::endpoint> endpoint = internal::ParseEndpoint<tcp::endpoint>(address);
  if (!endpoint) return std::make_error_code(std::errc::invalid_argument);
  boost::system::error_code error;
  tcp::acceptor& acceptor = m_state->acceptor;
  acceptor.open(endpoint->protocol(), error);
  if (!error) acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.bind(*endpoint, error);
  if (!error) acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    // So that another address can be tried.
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

std::string FramedServer::Address() const {
  const std::lock_guard<std::mutex> lock(m_state->mutex);
  return m_state->address;
}

std::size_t FramedServer::ConnectionCount() const {
  const std::lock_guard<std::mutex> lock(m_state->mutex);
  return m_state->peers.size();
}

void FramedServer::Close() {
  Post(m_state->accept_strand, [state = m_state]() {
    boost::system::error_code ignored;
    state->acceptor.close(ignored);
  });
  const std::lock_guard<std::mutex> lock(m_state->mutex);
  m_state->closed = true;
  for (const auto& [key, weak] : m_state->peers) {
    if (const std::shared_ptr<Peer> peer = weak.lock()) {
      Post(peer->strand, [peer]() { peer->stream->Close(); });
    }
  }
}

}  // namespace fulmarpoint
