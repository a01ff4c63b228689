#pragma once

#include <functional>
#include <memory>
#include <string>
#include <system_error>

#include "protocol/peer_frame.h"
#include "protocol/peer_messages.h"
#include "server/services.h"
#include "transport/task.h"
#include "transport/udp_socket.h"

namespace fulmarpoint {

/// Answer of a peer to a request. `body` is valid if `error` is empty.
struct PeerAnswer {
  std::error_code error;
  /// With an error: true only if no byte of the request was handed to the kernel.
  bool nothing_written = false;
  std::string body;
};

/// Sends and receives datagrams and framed requests between daemons, authenticated with the shared
/// key. During a key rotation, messages with the previous key are accepted too. Thread-safe.
class PeerService {
 public:
  using DatagramHandler = std::function<void(const std::string& from, const PeerDatagram&)>;
  /// Answers a request; an empty result closes the connection without an answer.
  using FrameHandler = std::function<Task<std::string>(std::string body)>;

  explicit PeerService(Services& services);
  ~PeerService();
  PeerService(const PeerService&) = delete;
  PeerService& operator=(const PeerService&) = delete;

  /// Sets the handler of datagrams; called on any thread. Call before `Start`.
  void SetDatagramHandler(DatagramHandler handler);
  /// Sets the handler of requests of one kind. Call before `Start`.
  void SetFrameHandler(PeerFrameKind kind, FrameHandler handler);

  /// Opens a UDP socket at the port of the HTTP service, whose TCP port `listen` opens. The
  /// instance list holds only that address, so a daemon that has just started reaches its peers
  /// through it. Call before `Start`.
  std::error_code OpenJoinPort(const std::string& http_address, const UdpSocket::Listen& listen);
  /// Opens TCP and UDP sockets at `listen.peer` and starts receiving.
  std::error_code Start();
  void Stop();
  /// Returns "ip:port" of both the TCP and the UDP socket.
  std::string Address() const;

  /// Sends without waiting; failures are counted.
  void Send(const std::string& address, const PeerDatagram& datagram);
  Task<PeerAnswer> Request(std::string address, PeerFrame frame, Duration timeout);

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
