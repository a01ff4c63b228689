#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "coordination/lost_attempts.h"
#include "protocol/crash_messages.h"
#include "relay/relay_context.h"

namespace fulmarpoint {

class PeerExchange;

/// Detects, together with the other daemons, poison requests: requests that crash the endpoints
/// that run them. Each lost attempt whose endpoint proves to be gone is reported to the owner of
/// the request's fingerprint, which counts the crashes. Every daemon computes the owner from the
/// list of peers by rendezvous hashing. Used on the daemon's thread.
class PoisonRequestDetector {
 public:
  /// Both must outlive this.
  PoisonRequestDetector(RelayContext& context, PeerExchange& exchange);
  /// Stops.
  ~PoisonRequestDetector();
  PoisonRequestDetector(const PoisonRequestDetector&) = delete;
  PoisonRequestDetector& operator=(const PoisonRequestDetector&) = delete;

  /// An attempt ended without a complete reply. If `connection_broken`, the endpoint is
  /// probed at once to find out whether it still accepts connections.
  void OnAttemptLost(Fingerprint fingerprint, const EndpointRecord& endpoint, TimePoint started,
                     bool connection_broken);
  /// An endpoint sent a complete reply of any status to the request.
  void OnCompleted(Fingerprint fingerprint);
  /// Returns whether requests with this fingerprint are rejected.
  bool IsQuarantined(Fingerprint fingerprint) const;
  /// Handles a message from the daemon at `from`, "ip:port".
  void OnMessage(const std::string& from, const CrashMessage& message);
  /// Finds lost attempts whose endpoints the store no longer lists, and drops expired entries. Call
  /// it every few hundred milliseconds.
  void CheckLostAttempts();

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
