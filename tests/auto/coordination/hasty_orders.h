#pragma once

#include <vector>

#include "rollout_fleet.h"

namespace fulmarpoint {

/// An order for a rollout within a short time.
struct HastyOrder {
  Duration within;
  double requests_per_second;
  int daemons;
  Duration median_latency;
  Duration before;
};

/// How the rollouts of one order ended, over all seeds.
struct HastyCounts {
  int done = 0;
  int undecided = 0;
  int judged = 0;
  int over_exposure = 0;
  int late = 0;
  int unended = 0;
};

/// Returns orders of 6 to 30 s for fleets with little to much traffic. `before` is how long the
/// service has had its requests.
std::vector<HastyOrder> HastyOrders(Duration before);
HastyCounts PlayHastyOrder(const HastyOrder& order, const Behaviour& behaviour);
void Print(const char* version, const HastyOrder& order, const HastyCounts& counts);
/// Expects that the version is rolled back in time, within its exposure.
void ExpectNeverAccepted(const char* version, const HastyOrder& order, const Behaviour& behaviour);

}  // namespace fulmarpoint
