#include <criterion/criterion.h>

#include "coordination/connection_share.h"

using namespace fulmarpoint;

// Guards against endpoints that reset requests because idle connections use up their limit.
Test(connection_share, all_daemons_together_stay_below_the_limit) {
  for (const int limit : {1, 2, 7, 50, 96, 370, 630}) {
    for (std::size_t daemons = 0; daemons <= 400; ++daemons) {
      const ConnectionShare share = ShareConnections(limit, daemons);
      const std::size_t idle = share.idle * daemons;
      cr_assert_leq(idle, static_cast<std::size_t>(limit) / 2);
      cr_assert_leq(idle + static_cast<std::size_t>(share.requests),
                    static_cast<std::size_t>(limit));
      cr_assert_geq(share.requests, 1);
    }
  }
}

// Guards against small fleets that open a new connection for each request.
Test(connection_share, a_small_fleet_keeps_idle_connections) {
  cr_assert_eq(ShareConnections(96, 6).idle, 2u);
  cr_assert_eq(ShareConnections(0, 6).idle, 2u);
  cr_assert_eq(ShareConnections(0, 6).requests, 0, "unlimited");
}
