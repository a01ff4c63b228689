#pragma once

#include <memory>
#include <string>

#include "coordination/rollout_participant.h"
#include "coordination/version_choice.h"
#include "relay/peer_connections.h"
#include "relay/relay_context.h"
#include "relay/relay_sources.h"

namespace fulmarpoint {

class PeerExchange;

/// This daemon's part in the rollouts that the operator has ordered: chooses the version for each
/// request, compares the versions on its own requests, and reports to the daemon that controls the
/// rollout, which may be this one. Used on the daemon's thread.
class RelayRollouts {
 public:
  using EncodeStatus = std::function<StoreRow(const RolloutStatus&)>;

  /// All must outlive this.
  RelayRollouts(RelayContext& context, PeerExchange& exchange, PeerConnections& connections,
                EncodeStatus encode_status, std::uint64_t seed);
  /// Stops.
  ~RelayRollouts();
  RelayRollouts(const RelayRollouts&) = delete;
  RelayRollouts& operator=(const RelayRollouts&) = delete;

  /// The operator's order as a row of the store has it; a row with another version is another
  /// order.
  void OnOrder(const RolloutOrder& order, std::uint64_t row_version);
  /// The row of the service's order is gone.
  void OnOrderRemoved(const ServiceName& service);

  /// Chooses for a new request and counts it.
  VersionChoice Choose(const ServiceName& service);
  /// Returns whether the service's new version may be used on an endpoint that has it.
  bool MayUse(const ServiceName& service, const EndpointId& endpoint) const;
  /// A run has ended at an endpoint of `version`; `outcome.new_version` is filled here. Returns the
  /// choice for the request's next run.
  VersionChoice OnAttemptEnded(const ServiceName& service, const VersionName& version,
                               const VersionChoice& choice, VersionOutcome outcome);

  /// Answers another daemon's report; a directive without a rollout says that this daemon does not
  /// control it.
  RolloutDirective Answer(const RolloutReport& report);
  void OnBadVersion(const BadVersionNotice& notice);

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
