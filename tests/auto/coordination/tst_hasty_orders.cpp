#include <criterion/criterion.h>

#include "hasty_orders.h"

using namespace fulmarpoint;

// Guards against a slow version that is accepted because the time is short: because its requests
// were not compared, or were too few.
Test(hasty_orders, never_accept_a_slow_version) {
  for (const HastyOrder& order : HastyOrders(kNewService)) {
    ExpectNeverAccepted("slow", order, SlowFrom(Duration::zero(), 4.0));
  }
}

// Guards against a slow version that is accepted because it is as good as the old one at first.
Test(hasty_orders, never_accept_a_version_that_slows_down) {
  for (const HastyOrder& order : HastyOrders(kNewService)) {
    if (order.median_latency != kShortLatency) continue;
    ExpectNeverAccepted("slow late", order, SlowFrom(order.within * 2 / 5, 4.0));
  }
}

// Guards against a good version that is judged bad, or that is not done although the service has
// enough requests.
Test(hasty_orders, accept_a_good_version) {
  constexpr double kEnoughRequestsPerSecond = 150.0;
  constexpr Duration kEnoughTime = std::chrono::seconds(10);
  int judged = 0;
  int unfinished = 0;
  for (const HastyOrder& order : HastyOrders(kNewService)) {
    const HastyCounts counts = PlayHastyOrder(order, Good());
    Print("good", order, counts);
    judged += counts.judged;
    const bool is_enough =
        order.requests_per_second >= kEnoughRequestsPerSecond && order.within >= kEnoughTime;
    if (is_enough) unfinished += counts.undecided + counts.unended;
  }
  cr_expect_leq(judged, 4, "%d of 400", judged);
  cr_expect_eq(unfinished, 0);
}

// Guards against the same for a service that ran before the order, whose latencies are known.
Test(hasty_orders, of_running_services_never_accept_a_slow_version) {
  for (const HastyOrder& order : HastyOrders(kRunningService)) {
    ExpectNeverAccepted("slow", order, SlowFrom(Duration::zero(), 4.0));
  }
}
