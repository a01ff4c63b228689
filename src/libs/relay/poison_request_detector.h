#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "coordination/lost_attempts.h"
#include "protocol/crash_messages.h"
#include "relay/relay_context.h"

namespace fulmarpoint {

class PeerExchange;
struct AttemptLossDetails;
struct RelayedRequest;

/// Detects, together with the other daemons, poison requests: requests that crash the endpoints
/// that run them. Such requests may be the same as a whole, or have a part of their prompt in
/// common. Each lost attempt whose endpoint proves to be gone is reported to the owners of the
/// fingerprints of the request and of the parts of its prompt, which count the crashes. Every
/// daemon computes the owners, two for each fingerprint, from the list of peers by rendezvous
/// hashing. Quarantines are sent to all daemons when they begin; those that start later or miss
/// them ask for them. Used on the daemon's thread.
class PoisonRequestDetector {
 public:
  /// Both must outlive this.
  PoisonRequestDetector(RelayContext& context, PeerExchange& exchange);
  /// Stops.
  ~PoisonRequestDetector();
  PoisonRequestDetector(const PoisonRequestDetector&) = delete;
  PoisonRequestDetector& operator=(const PoisonRequestDetector&) = delete;

  /// An attempt ended without a complete reply. If its connection broke, the endpoint is probed at
  /// once to find out whether it still accepts connections.
  void OnAttemptLost(const RelayedRequest& request, const EndpointRecord& endpoint,
                     const AttemptLossDetails& details);
  /// An endpoint sent a complete reply of any status to the request, or has sent events for
  /// `LostAttempts::kMaxRunBeforeCrash`, so that the request does not crash endpoints.
  /// Only a success proves that the parts of its prompt are harmless.
  void OnSurvived(const RelayedRequest& request, bool is_success);
  /// Returns whether the request is rejected, because of the whole or of a part of its prompt.
  bool IsQuarantined(const RelayedRequest& request) const;
  /// Handles a message from the daemon at `from`, "ip:port".
  void OnMessage(const std::string& from, const CrashMessage& message);
  /// Finds lost attempts whose endpoints the store no longer lists, drops expired entries, and asks
  /// another daemon for quarantines that this one has missed. Call it every few hundred
  /// milliseconds.
  void Housekeep();

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
