#pragma once

#include "server/services.h"

namespace fulmarpoint {

class ControlPlaneDriver;
class PeerService;

/// Enables the exchange of calls between this daemon and its peers: queries about claims, and calls
/// with a key that another daemon has issued. Call before `peers` starts; all arguments must
/// outlive it.
void ConnectCallPeers(Services& services, PeerService& peers, ControlPlaneDriver& control);

}  // namespace fulmarpoint
