#pragma once

#include "server/services.h"

namespace fulmarpoint {

class ControlPlaneDriver;
class PeerService;

/// Connects the calls of this daemon with those of its peers: questions about claims and calls with
/// a key that another daemon has issued. Call before `peers` starts; all parameters outlive it.
void ConnectCallPeers(Services& services, PeerService& peers, ControlPlaneDriver& control);

}  // namespace fulmarpoint
