#include "hasty_orders.h"

#include <criterion/criterion.h>

#include <cstdio>

namespace fulmarpoint {

std::vector<HastyOrder> HastyOrders(Duration before) {
  std::vector<HastyOrder> orders;
  for (const int seconds : {6, 10, 15, 30}) {
    for (const double rate : {1.0, 5.0, 12.0, 40.0, 150.0}) {
      for (const int daemons : {8, 195}) {
        for (const Duration latency : {kShortLatency, kLongLatency}) {
          orders.push_back({std::chrono::seconds(seconds), rate, daemons, latency, before});
        }
      }
    }
  }
  return orders;
}

HastyCounts PlayHastyOrder(const HastyOrder& order, const Behaviour& behaviour) {
  constexpr std::uint64_t kHastySeeds = 5;
  HastyCounts counts;
  for (std::uint64_t seed = 1; seed <= kHastySeeds; ++seed) {
    Scenario scenario{"hasty", order.daemons, order.requests_per_second, order.within, behaviour};
    scenario.median_latency = order.median_latency;
    scenario.before = order.before;
    RolloutFleet fleet(scenario, seed);
    const Result result = fleet.Run();
    const bool is_rolled_back = result.phase == RolloutPhase::kRolledBack;
    const bool is_done = result.phase == RolloutPhase::kDone;
    const bool is_undecided = is_rolled_back && result.reason.starts_with("undecided");
    counts.done += is_done ? 1 : 0;
    counts.undecided += is_undecided ? 1 : 0;
    counts.judged += is_rolled_back && !is_undecided ? 1 : 0;
    counts.unended += is_rolled_back || is_done ? 0 : 1;
    counts.over_exposure +=
        result.exposed > kExposureShare * result.requests + kExposureSlack ? 1 : 0;
    counts.late += result.late > 0 ? 1 : 0;
  }
  return counts;
}

void Print(const char* version, const HastyOrder& order, const HastyCounts& counts) {
  using Seconds = std::chrono::duration<double>;
  std::printf("%-9s %4.0f s, %5.0f/s, %3d daemons, %5.3f s, after %2.0f s: ", version,
              Seconds(order.within).count(), order.requests_per_second, order.daemons,
              Seconds(order.median_latency).count(), Seconds(order.before).count());
  std::printf("%d done, %d undecided, %d judged, %d not ended, %d over exposure, %d late\n",
              counts.done, counts.undecided, counts.judged, counts.unended, counts.over_exposure,
              counts.late);
}

void ExpectNeverAccepted(const char* version, const HastyOrder& order, const Behaviour& behaviour) {
  const HastyCounts counts = PlayHastyOrder(order, behaviour);
  Print(version, order, counts);
  cr_expect_eq(counts.done + counts.unended, 0);
  cr_expect_eq(counts.over_exposure + counts.late, 0);
}

}  // namespace fulmarpoint
