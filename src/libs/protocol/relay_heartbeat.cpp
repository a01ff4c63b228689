#include "protocol/relay_heartbeat.h"

#include <algorithm>

namespace fulmarpoint {

void Shorten(RelayHeartbeat& heartbeat) {
  if (!heartbeat.payload) return;
  HeartbeatPayload& news = *heartbeat.payload;
  news.streams.resize(std::min(news.streams.size(), kMaxHeartbeatStreams));
  news.failed_endpoints.resize(std::min(news.failed_endpoints.size(), kMaxHeartbeatFailures));
}

}  // namespace fulmarpoint
