#pragma once

#include <map>
#include <string>
#include <vector>

#include "coordination/peer_directory.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Chooses from whom a daemon takes its copies of the store's tables. In a large fleet one daemon
/// of each failure domain reads the store and the others follow it, so that the calls to the store
/// do not grow with the fleet. Whoever loses its
/// reader reads the store itself for a while. Where the reader answers but has lost the store, the
/// store is tried now and then, because it may serve this daemon and not that one. Not thread-safe.
class ReaderSelection {
 public:
  struct Options {
    /// In smaller fleets each daemon reads the store.
    std::size_t min_fleet = 12;
    /// After trouble with a reader the store is read directly for this long.
    Duration direct_time = std::chrono::seconds(2);
    /// A reader that failed is not chosen again for this long.
    Duration avoid_time = std::chrono::seconds(30);
    /// A trial of the store beside an old copy, and the interval between two.
    Duration trial_time = std::chrono::milliseconds(300);
    Duration trial_interval = std::chrono::milliseconds(2500);
  };

  ReaderSelection() = default;
  explicit ReaderSelection(Options options) : m_options(options) {}

  /// Returns the address of the reader to follow; empty for the store.
  std::string Choose(const PeerRecord& self, const std::vector<PeerRecord>& peers, TimePoint now);
  /// The reader at `address` did not answer.
  void OnFailure(const std::string& address, TimePoint now);
  /// The reader at `address` answered with an old copy.
  void OnOldCopy(const std::string& address, TimePoint now);
  /// The store answered this daemon.
  void OnStoreAnswered(TimePoint now);

 private:
  void Avoid(const std::string& address, TimePoint now);

  Options m_options;
  /// Reader of the trial in progress.
  std::string m_old_reader;
  TimePoint m_next_trial{};
  TimePoint m_direct_until{};
  std::map<std::string, TimePoint> m_avoided_until;
};

}  // namespace fulmarpoint
