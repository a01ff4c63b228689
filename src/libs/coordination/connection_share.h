#pragma once

#include <cstddef>

namespace fulmarpoint {

/// How many connections to one endpoint may stand, so that all daemons together stay below the
/// number that it accepts: it resets those beyond.
struct ConnectionShare {
  /// Connections without a request that one daemon may keep.
  std::size_t idle = 0;
  /// Requests of all daemons at the endpoint; each takes a connection. 0 if unlimited.
  int requests = 0;
};

/// Returns the share for an endpoint that accepts `max_connections` (0 if unlimited) from `daemons`
/// daemons. Idle connections never take more than half of them, and at least one request is
/// allowed. Thread-safe.
ConnectionShare ShareConnections(int max_connections, std::size_t daemons);

}  // namespace fulmarpoint
