#include "relay/peer_connections.h"

#include <utility>

namespace fulmarpoint {

namespace {

constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);

FrameLimits ConnectionLimits() {
  FrameLimits limits;
  limits.connect_timeout = kConnectTimeout;
  return limits;
}

}  // namespace

Task<std::optional<std::string>> PeerConnections::SendRequest(std::string address,
                                                              RelayPeerRequest request,
                                                              Duration timeout) {
  std::shared_ptr<FramedConnection>& known = m_connections[address];
  if (!known) known = std::make_shared<FramedConnection>(m_executor, address, ConnectionLimits());
  const std::shared_ptr<FramedConnection> connection = known;
  FramedResult result = co_await connection->Request(Encode(request), timeout);
  if (result.error) co_return std::nullopt;
  co_return std::move(result.reply);
}

}  // namespace fulmarpoint
