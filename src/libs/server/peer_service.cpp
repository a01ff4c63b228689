#include "server/peer_service.h"

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

#include "transport/framed_connection.h"
#include "transport/framed_server.h"
#include "transport/udp_socket.h"
#include "utils/logging.h"
#include "utils/metrics.h"

namespace fulmarpoint {

namespace {

constexpr std::size_t kMaxConnections = 64;

}  // namespace

struct PeerService::State : std::enable_shared_from_this<PeerService::State> {
  explicit State(Services& shared)
      : services(shared),
        codec(shared.settings.secrets.shared_key),
        previous_codec(shared.settings.secrets.previous_shared_key),
        udp(shared.executor),
        join_udp(shared.executor) {}

  template <typename Message, typename Decode>
  std::optional<Message> Authenticate(Decode decode, const char* metric) const {
    Parsed<Message> message = decode(codec);
    const bool has_previous = !services.settings.secrets.previous_shared_key.empty();
    if (!message && has_previous) message = decode(previous_codec);
    services.metrics.Count(metric, message ? "ok" : "rejected");
    if (!message) return std::nullopt;
    return std::move(message.Value());
  }

  Task<void> Receive(UdpSocket& socket);
  Task<std::string> Answer(std::string request);
  std::shared_ptr<FramedConnection> ConnectionTo(const std::string& address);

  Services& services;
  const DatagramCodec codec;
  const DatagramCodec previous_codec;
  UdpSocket udp;
  UdpSocket join_udp;
  std::unique_ptr<FramedServer> server;
  DatagramHandler on_datagram;
  std::map<PeerFrameKind, FrameHandler> on_frame;
  std::atomic<bool> stopped{false};
  std::mutex mutex;
  std::map<std::string, std::shared_ptr<FramedConnection>> connections;
};

Task<void> PeerService::State::Receive(UdpSocket& socket) {
  const std::shared_ptr<State> self = shared_from_this();
  while (!stopped) {
    const Datagram received = co_await socket.Receive();
    if (stopped) break;
    if (received.error) {
      // For example, the port of a peer is closed; the socket itself still works.
      services.metrics.Count("peer_datagrams", "error");
      co_await Sleep(std::chrono::milliseconds(10));
      continue;
    }
    const std::optional<PeerDatagram> datagram = Authenticate<PeerDatagram>(
        [&](const DatagramCodec& key) { return key.Decode(received.data); }, "peer_datagrams");
    if (datagram && on_datagram) on_datagram(received.from, *datagram);
  }
}

Task<std::string> PeerService::State::Answer(std::string request) {
  const std::shared_ptr<State> self = shared_from_this();
  std::optional<PeerFrame> frame = Authenticate<PeerFrame>(
      [&](const DatagramCodec& key) { return DecodePeerFrame(key, request); }, "peer_requests");
  if (!frame) co_return "";
  const auto handler = on_frame.find(frame->kind);
  if (handler == on_frame.end()) co_return "";
  std::string body = co_await handler->second(std::move(frame->body));
  if (body.empty()) co_return "";
  co_return EncodePeerFrame(codec, {frame->kind, std::move(body)});
}

std::shared_ptr<FramedConnection> PeerService::State::ConnectionTo(const std::string& address) {
  const std::lock_guard<std::mutex> lock(mutex);
  std::shared_ptr<FramedConnection>& connection = connections[address];
  if (!connection) {
    connection = std::make_shared<FramedConnection>(services.executor, address, FrameLimits{});
  }
  std::shared_ptr<FramedConnection> result = connection;
  if (connections.size() > kMaxConnections) {
    // Any other connection may be dropped, because requests in progress keep theirs alive.
    const auto first = connections.begin();
    connections.erase(first->first == address ? std::next(first) : first);
  }
  return result;
}

PeerService::PeerService(Services& services) : m_state(std::make_shared<State>(services)) {}

PeerService::~PeerService() { Stop(); }

void PeerService::SetDatagramHandler(DatagramHandler handler) {
  m_state->on_datagram = std::move(handler);
}

void PeerService::SetFrameHandler(PeerFrameKind kind, FrameHandler handler) {
  m_state->on_frame[kind] = std::move(handler);
}

std::error_code PeerService::OpenJoinPort(const std::string& http_address,
                                          const UdpSocket::Listen& listen) {
  return m_state->join_udp.OpenWithTcp(http_address, listen);
}

std::error_code PeerService::Start() {
  State& state = *m_state;
  state.server =
      std::make_unique<FramedServer>(state.services.executor, FrameLimits{},
                                     [self = m_state](std::string request, const std::string&) {
                                       return self->Answer(std::move(request));
                                     });
  const std::error_code error = state.udp.OpenWithTcp(
      state.services.settings.listen.peer,
      [&state](const std::string& address) { return state.server->Listen(address); });
  if (error) {
    Log(LogLevel::kError, "peer_listen_failed",
        {{"address", state.services.settings.listen.peer}, {"reason", error.message()}});
    return error;
  }
  for (UdpSocket* socket : {&state.udp, &state.join_udp}) {
    Spawn(MakeStrand(state.services.executor),
          [self = m_state, socket]() { return self->Receive(*socket); });
  }
  return {};
}

void PeerService::Stop() {
  if (m_state->stopped.exchange(true)) return;
  m_state->udp.Close();
  m_state->join_udp.Close();
  if (m_state->server) m_state->server->Close();
}

std::string PeerService::Address() const { return m_state->server->Address(); }

void PeerService::Send(const std::string& address, const PeerDatagram& datagram) {
  const Parsed<std::string> bytes = m_state->codec.Encode(datagram);
  if (!bytes) {
    Log(LogLevel::kError, "datagram_too_large", {{"to", address}});
    return;
  }
  const std::error_code error = m_state->udp.Send(address, bytes.Value());
  m_state->services.metrics.Count("peer_datagrams_sent", error ? "failed" : "ok");
  m_state->services.metrics.Count("peer_bytes_sent", "", bytes.Value().size());
}

Task<PeerAnswer> PeerService::Request(std::string address, PeerFrame frame, Duration timeout) {
  const std::shared_ptr<State> state = m_state;
  const std::shared_ptr<FramedConnection> connection = state->ConnectionTo(address);
  const FramedResult result =
      co_await connection->Request(EncodePeerFrame(state->codec, frame), timeout);
  if (result.error) co_return PeerAnswer{result.error, result.nothing_written, ""};
  std::optional<PeerFrame> answer = state->Authenticate<PeerFrame>(
      [&](const DatagramCodec& key) { return DecodePeerFrame(key, result.reply); }, "peer_answers");
  if (!answer || answer->kind != frame.kind) {
    co_return PeerAnswer{std::make_error_code(std::errc::bad_message), false, ""};
  }
  co_return PeerAnswer{{}, false, std::move(answer->body)};
}

}  // namespace fulmarpoint
