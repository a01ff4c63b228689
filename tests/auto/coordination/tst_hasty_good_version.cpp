#include <criterion/criterion.h>

#include "hasty_orders.h"

using namespace fulmarpoint;

// Guards against a good version that is undecided because the old version's latencies are not known
// at the order.
Test(hasty_orders, of_running_services_accept_a_good_version) {
  constexpr Duration kEnoughTime = std::chrono::seconds(10);
  constexpr double kEnoughRequestsPerSecond = 40.0;
  int unfinished = 0;
  for (const HastyOrder& order : HastyOrders(kRunningService)) {
    const HastyCounts good = PlayHastyOrder(order, Good());
    Print("good", order, good);
    const bool is_enough =
        order.requests_per_second >= kEnoughRequestsPerSecond && order.within >= kEnoughTime;
    if (is_enough) unfinished += good.undecided + good.judged + good.unended;
  }
  cr_expect_eq(unfinished, 0);
}
