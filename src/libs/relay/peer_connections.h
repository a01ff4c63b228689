#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "protocol/relay_peer_request.h"
#include "transport/framed_connection.h"
#include "transport/task.h"

namespace fulmarpoint {

/// TCP connections to peers, opened on first use. Used on one strand.
class PeerConnections {
 public:
  explicit PeerConnections(const Executor& executor) : m_executor(executor) {}

  /// Returns the reply of the peer at `address`, or nothing if none arrives within `timeout`.
  Task<std::optional<std::string>> SendRequest(std::string address, RelayPeerRequest request,
                                               Duration timeout);
  /// Closes the connection to a peer, which may be dead although it looks open.
  void Drop(const std::string& address) { m_connections.erase(address); }

 private:
  Executor m_executor;
  std::map<std::string, std::shared_ptr<FramedConnection>> m_connections;
};

}  // namespace fulmarpoint
