#pragma once

#include <cstdint>
#include <string>

#include "protocol/prompt_location_messages.h"
#include "relay/peer_connections.h"
#include "relay/peer_exchange.h"
#include "relay/relay_context.h"

namespace fulmarpoint {

/// Finds the engine that holds a prompt in its KV cache when a fleet is too large for every daemon
/// to receive the heartbeats of all others. Each prompt has an owner, chosen by rendezvous hashing,
/// which daemons notify and query. Results go to the context's stream registry. Used on the
/// daemon's thread.
class PromptFinder {
 public:
  /// All must outlive this.
  PromptFinder(RelayContext& context, PeerExchange& exchange, PeerConnections& connections)
      : m_context(context), m_exchange(exchange), m_connections(connections) {}

  /// Notifies the prompt's owner that an engine reads, or has read, the prompt.
  void SendPromptLocation(std::uint64_t prompt, const EndpointId& endpoint);
  /// Queries the prompt's owner for the engine that holds it. Completes without a result if there
  /// is no reply in time.
  Task<void> LookUp(std::uint64_t prompt);
  /// Replies to another daemon's query.
  PromptLocationReply Answer(const PromptLocationQuery& query) const;

 private:
  RelayContext& m_context;
  PeerExchange& m_exchange;
  PeerConnections& m_connections;
};

}  // namespace fulmarpoint
