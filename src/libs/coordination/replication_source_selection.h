#pragma once

#include <map>
#include <string>
#include <vector>

#include "coordination/peer_directory.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Chooses from whom a daemon takes its copies of the store's tables. In a large fleet some daemons
/// of each failure domain, the readers, read the store and the others follow them, so that the
/// calls to the store do not grow with the fleet. All daemons rank the readers alike: a reader
/// follows the better ones and reads the store itself when they are in trouble. Whoever finds all
/// readers of its domain in trouble follows a reader of another domain. Only a daemon that no
/// reader answers reads the store at once; beside readers that answer with old copies it tries the
/// store at intervals that grow with the fleet. Not thread-safe.
class ReplicationSourceSelection {
 public:
  struct Options {
    /// In smaller fleets each daemon reads the store.
    std::size_t min_fleet = 12;
    std::size_t readers_per_domain = 2;
    /// Other domains whose best reader is asked when the own readers are in trouble.
    std::size_t foreign_readers = 2;
    /// A reader that did not answer, or answered with an old copy, is left out this long.
    Duration failed_rest = std::chrono::seconds(10);
    Duration old_rest = std::chrono::seconds(3);
    /// A reader leaves the store alone after failures; doubled with each in a row.
    Duration first_store_rest = std::chrono::seconds(1);
    Duration longest_store_rest = std::chrono::seconds(2);
    /// Interval between two trials of the store beside old copies: the longer of the two.
    Duration trial_interval = std::chrono::milliseconds(2500);
    Duration trial_interval_per_daemon = std::chrono::milliseconds(100);
    /// How long a trial lasts, and how long the store is read after one that succeeded.
    Duration trial_time = std::chrono::milliseconds(300);
    Duration direct_time = std::chrono::seconds(2);
  };

  ReplicationSourceSelection() = default;
  explicit ReplicationSourceSelection(Options options) : m_options(options) {}

  /// Returns the address of the reader to follow; empty for the store. `has_copy` tells whether the
  /// daemon has read the table before; one that has not asks only readers of its own domain before
  /// it reads the store.
  std::string Choose(const PeerRecord& self, const std::vector<PeerRecord>& peers, bool has_copy,
                     TimePoint now);
  /// The reader at `address` did not answer.
  void OnFailure(const std::string& address, TimePoint now);
  /// The reader at `address` answered with an old copy, or has none.
  void OnOldCopy(const std::string& address, TimePoint now);
  /// A call to the store failed; `in_a_row` counts the failures of a table since the last answer.
  void OnStoreFailure(int in_a_row, TimePoint now);
  /// The store answered this daemon.
  void OnStoreAnswered(TimePoint now);

 private:
  struct Ranking;
  struct Rest {
    TimePoint until{};
    bool answers = false;
  };

  Ranking Rank(const PeerRecord& self, const std::vector<PeerRecord>& peers) const;
  bool IsResting(const std::string& source, TimePoint now) const;
  std::string LongestResting(const std::vector<std::string>& sources) const;
  bool IsTrialDue(const PeerRecord& self, std::size_t fleet, TimePoint now);
  void SetRest(const std::string& source, const Rest& rest, TimePoint now);

  Options m_options;
  /// Sources in trouble by address; the store's is empty.
  std::map<std::string, Rest> m_rests;
  int m_store_failures = 0;
  /// When the store is tried next beside old copies; unset while a reader has a recent one.
  TimePoint m_next_trial{};
  TimePoint m_direct_until{};
};

}  // namespace fulmarpoint
