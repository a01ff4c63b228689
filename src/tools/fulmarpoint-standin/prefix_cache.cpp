#include "prefix_cache.h"

#include "protocol/identifiers.h"

namespace fulmarpoint::standin {

namespace {

constexpr std::size_t kMaxCacheEvents = 10'000;

}  // namespace

PrefixCache::PrefixCache(std::size_t capacity_tokens)
    : m_capacity_blocks(capacity_tokens / kBlockTokens) {}

std::size_t PrefixCache::Use(const std::string& model, const std::string& version,
                             const std::vector<std::string>& tokens, TimePoint now) {
  std::uint64_t block = StableHash(version, StableHash(model));
  std::size_t cached = 0;
  bool leading = true;
  for (std::size_t end = kBlockTokens; end <= tokens.size(); end += kBlockTokens) {
    for (std::size_t i = end - kBlockTokens; i < end; ++i) block = StableHash(tokens[i], block);
    const auto found = m_blocks.find(block);
    if (found != m_blocks.end()) {
      m_blocks_by_last_use.splice(m_blocks_by_last_use.begin(), m_blocks_by_last_use,
                                  found->second);
      if (leading) cached = end;
      continue;
    }
    leading = false;
    m_blocks_by_last_use.push_front(block);
    m_blocks[block] = m_blocks_by_last_use.begin();
    Publish(true, block, now);
  }
  while (m_blocks.size() > m_capacity_blocks) {
    const std::uint64_t oldest = m_blocks_by_last_use.back();
    m_blocks_by_last_use.pop_back();
    m_blocks.erase(oldest);
    Publish(false, oldest, now);
  }
  return cached;
}

void PrefixCache::Clear() {
  m_blocks_by_last_use.clear();
  m_blocks.clear();
  m_events.clear();
}

void PrefixCache::Publish(bool stored, std::uint64_t block, TimePoint now) {
  ++m_sequence;
  if (m_events_to_drop > 0) {
    --m_events_to_drop;
    return;
  }
  m_events.push_back({m_sequence, now, stored, block});
  if (m_events.size() > kMaxCacheEvents) m_events.pop_front();
}

nlohmann::json PrefixCache::EventsSince(std::uint64_t after, TimePoint now) const {
  nlohmann::json events = nlohmann::json::array();
  std::uint64_t last = after;
  for (const CacheEvent& event : m_events) {
    if (event.sequence <= after) continue;
    if (event.at + m_event_delay > now) break;
    last = event.sequence;
    events.push_back({{"sequence", event.sequence},
                      {"change", event.stored ? "stored" : "evicted"},
                      {"block", std::to_string(event.block)}});
  }
  return {{"sequence", last}, {"events", events}};
}

}  // namespace fulmarpoint::standin
