#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "coordination/peer_directory.h"
#include "coordination/table_watcher.h"
#include "relay/relay_context.h"

namespace fulmarpoint {

/// Table of the store in which daemons register themselves.
inline constexpr char kPeerTable[] = "fulmarpoint-daemons";

/// Maintains this daemon's row in the store, and removes the rows of lost neighbours. Used on the
/// daemon's thread.
class PeerRegistration {
 public:
  PeerRegistration(RelayContext& context, PeerRecord self);
  /// Stops.
  ~PeerRegistration();
  PeerRegistration(const PeerRegistration&) = delete;
  PeerRegistration& operator=(const PeerRegistration&) = delete;

  void Start();
  /// States in this daemon's row whether it is isolated. Only fleets in which not all daemons
  /// exchange heartbeats need that.
  void SetIsolated(bool is_isolated);
  /// Removes this daemon's row for good.
  void Deregister();
  /// Handles a change of a row of `kPeerTable`.
  void OnChange(const TableWatcher::Change& change);
  /// All changes of `kPeerTable` up to a position in the store's `epoch` have been handled.
  void OnConfirmed(std::uint64_t epoch);

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
