#pragma once

#include <cstdint>
#include <string>

#include "protocol/prompt_location_messages.h"
#include "relay/peer_connections.h"
#include "relay/peer_exchange.h"
#include "relay/relay_context.h"

namespace fulmarpoint {

/// Tells and asks the daemons that remember prompts, in a fleet that does not hear itself. What is
/// learned goes to the context's registry of streams. Used on the daemon's thread.
class PromptFinder {
 public:
  /// All must outlive this.
  PromptFinder(RelayContext& context, PeerExchange& exchange, PeerConnections& connections)
      : m_context(context), m_exchange(exchange), m_connections(connections) {}

  /// An engine reads, or has read, a prompt.
  void Tell(std::uint64_t prompt, const EndpointId& endpoint);
  /// Completes when it is known which engine holds a prompt, or nobody knows in time.
  Task<void> LookUp(std::uint64_t prompt);
  /// Answers another daemon.
  PromptLocationReply Answer(const PromptLocationQuery& query) const;

 private:
  RelayContext& m_context;
  PeerExchange& m_exchange;
  PeerConnections& m_connections;
};

}  // namespace fulmarpoint
