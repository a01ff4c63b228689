#pragma once

namespace fulmarpoint {

/// Where a daemon stands among the others on the ring that decides who hears whom. Endpoints stand
/// on the same ring, and each daemon prefers those near it, so that the daemons that share an
/// endpoint hear of each other's requests there.
struct RingView {
  /// From 0 to 1, all daemons evenly apart.
  double position = 0.0;
  /// Endpoints up to this far away are used mostly by this daemon and daemons that it hears.
  double visible_distance = 0.0;
};

}  // namespace fulmarpoint
