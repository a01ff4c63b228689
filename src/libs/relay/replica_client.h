#pragma once

#include <string>

#include "protocol/store_messages.h"
#include "relay/peer_connections.h"
#include "transport/task.h"

namespace fulmarpoint {

/// Reads tables from the replicas of peers. Used on one strand.
class ReplicaClient {
 public:
  /// `connections` must outlive this.
  explicit ReplicaClient(PeerConnections& connections) : m_connections(connections) {}

  /// Requests from the peer at `address` the changes of `table` after the store's position `after`
  /// (version 0 for all rows). The peer waits up to `wait` for a change. The reply's status is
  /// `kUnknown` if there is no valid reply in time.
  Task<StoreReply> FetchChanges(std::string address, std::string table, StorePosition after,
                                Duration wait);
  /// Closes the connection to a peer that does not reply.
  void Drop(const std::string& address) { m_connections.Drop(address); }

 private:
  PeerConnections& m_connections;
};

}  // namespace fulmarpoint
