#pragma once

#include <map>
#include <string>
#include <vector>

#include "coordination/peer_directory.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Chooses the source from which a daemon replicates the store's tables. In a large fleet only some
/// daemons of each failure domain, the direct readers, read the store, and the others replicate
/// from them, so that the number of calls to the store does not grow with the fleet. All daemons
/// rank the direct readers in the same order. A direct reader replicates from those that rank above
/// it, and reads the store itself when they are unhealthy. If all direct readers of its failure
/// domain are unhealthy, a daemon replicates from a direct reader of another domain. A daemon reads
/// the store at once only if no direct reader answers; while some answer with stale replicas, it
/// probes the store at intervals that grow with the fleet. Not thread-safe.
class ReplicationSourceSelection {
 public:
  struct Options {
    /// In smaller fleets every daemon reads the store.
    std::size_t min_fleet = 12;
    std::size_t direct_readers_per_domain = 2;
    /// Number of other domains whose first direct reader is used when those of the own
    /// domain are unhealthy.
    std::size_t remote_direct_readers = 2;
    /// Cool-down of a direct reader that did not answer, or that answered with a stale replica.
    Duration failure_cooldown = std::chrono::seconds(10);
    Duration stale_cooldown = std::chrono::seconds(3);
    /// Cool-down of the store after failures of a direct reader's calls to it; doubles with each
    /// consecutive one.
    Duration first_store_cooldown = std::chrono::seconds(1);
    Duration max_store_cooldown = std::chrono::seconds(2);
    /// Interval between probes of the store while direct readers answer with stale replicas: the
    /// longer of `probe_interval` and `probe_interval_per_daemon` times the size of the fleet.
    Duration probe_interval = std::chrono::milliseconds(2500);
    Duration probe_interval_per_daemon = std::chrono::milliseconds(100);
    /// Duration of a probe, and time for which the store is read after a successful one.
    Duration probe_duration = std::chrono::milliseconds(300);
    Duration direct_read_time = std::chrono::seconds(2);
  };

  ReplicationSourceSelection() = default;
  explicit ReplicationSourceSelection(Options options) : m_options(options) {}

  /// Returns the address of the peer to replicate from; empty for the store. `has_replica` is
  /// whether the daemon has read the table before. If not, it tries only direct readers of its
  /// own domain before it reads the store.
  std::string Choose(const PeerRecord& self, const std::vector<PeerRecord>& peers, bool has_replica,
                     TimePoint now);
  /// The direct reader at `address` did not answer.
  void OnFailure(const std::string& address, TimePoint now);
  /// The direct reader at `address` answered with a stale replica, or has none.
  void OnStaleReplica(const std::string& address, TimePoint now);
  /// A call to the store failed; `consecutive_failures` is the number of consecutive failures of
  /// the calls for one table.
  void OnStoreFailure(int consecutive_failures, TimePoint now);
  /// The store answered this daemon.
  void OnStoreAnswered(TimePoint now);

 private:
  struct Ranking;
  struct Cooldown {
    TimePoint until{};
    /// The source replied, but with a stale replica or without one.
    bool is_reachable = false;
  };

  Ranking Rank(const PeerRecord& self, const std::vector<PeerRecord>& peers) const;
  bool IsCoolingDown(const std::string& source, TimePoint now) const;
  std::string FirstToRecover(const std::vector<std::string>& sources) const;
  bool IsProbeDue(const PeerRecord& self, std::size_t fleet, TimePoint now);
  void SetCooldown(const std::string& source, const Cooldown& cooldown, TimePoint now);

  Options m_options;
  /// Unhealthy sources by address; the store's address is empty.
  std::map<std::string, Cooldown> m_cooldowns;
  int m_store_failures = 0;
  /// Time of the next probe of the store; unset while a direct reader has a recent replica.
  TimePoint m_next_probe{};
  TimePoint m_direct_until{};
};

}  // namespace fulmarpoint
