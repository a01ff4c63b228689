#pragma once

#include <functional>
#include <memory>

#include "relay/relay_context.h"

namespace fulmarpoint {

/// Probes endpoints while `RelayContext::reachability` asks for it, and reports when the daemon
/// becomes isolated or is no longer. Used on the daemon's thread.
class ReachabilityMonitor {
 public:
  /// `on_change` is called after each change of `EndpointReachability::IsIsolated()`.
  ReachabilityMonitor(RelayContext& context, std::function<void(bool is_isolated)> on_change);
  /// Stops.
  ~ReachabilityMonitor();
  ReachabilityMonitor(const ReachabilityMonitor&) = delete;
  ReachabilityMonitor& operator=(const ReachabilityMonitor&) = delete;

  void Start();
  /// A connection to an endpoint was accepted or has failed.
  void OnEvidence();

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
