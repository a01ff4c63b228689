#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "coordination/table_follower.h"
#include "relay/mirror_client.h"
#include "relay/relay_wire.h"
#include "transport/task.h"

namespace fulmarpoint {

/// Runs a `TableFollower` against the store until destroyed. Used on one strand.
class TableFeed {
 public:
  struct Handlers {
    /// What has changed; called also without changes once the table is complete.
    std::function<void(const std::vector<TableFollower::Change>&)> on_changes;
    /// The copy, complete up to the store's version `version`, was current at `at` on the clock
    /// `BootNow()`. Called after `on_changes`.
    std::function<void(std::uint64_t version, TimePoint at)> on_current;
    /// Returns the address of the peer whose copy is followed; empty for the store.
    std::function<std::string()> choose_source;
    /// The peer did not answer.
    std::function<void(const std::string& address)> on_source_failed;
    /// The peer's copy is older than `max_peer_age`.
    std::function<void(const std::string& address)> on_source_old;
    std::function<void()> on_store_answered;
  };

  struct Options {
    TableFollower::Options follower;
    /// How long a watch of a peer's copy waits for a change.
    Duration peer_wait = std::chrono::milliseconds(300);
    /// A peer's copy that was last known to be current longer ago is called old.
    Duration max_peer_age = std::chrono::milliseconds(3500);
  };

  TableFeed(const Executor& executor, const Store& store, MirrorClient& peers, Options options,
            Handlers handlers, std::uint64_t seed);
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
