#include "coordination/rendezvous_owner.h"

#include <algorithm>

#include "protocol/identifiers.h"

namespace fulmarpoint {

const PeerRecord* OwnerOf(std::uint64_t subject, const std::string& self,
                          const std::vector<PeerRecord>& peers) {
  const PeerRecord* home = nullptr;
  std::uint64_t highest = StableHash(self, subject);
  for (const PeerRecord& peer : peers) {
    const std::uint64_t hash = StableHash(peer.name, subject);
    if (hash <= highest) continue;
    home = &peer;
    highest = hash;
  }
  return home;
}

std::vector<const PeerRecord*> OwnersOf(std::uint64_t subject, const std::string& self,
                                        const std::vector<PeerRecord>& peers, std::size_t count) {
  std::vector<const PeerRecord*> homes = {nullptr};
  for (const PeerRecord& peer : peers) homes.push_back(&peer);
  const auto rank = [&](const PeerRecord* peer) {
    return StableHash(peer == nullptr ? self : peer->name, subject);
  };
  std::sort(homes.begin(), homes.end(),
            [&](const PeerRecord* a, const PeerRecord* b) { return rank(a) > rank(b); });
  homes.resize(std::min(homes.size(), count));
  return homes;
}

}  // namespace fulmarpoint
