#include "server/engine_activity.h"

namespace fulmarpoint {

namespace {

/// Shorter than the shortest silence timeout, so that streams that stopped together with this one
/// do not count as progressing.
constexpr Duration kRecent = std::chrono::milliseconds(300);

}  // namespace

void EngineActivityTable::Note(const EndpointId& engine, std::uint64_t stream, TimePoint now) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_last_token[engine][stream] = now;
}

void EngineActivityTable::Forget(const EndpointId& engine, std::uint64_t stream) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_last_token.find(engine);
  if (found == m_last_token.end()) return;
  found->second.erase(stream);
  if (found->second.empty()) m_last_token.erase(found);
}

EngineActivity EngineActivityTable::Others(const EndpointId& engine, std::uint64_t stream,
                                           TimePoint now) const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_last_token.find(engine);
  if (found == m_last_token.end()) return EngineActivity::kUnknown;
  EngineActivity activity = EngineActivity::kUnknown;
  for (const auto& [other, last] : found->second) {
    if (other == stream) continue;
    if (now - last < kRecent) return EngineActivity::kProgressing;
    activity = EngineActivity::kStalled;
  }
  return activity;
}

}  // namespace fulmarpoint
