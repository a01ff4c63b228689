#pragma once

namespace fulmarpoint {

/// Position of a daemon on the hash ring that determines which daemons exchange heartbeats.
/// Endpoints are placed on the same ring, and each daemon prefers endpoints near it, so that the
/// daemons that share an endpoint see each other's requests there in their heartbeats.
struct RingView {
  /// From 0 to 1; all daemons are evenly spaced.
  double position = 0.0;
  /// Endpoints within this distance are used mostly by this daemon and daemons whose heartbeats it
  /// receives.
  double visible_distance = 0.0;
};

}  // namespace fulmarpoint
