#include "server/engine_activity.h"

namespace fulmarpoint {

namespace {

/// Shorter than the shortest stall timeout, so that streams that stalled together with this one do
/// not count as progressing.
constexpr Duration kProgressWindow = std::chrono::milliseconds(300);

}  // namespace

void EngineActivityTable::RecordToken(const EndpointId& engine, std::uint64_t stream,
                                      TimePoint now) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_last_token[engine][stream] = now;
}

void EngineActivityTable::RemoveStream(const EndpointId& engine, std::uint64_t stream) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_last_token.find(engine);
  if (found == m_last_token.end()) return;
  found->second.erase(stream);
  if (found->second.empty()) m_last_token.erase(found);
}

EngineActivity EngineActivityTable::ActivityOfOthers(const EndpointId& engine, std::uint64_t stream,
                                                     TimePoint now) const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_last_token.find(engine);
  if (found == m_last_token.end()) return EngineActivity::kUnknown;
  EngineActivity activity = EngineActivity::kUnknown;
  for (const auto& [other, last] : found->second) {
    if (other == stream) continue;
    if (now - last < kProgressWindow) return EngineActivity::kProgressing;
    activity = EngineActivity::kStalled;
  }
  return activity;
}

}  // namespace fulmarpoint
