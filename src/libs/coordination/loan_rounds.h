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
class LoanRounds {
 public:
  struct Options {
    /// Peers that are asked one after the other.
    std::size_t max_lenders = 3;
    Duration cool_down = std::chrono::milliseconds(300);
  };

  LoanRounds() = default;
  explicit LoanRounds(Options options) : m_options(options) {}

  /// Returns the peers to ask, of `neighbours`; none while it rests.
  std::vector<PeerRecord> Lenders(std::vector<PeerRecord> neighbours, TimePoint now,
                                  Random& random) const;
  /// None of them has lent any.
  void OnRefusedByAll(TimePoint now) { m_cool_down_until = now + m_options.cool_down; }

 private:
  Options m_options;
  TimePoint m_cool_down_until{};
};

}  // namespace fulmarpoint
