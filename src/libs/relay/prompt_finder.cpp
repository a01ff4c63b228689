#include "relay/prompt_finder.h"

#include <optional>
#include <vector>

#include "coordination/rendezvous_owner.h"
#include "protocol/relay_datagram.h"

namespace fulmarpoint {

namespace {

// Short, because a caller that resumes a stream waits for the reply.
constexpr Duration kReplyTimeout = std::chrono::milliseconds(60);

}  // namespace

void PromptFinder::SendPromptLocation(std::uint64_t prompt, const EndpointId& endpoint) {
  // Without a partial view every daemon receives the heartbeats of all others, which carry this.
  if (prompt == 0 || !m_context.peers.View()) return;
  const std::vector<PeerRecord> peers = m_context.peers.AvailablePeers(SteadyNow());
  const PeerRecord* owner = OwnerOf(prompt, m_context.settings.name, peers);
  if (owner == nullptr) return;
  m_exchange.Send(owner->peer_address, EncodeDatagram(PromptLocationUpdate{prompt, endpoint}));
}

Task<void> PromptFinder::LookUp(std::uint64_t prompt) {
  const TimePoint now = SteadyNow();
  const bool is_known = !m_context.streams.FindPromptHolder(prompt, now).empty();
  if (prompt == 0 || is_known || !m_context.peers.View()) co_return;
  const std::vector<PeerRecord> peers = m_context.peers.AvailablePeers(now);
  const PeerRecord* owner = OwnerOf(prompt, m_context.settings.name, peers);
  if (owner == nullptr) co_return;
  const std::string address = owner->peer_address;
  const std::optional<std::string> bytes =
      co_await m_connections.SendRequest(address, PromptLocationQuery{prompt}, kReplyTimeout);
  if (!bytes) m_connections.Drop(address);
  const std::optional<PromptLocationReply> answer =
      bytes ? DecodePromptLocationReply(*bytes) : std::optional<PromptLocationReply>();
  const bool is_found = answer && !answer->endpoint.empty();
  m_context.metrics.Count("prompt_lookups", is_found ? "found" : bytes ? "unknown" : "no_answer");
  if (is_found) m_context.streams.OnPromptLocation(prompt, answer->endpoint, SteadyNow());
}

PromptLocationReply PromptFinder::Answer(const PromptLocationQuery& query) const {
  return {m_context.streams.FindPromptHolder(query.prompt, SteadyNow())};
}

}  // namespace fulmarpoint
