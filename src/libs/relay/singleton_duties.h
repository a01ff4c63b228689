#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "protocol/duty_messages.h"
#include "relay/duty_api.h"
#include "relay/duty_counters.h"
#include "relay/peer_connections.h"
#include "relay/relay_context.h"

namespace fulmarpoint {

class PeerExchange;

/// Takes part in the duties that one daemon performs at a time: competes for their lease, and while
/// it holds it, collects usage and load from all daemons, reports usage and orders engines. Does
/// nothing if the settings name no duties. Used on the daemon's thread.
class SingletonDuties {
 public:
  /// All must outlive this.
  SingletonDuties(RelayContext& context, PeerExchange& exchange, PeerConnections& connections,
                  DutyApi api, std::uint64_t seed);
  /// Stops.
  ~SingletonDuties();
  SingletonDuties(const SingletonDuties&) = delete;
  SingletonDuties& operator=(const SingletonDuties&) = delete;

  void Start();
  /// Gives the lease up, so that a successor need not wait for its end.
  void Release();
  /// Replies to the holder.
  DutyPollReply Answer(const DutyPoll& poll);
  /// Keeps the usage counts of a neighbour.
  void OnCopy(const UsageCopy& copy);
  /// The store is in `epoch`; a later one than before if it was restored from a copy.
  void OnStoreEpoch(std::uint64_t epoch);
  /// Returns what is known of the duties as a JSON text, for operators.
  std::string StatusJson() const;

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
