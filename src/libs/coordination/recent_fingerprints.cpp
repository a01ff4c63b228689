#include "coordination/recent_fingerprints.h"

namespace fulmarpoint {

void RecentFingerprints::Add(Fingerprint fingerprint, TimePoint now) {
  while (!m_order.empty() &&
         (now - m_order.front().at > m_lifetime || m_order.size() >= m_capacity)) {
    DropOldest();
  }
  m_order.push_back({fingerprint, now});
  m_seen[fingerprint] = now;
}

void RecentFingerprints::DropOldest() {
  const Seen oldest = m_order.front();
  m_order.pop_front();
  const auto found = m_seen.find(oldest.fingerprint);
  if (found != m_seen.end() && found->second == oldest.at) m_seen.erase(found);
}

std::optional<TimePoint> RecentFingerprints::LastSeen(Fingerprint fingerprint,
                                                      TimePoint now) const {
  const auto found = m_seen.find(fingerprint);
  if (found == m_seen.end() || now - found->second > m_lifetime) return std::nullopt;
  return found->second;
}

}  // namespace fulmarpoint
