#include "protocol/relay_heartbeat.h"

#include <algorithm>

namespace fulmarpoint {

void Truncate(RelayHeartbeat& heartbeat) {
  if (!heartbeat.payload) return;
  HeartbeatPayload& payload = *heartbeat.payload;
  payload.streams.resize(std::min(payload.streams.size(), kMaxHeartbeatStreams));
  payload.failed_endpoints.resize(std::min(payload.failed_endpoints.size(), kMaxHeartbeatFailures));
}

}  // namespace fulmarpoint
