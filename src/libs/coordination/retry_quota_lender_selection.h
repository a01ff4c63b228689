#pragma once

#include <string>
#include <vector>

#include "coordination/peer_directory.h"
#include "utils/random.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Selects the peers from which a daemon borrows retries when its own retry quota is used up. After
/// a round in which no peer lent any, selects none during a cool-down, because all neighbours are
/// then short of retries. Not thread-safe.
class RetryQuotaLenderSelection {
 public:
  struct Options {
    /// Peers that are queried one after another in a round.
    std::size_t max_lenders = 3;
    /// Time without queries after a round in which no peer lent any.
    Duration cool_down = std::chrono::milliseconds(300);
  };

  RetryQuotaLenderSelection() = default;
  explicit RetryQuotaLenderSelection(Options options) : m_options(options) {}

  /// Returns a random selection of `neighbours` to query; none during the cool-down.
  std::vector<PeerRecord> SelectLenders(std::vector<PeerRecord> neighbours, TimePoint now,
                                        Random& random) const;
  /// No selected peer lent a retry. Starts the cool-down.
  void OnNoneLent(TimePoint now) { m_cool_down_until = now + m_options.cool_down; }

 private:
  Options m_options;
  TimePoint m_cool_down_until{};
};

}  // namespace fulmarpoint
