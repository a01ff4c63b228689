#pragma once

#include <memory>
#include <system_error>

#include "relay/relay_context.h"
#include "transport/udp_socket.h"

namespace fulmarpoint {

/// Exchanges heartbeats with this daemon's neighbours over UDP, and reports their streams to the
/// context's directories. Used on the daemon's thread.
class PeerExchange {
 public:
  explicit PeerExchange(RelayContext& context);
  /// Stops.
  ~PeerExchange();
  PeerExchange(const PeerExchange&) = delete;
  PeerExchange& operator=(const PeerExchange&) = delete;

  /// Sends a datagram to a daemon's UDP address; it may be lost.
  void Send(const std::string& address, const std::string& bytes);
  /// Opens "ip:port", has `listen` open the same port of TCP, and starts.
  std::error_code Start(const std::string& address, const UdpSocket::Listen& listen);
  /// "ip:port" of the socket.
  std::string Address() const;
  /// Sends a heartbeat soon because something has changed.
  void SendHeartbeatSoon();

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
