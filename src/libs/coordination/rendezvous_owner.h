#pragma once

#include <cstdint>
#include <vector>

#include "coordination/peer_directory.h"

namespace fulmarpoint {

/// Returns the owner of `subject` (a hash), chosen by rendezvous hashing: the daemon that stores
/// what the fleet shares about it and answers queries. Null if that is the daemon `self`. All
/// daemons that list the same peers choose the same owner, and ownership is evenly distributed.
/// `peers` must outlive the result. Thread-safe.
const PeerRecord* OwnerOf(std::uint64_t subject, const std::string& self,
                          const std::vector<PeerRecord>& peers);

/// Returns the `count` daemons that rank first for `subject`, the owner (see `OwnerOf`) at the
/// front; null stands for the daemon `self`. `peers` must outlive the result. Thread-safe.
std::vector<const PeerRecord*> OwnersOf(std::uint64_t subject, const std::string& self,
                                        const std::vector<PeerRecord>& peers, std::size_t count);

}  // namespace fulmarpoint
