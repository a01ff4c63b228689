#include "protocol/relay_heartbeat.h"

#include <algorithm>

namespace fulmarpoint {

void Truncate(RelayHeartbeat& heartbeat) {
  if (!heartbeat.news) return;
  RelayNews& payload = *heartbeat.news;
  payload.streams.resize(std::min(payload.streams.size(), kMaxHeartbeatStreams));
  payload.failed_endpoints.resize(std::min(payload.failed_endpoints.size(), kMaxHeartbeatFailures));
}

}  // namespace fulmarpoint
