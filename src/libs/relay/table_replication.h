#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "coordination/table_replicator.h"
#include "relay/relay_wire.h"
#include "relay/replica_client.h"
#include "transport/task.h"

namespace fulmarpoint {

/// Asks the questions of a `TableReplicator` until destroyed. Used on one strand.
class TableFeed {
 public:
  using Options = TableReplicator::Options;

  struct Handlers {
    /// This daemon, and the others that may be followed.
    std::function<const PeerRecord&()> self;
    std::function<std::vector<PeerRecord>(TimePoint now)> peers;
    /// What has changed.
    std::function<void(const std::vector<TableWatcher::Change>&)> on_changes;
    /// The copy, complete up to the store's version `version`, was current at `at` on the clock
    /// `BootNow()`. Called after `on_changes`.
    std::function<void(std::uint64_t version, TimePoint at)> on_current;
  };

  /// `peers` and `readers` must outlive the feed.
  TableFeed(const Executor& executor, const Store& store, MirrorClient& peers,
            ReplicationSourceSelection& readers, Options options, Handlers handlers,
            std::uint64_t seed);
  /// Stops.
  ~TableFeed();
  TableFeed(const TableFeed&) = delete;
  TableFeed& operator=(const TableFeed&) = delete;

  void Start();
  /// Returns the address of the peer whose copy is followed; empty for the store.
  const std::string& Source() const;

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
