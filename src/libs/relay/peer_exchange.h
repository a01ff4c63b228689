#pragma once

#include <memory>
#include <system_error>

#include "relay/relay_context.h"
#include "transport/udp_socket.h"

namespace fulmarpoint {

/// Exchanges heartbeats with this daemon's neighbours over UDP, and passes on what it receives from
/// peers: streams and endpoint failures to the context's directories, other messages to the parts
/// that handle them. Used on the daemon's thread.
class PeerExchange {
 public:
  explicit PeerExchange(RelayContext& context);
  /// Stops.
  ~PeerExchange();
  PeerExchange(const PeerExchange&) = delete;
  PeerExchange& operator=(const PeerExchange&) = delete;

  /// Sends a datagram to a daemon's UDP address. Delivery is not guaranteed.
  void Send(const std::string& address, const std::string& bytes);
  /// Binds the UDP socket to "ip:port", has `listen` open the same TCP port, and starts.
  std::error_code Start(const std::string& address, const UdpSocket::Listen& listen);
  /// Returns "ip:port" of the UDP socket.
  std::string Address() const;
  /// Sends a heartbeat before the interval ends, because its payload has changed.
  void SendHeartbeatSoon();

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
