#include <criterion/criterion.h>

#include "hasty_orders.h"

using namespace fulmarpoint;

// Guards against a slow version whose requests in progress do not count, although they already run
// longer than the latency limit.
Test(hasty_orders, never_accept_a_version_whose_long_requests_slow_down) {
  for (const HastyOrder& order : HastyOrders(kRunningService)) {
    if (order.median_latency != kLongLatency) continue;
    ExpectNeverAccepted("slow late", order, SlowFrom(order.within * 2 / 5, 4.0));
  }
}
