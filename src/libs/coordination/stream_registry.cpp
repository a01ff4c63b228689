#include "coordination/stream_registry.h"

namespace fulmarpoint {

void StreamRegistry::Set(std::uint64_t id, const RelayedStream& stream, TimePoint now) {
  m_streams[id] = stream;
  if (stream.prompt != 0) m_holders[stream.prompt] = {stream.endpoint, now};
}

void StreamRegistry::Remove(std::uint64_t id) { m_streams.erase(id); }

void StreamRegistry::OnPeerStreams(const std::vector<RelayedStream>& streams, TimePoint now) {
  for (const RelayedStream& stream : streams) {
    if (stream.prompt != 0) m_holders[stream.prompt] = {stream.endpoint, now};
  }
}

std::vector<RelayedStream> StreamRegistry::Streams() const {
  std::vector<RelayedStream> streams;
  streams.reserve(m_streams.size());
  for (const auto& [id, stream] : m_streams) streams.push_back(stream);
  return streams;
}

void StreamRegistry::OnPromptLocation(std::uint64_t prompt, const std::string& endpoint,
                                      TimePoint now) {
  m_holders[prompt] = {endpoint, now};
}

void StreamRegistry::ForgetHolder(std::uint64_t prompt, const std::string& endpoint) {
  const auto found = m_holders.find(prompt);
  if (found != m_holders.end() && found->second.endpoint == endpoint) m_holders.erase(found);
}

std::string StreamRegistry::FindPromptHolder(std::uint64_t prompt, TimePoint now) const {
  const auto found = m_holders.find(prompt);
  if (found == m_holders.end() || now - found->second.seen >= kPromptLifetime) return {};
  return found->second.endpoint;
}

void StreamRegistry::Forget(TimePoint now) {
  for (const auto& [id, stream] : m_streams) {
    const auto found = m_holders.find(stream.prompt);
    if (found != m_holders.end()) found->second.seen = now;
  }
  for (auto it = m_holders.begin(); it != m_holders.end();) {
    it = now - it->second.seen >= kPromptLifetime ? m_holders.erase(it) : std::next(it);
  }
}

}  // namespace fulmarpoint
