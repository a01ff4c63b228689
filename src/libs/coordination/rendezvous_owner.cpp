#include "coordination/rendezvous_owner.h"

#include <algorithm>

#include "protocol/identifiers.h"

namespace fulmarpoint {

const PeerRecord* OwnerOf(std::uint64_t subject, const std::string& self,
                          const std::vector<PeerRecord>& peers) {
  const PeerRecord* owner = nullptr;
  std::uint64_t highest = StableHash(self, subject);
  for (const PeerRecord& peer : peers) {
    const std::uint64_t hash = StableHash(peer.name, subject);
    if (hash <= highest) continue;
    owner = &peer;
    highest = hash;
  }
  return owner;
}

std::vector<const PeerRecord*> OwnersOf(std::uint64_t subject, const std::string& self,
                                        const std::vector<PeerRecord>& peers, std::size_t count) {
  std::vector<const PeerRecord*> owners = {nullptr};
  for (const PeerRecord& peer : peers) owners.push_back(&peer);
  const auto rank = [&](const PeerRecord* peer) {
    return StableHash(peer == nullptr ? self : peer->name, subject);
  };
  std::sort(owners.begin(), owners.end(),
            [&](const PeerRecord* a, const PeerRecord* b) { return rank(a) > rank(b); });
  owners.resize(std::min(owners.size(), count));
  return owners;
}

}  // namespace fulmarpoint
