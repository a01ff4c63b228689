#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "coordination/peer_opinion.h"
#include "protocol/store_messages.h"
#include "transport/task.h"

namespace fulmarpoint {

class ReplicaClient;

/// Asks peers whether the configuration that a daemon has read first after its start is the
/// operator's latest one. A store that was restored from a copy holds an older one for a moment,
/// which only daemons that have run since before can know. Used on one strand.
class FirstConfirmation {
 public:
  struct Options {
    std::string table;
    /// Age from which a peer's confirmation counts as stale.
    Duration max_age{};
  };

  /// `replica_client` must outlive this.
  FirstConfirmation(const Executor& executor, ReplicaClient& replica_client);
  /// Stops asking.
  ~FirstConfirmation();
  FirstConfirmation(const FirstConfirmation&) = delete;
  FirstConfirmation& operator=(const FirstConfirmation&) = delete;

  /// Asks up to three of the peers that `peers` returns, again and again while one of them doubts
  /// and none confirms, for at most 3.4 s. Then calls `on_done`. Without peers, or if none replies,
  /// that is at once. Call once.
  void Start(Options options, StorePosition read, std::function<std::vector<std::string>()> peers,
             std::function<void()> on_done);
  /// No peer needs to be asked.
  void Skip();
  bool IsStarted() const;
  bool IsDone() const;

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
