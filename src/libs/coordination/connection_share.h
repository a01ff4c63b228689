#pragma once

#include <cstddef>

namespace fulmarpoint {

/// Limits on connections to one endpoint, such that all daemons together stay within the number
/// that it accepts: it resets any beyond.
struct ConnectionShare {
  /// Idle connections that one daemon may keep.
  std::size_t idle = 0;
  /// Concurrent requests of all daemons at the endpoint, each of which uses a connection. 0 if
  /// unlimited.
  int requests = 0;
};

/// Returns the limits for an endpoint that accepts `max_connections` (0 if unlimited) from
/// `daemons` daemons. Idle connections take at most half of them, and at least one request is
/// allowed. Thread-safe.
ConnectionShare ShareConnections(int max_connections, std::size_t daemons);

}  // namespace fulmarpoint
