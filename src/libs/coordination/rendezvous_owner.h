#pragma once

#include <cstdint>
#include <vector>

#include "coordination/peer_directory.h"

namespace fulmarpoint {

/// Returns the daemon that keeps what the fleet must know of `subject`, a hash, so that any daemon
/// can ask or tell it; null if that is the daemon `self`. All daemons that list the same peers name
/// the same one, and each keeps an equal share of the subjects. `peers` must outlive the result.
/// Thread-safe.
const PeerRecord* OwnerOf(std::uint64_t subject, const std::string& self,
                          const std::vector<PeerRecord>& peers);

/// Returns the `count` daemons that rank first for `subject`, that of `OwnerOf` at the front; null
/// stands for the daemon `self`. Thread-safe.
std::vector<const PeerRecord*> OwnersOf(std::uint64_t subject, const std::string& self,
                                        const std::vector<PeerRecord>& peers, std::size_t count);

}  // namespace fulmarpoint
