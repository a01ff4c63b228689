#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "coordination/rollout_orders.h"
#include "coordination/rollout_participant.h"
#include "coordination/version_choice.h"
#include "relay/peer_connections.h"
#include "relay/relay_context.h"
#include "relay/relay_sources.h"

namespace fulmarpoint {

class PeerExchange;

/// Takes part in the rollouts that the operator has ordered: chooses the version for each request,
/// compares the results of the versions on this daemon's requests, and reports to the daemon that
/// controls the rollout, which may be this one. Used on the daemon's thread.
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

  /// Handles a change of a row for the operator's orders. `order` is the content of the row;
  /// nothing if it was removed.
  void OnOrderRow(const TableWatcher::Change& change, const std::optional<RolloutOrder>& order);

  /// Chooses the version for a new request and counts the request.
  VersionChoice Choose(const ServiceName& service);
  /// Returns whether an endpoint that runs the service's new version may receive requests.
  bool MayUse(const ServiceName& service, const EndpointId& endpoint) const;
  /// An attempt has ended at an endpoint of `version`; `outcome.new_version` is set here. Returns
  /// the choice for the request's next attempt.
  VersionChoice OnAttemptEnded(const ServiceName& service, const VersionName& version,
                               const VersionChoice& choice, VersionOutcome outcome);

  /// Replies to another daemon's report. The directive has no rollout if this daemon does not
  /// control it.
  RolloutDirective Answer(const RolloutReport& report);
  void OnBadVersion(const BadVersionNotice& notice);
  /// The store is in `epoch`; a later one than before if it was restored from a copy.
  void OnStoreEpoch(std::uint64_t epoch);

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
