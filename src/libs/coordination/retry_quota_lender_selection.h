#pragma once

#include <string>
#include <vector>

#include "coordination/peer_directory.h"
#include "utils/random.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Chooses the peers that a daemon asks for repeats when its own share of the fleet's limit is used
/// up. After a round in which no peer lent any it asks nobody for a while: then the whole
/// neighbourhood is short of them. Not thread-safe.
class RetryQuotaLenderSelection {
 public:
  struct Options {
    /// Peers that are asked one after the other.
    std::size_t most_lenders = 3;
    Duration rest = std::chrono::milliseconds(300);
  };

  RetryQuotaLenderSelection() = default;
  explicit RetryQuotaLenderSelection(Options options) : m_options(options) {}

  /// Returns the peers to ask, of `neighbours`; none while it rests.
  std::vector<PeerRecord> SelectLenders(std::vector<PeerRecord> neighbours, TimePoint now,
                                        Random& random) const;
  /// None of them has lent any.
  void OnNoneLent(TimePoint now) { m_rests_until = now + m_options.rest; }

 private:
  Options m_options;
  TimePoint m_rests_until{};
};

}  // namespace fulmarpoint
