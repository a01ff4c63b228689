#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "coordination/table_reader.h"
#include "relay/mirror_client.h"
#include "relay/relay_wire.h"
#include "transport/task.h"

namespace fulmarpoint {

/// Asks the questions of a `TableReader` until destroyed. Used on one strand.
class TableReplication {
 public:
  using Options = TableReader::Options;

  struct Handlers {
    /// This daemon, and the others that may be followed.
    std::function<const PeerRecord&()> self;
    std::function<std::vector<PeerRecord>(TimePoint now)> peers;
    /// What has changed.
    std::function<void(const std::vector<TableFollower::Change>&)> on_changes;
    /// The copy, complete up to the store's version `version`, was current at `at` on the clock
    /// `BootNow()`. Called after `on_changes`.
    std::function<void(std::uint64_t version, TimePoint at)> on_current;
  };

  /// `peers` and `readers` must outlive the feed.
  TableReplication(const Executor& executor, const Store& store, ReplicaClient& replica_client,
                   ReaderSelection& readers, Options options, Handlers handlers,
                   std::uint64_t seed);
  /// Stops.
  ~TableReplication();
  TableReplication(const TableReplication&) = delete;
  TableReplication& operator=(const TableReplication&) = delete;

  void Start();
  /// Returns the address of the peer whose copy is followed; empty for the store.
  const std::string& Source() const;

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
