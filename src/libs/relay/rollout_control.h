#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "coordination/rollout_host.h"
#include "relay/relay_context.h"
#include "relay/relay_sources.h"

namespace fulmarpoint {

/// Number of daemons that compete for the lease of a rollout, limited so that the load on the store
/// does not grow with the fleet.
inline constexpr std::size_t kRolloutCandidates = 2;

/// Controls the rollouts for which this daemon is a candidate: acquires their leases, runs their
/// controllers, and writes their state to the store. Used on the daemon's thread.
class RolloutControl {
 public:
  struct Handlers {
    /// Returns the row that reports a rollout's state to the operator.
    std::function<StoreRow(const RolloutStatus&)> encode_status;
    /// Called when a version proved bad, to notify all daemons.
    std::function<void(const BadVersionNotice&)> on_bad_version;
  };

  /// `context` must outlive this.
  RolloutControl(RelayContext& context, Handlers handlers, std::uint64_t seed);
  ~RolloutControl();
  RolloutControl(const RolloutControl&) = delete;
  RolloutControl& operator=(const RolloutControl&) = delete;

  /// Starts no further work.
  void Stop();
  void Add(const ServiceName& service, const RolloutRequest& rollout);
  /// The operator has withdrawn the order or replaced it by another.
  void Remove(const std::string& rollout);
  /// Call several times a second while there are rollouts.
  void Tick();
  /// Returns the directive for a reporting daemon; nothing if this daemon does not control the
  /// rollout.
  std::optional<RolloutDirective> Answer(const RolloutReport& report);
  void OnBadVersion(const BadVersionNotice& notice);
  /// The store is in `epoch`. A controller from an earlier one stops.
  void OnStoreEpoch(std::uint64_t epoch);

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
