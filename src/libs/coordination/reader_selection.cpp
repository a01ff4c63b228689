#include "coordination/reader_selection.h"

#include <algorithm>
#include <utility>

#include "protocol/identifiers.h"

namespace fulmarpoint {

namespace {

/// Strong daemons come first, then the order of a hash, so that all daemons agree.
bool IsBetterReader(const PeerRecord& a, const PeerRecord& b) {
  if (a.cores != b.cores) return a.cores > b.cores;
  return std::make_pair(StableHash(a.name), a.name) < std::make_pair(StableHash(b.name), b.name);
}

}  // namespace

std::string ReaderSelection::Choose(const PeerRecord& self, const std::vector<PeerRecord>& peers,
                                    TimePoint now) {
  if (peers.size() + 1 < m_options.min_fleet || now < m_direct_until) return {};
  m_old_reader.clear();
  PeerRecord best = self;
  for (const PeerRecord& peer : peers) {
    if (peer.failure_domain != self.failure_domain) continue;
    const auto avoided = m_avoided_until.find(peer.peer_address);
    if (avoided != m_avoided_until.end() && now < avoided->second) continue;
    if (IsBetterReader(peer, best)) best = peer;
  }
  return best.name == self.name ? std::string() : best.peer_address;
}

void ReaderSelection::OnFailure(const std::string& address, TimePoint now) {
  m_direct_until = now + m_options.direct_time;
  Avoid(address, now);
}

void ReaderSelection::OnOldCopy(const std::string& address, TimePoint now) {
  if (now < m_next_trial) return;
  m_next_trial = now + m_options.trial_interval;
  m_direct_until = now + m_options.trial_time;
  m_old_reader = address;
}

void ReaderSelection::OnStoreAnswered(TimePoint now) {
  if (m_old_reader.empty()) return;
  m_direct_until = now + m_options.direct_time;
  Avoid(std::exchange(m_old_reader, {}), now);
}

void ReaderSelection::Avoid(const std::string& address, TimePoint now) {
  m_avoided_until[address] = now + m_options.avoid_time;
  for (auto it = m_avoided_until.begin(); it != m_avoided_until.end();) {
    it = now >= it->second ? m_avoided_until.erase(it) : std::next(it);
  }
}

}  // namespace fulmarpoint
