#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "coordination/lost_attempts.h"
#include "protocol/crash_messages.h"
#include "relay/relay_context.h"

namespace fulmarpoint {

class PeerExchange;

/// Finds, together with the other daemons, the requests that crash the endpoints that run them.
/// Each lost run whose endpoint turns out to be gone is reported to the daemon that counts the
/// crashes of its fingerprint, which any daemon can name from the list of peers. Used on the
/// daemon's thread.
class CrashWatch {
 public:
  /// Both must outlive this.
  CrashWatch(RelayContext& context, PeerExchange& exchange);
  /// Stops.
  ~CrashWatch();
  CrashWatch(const CrashWatch&) = delete;
  CrashWatch& operator=(const CrashWatch&) = delete;

  /// A run ended without an answer. `is_broken`: its connection broke, so that the endpoint is
  /// asked at once whether it still accepts connections.
  void OnRunLost(Fingerprint fingerprint, const EndpointRecord& endpoint, TimePoint started,
                 bool is_broken);
  /// An endpoint gave the request a complete answer of any kind.
  void OnCompleted(Fingerprint fingerprint);
  /// Returns whether such requests get no further run.
  bool IsBlocked(Fingerprint fingerprint) const;
  /// A message of the daemon at `from`, "ip:port".
  void OnMessage(const std::string& from, const CrashMessage& message);
  /// Compares the lost runs with the endpoints that the store lists. Call it every few hundred
  /// milliseconds.
  void Check();

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
