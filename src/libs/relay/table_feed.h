#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "coordination/table_follower.h"
#include "relay/relay_wire.h"
#include "transport/task.h"

namespace fulmarpoint {

/// Runs a `TableFollower` against the store until destroyed. Used on one strand.
class TableFeed {
 public:
  struct Handlers {
    /// What has changed; called also without changes once the table is complete.
    std::function<void(const std::vector<TableFollower::Change>&)> on_changes;
    /// A call that began at `started`, on the clock `BootNow()`, found the copy current. Called
    /// after `on_changes`. May be empty.
    std::function<void(TimePoint started)> on_current;
  };

  TableFeed(const Executor& executor, const Store& store, TableFollower::Options options,
            Handlers handlers, std::uint64_t seed);
  /// Stops.
  ~TableFeed();
  TableFeed(const TableFeed&) = delete;
  TableFeed& operator=(const TableFeed&) = delete;

  void Start();

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
