#pragma once

#include <atomic>
#include <cstdint>
#include <string>

#include "protocol/rollout_messages.h"
#include "protocol/suspect_messages.h"
#include "server/services.h"

namespace fulmarpoint {

class ControlPlaneDriver;

/// Sends bad versions and crash suspects to all daemons by gossip, and passes those received from
/// others to the rollouts and the dispatcher. Thread-safe.
class GossipExchange {
 public:
  GossipExchange(Services& services, ControlPlaneDriver& control);
  GossipExchange(const GossipExchange&) = delete;
  GossipExchange& operator=(const GossipExchange&) = delete;

  /// Sets the handlers at the dispatcher and the control plane. Call once, before the control plane
  /// starts.
  void Connect();
  /// Sends a bad version that this daemon has found.
  void Publish(const BadVersionNotice& notice);

 private:
  void Publish(const SuspectGossip& notice);
  void OnBadVersion(const std::string& body);
  void OnSuspects(const std::string& body);

  Services& m_services;
  ControlPlaneDriver& m_control;
  std::atomic<std::uint64_t> m_next{1};
};

}  // namespace fulmarpoint
