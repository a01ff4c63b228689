#include "coordination/connection_share.h"

#include <algorithm>

namespace fulmarpoint {

namespace {

constexpr std::size_t kMaxIdleConnections = 2;

}  // namespace

ConnectionShare ShareConnections(int max_connections, std::size_t daemons) {
  if (max_connections <= 0) return {kMaxIdleConnections, 0};
  const std::size_t most = static_cast<std::size_t>(max_connections);
  const std::size_t daemon_count = std::max<std::size_t>(1, daemons);
  ConnectionShare share;
  share.idle = std::min(kMaxIdleConnections, most / 2 / daemon_count);
  share.requests = std::max(1, static_cast<int>(most - share.idle * daemon_count));
  return share;
}

}  // namespace fulmarpoint
