#pragma once

#include <memory>
#include <string>

#include "coordination/peer_directory.h"
#include "relay/relay_context.h"

namespace fulmarpoint {

/// Table of the store in which daemons register themselves.
inline constexpr char kPeerTable[] = "fulmarpoint-daemons";

/// Keeps this daemon's row in the store, and removes the rows of neighbours that are lost. Used on
/// the daemon's thread.
class PeerRegistration {
 public:
  PeerRegistration(RelayContext& context, PeerRecord self);
  /// Stops.
  ~PeerRegistration();
  PeerRegistration(const PeerRegistration&) = delete;
  PeerRegistration& operator=(const PeerRegistration&) = delete;

  void Start();
  /// Removes this daemon's row; it is not written again.
  void Deregister();
  /// The store has a row of the table, or no longer has it.
  void OnRow(const StoreRow& row);

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
