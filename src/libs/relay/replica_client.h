#pragma once

#include <string>

#include "protocol/store_messages.h"
#include "relay/peer_connections.h"
#include "transport/task.h"

namespace fulmarpoint {

/// Reads tables from the copies of peers. Used on one strand.
class MirrorClient {
 public:
  /// `connections` must outlive this.
  explicit MirrorClient(PeerConnections& connections) : m_connections(connections) {}

  /// Asks the peer at `address` for the changes of `table` after the store's version `after` (0 for
  /// all rows) and lets it wait up to `wait` for one.
  Task<StoreReply> Ask(std::string address, std::string table, std::uint64_t after, Duration wait);
  /// The peer does not answer.
  void Drop(const std::string& address) { m_connections.Drop(address); }

 private:
  PeerConnections& m_connections;
};

}  // namespace fulmarpoint
