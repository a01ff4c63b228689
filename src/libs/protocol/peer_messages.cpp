#include "protocol/peer_messages.h"

namespace fulmarpoint {

namespace {

constexpr std::size_t kTextOverhead = 2;
constexpr std::size_t kStateBytes = 4 + 1 + 1 + 1;

}  // namespace

std::size_t EncodedSize(const MemberUpdate& update) {
  std::size_t size = kTextOverhead + update.id.name.size() + 8 + kStateBytes;
  if (!update.has_location) return size;
  size += 3 * kTextOverhead + 2;
  return size + update.address.size() + update.failure_domain.size() + update.region.size();
}

std::size_t EncodedSize(const GossipMessage& notice) {
  return 1 + 8 + 2 * kTextOverhead + notice.key.size() + notice.body.size();
}

}  // namespace fulmarpoint
