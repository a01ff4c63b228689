#include <criterion/criterion.h>

#include "hasty_orders.h"

using namespace fulmarpoint;

Test(hasty_orders, of_running_services_never_accept_a_version_that_slows_down) {
  for (const HastyOrder& order : HastyOrders(kRunningService)) {
    if (order.median_latency != kShortLatency) continue;
    ExpectNeverAccepted("slow late", order, SlowFrom(order.within * 2 / 5, 4.0));
  }
}
