#include "protocol/peer_messages.h"

namespace fulmarpoint {

namespace {

constexpr std::size_t kLengthPrefixBytes = 2;
// Epoch, state and two flags.
constexpr std::size_t kStateBytes = 4 + 1 + 1 + 1;

}  // namespace

std::size_t EncodedSize(const MemberUpdate& update) {
  std::size_t size = kLengthPrefixBytes + update.id.name.size() + 8 + kStateBytes;
  if (!update.has_location) return size;
  size += 3 * kLengthPrefixBytes + 2;
  return size + update.address.size() + update.failure_domain.size() + update.region.size();
}

std::size_t EncodedSize(const GossipMessage& message) {
  return 1 + 8 + 2 * kLengthPrefixBytes + message.key.size() + message.body.size();
}

}  // namespace fulmarpoint
