#include <criterion/criterion.h>

#include <algorithm>
#include <random>
#include <vector>

#include "coordination/retry_allowance.h"
#include "utils/random.h"

using namespace fulmarpoint;

namespace {

constexpr Duration kStep = std::chrono::milliseconds(100);
constexpr RetryAllowance::Limits kLimits{0.8, 150.0, std::chrono::seconds(10)};
constexpr int kStepsPerWindow = 100;

/// First attempts and repeats of a fleet in each step.
struct Counts {
  int first_attempts = 0;
  int repeats = 0;
};

/// Lets every request of a fleet fail, so that each daemon repeats as often as it may. A tenth of
/// the daemons receive most of the requests; which tenth changes now and then.
std::vector<Counts> PlayBrownOut(std::size_t daemons, double requests_per_step, Random& random) {
  std::vector<RetryAllowance> allowances(daemons, RetryAllowance(kLimits));
  std::vector<Counts> counts(600);
  const std::size_t busy = std::max<std::size_t>(1, daemons / 10);
  for (std::size_t step = 0; step < counts.size(); ++step) {
    const TimePoint now = TimePoint(std::chrono::hours(1)) + kStep * static_cast<int>(step);
    const std::size_t first_busy = step / 150 * busy;
    const int arriving = std::poisson_distribution<int>(requests_per_step)(random);
    for (int request = 0; request < arriving; ++request) {
      const std::size_t at = random() % 4 == 0 ? random() : first_busy + random() % busy;
      allowances[at % daemons].OnFirstAttempt(now);
      ++counts[step].first_attempts;
    }
    for (RetryAllowance& allowance : allowances) {
      while (allowance.TryTake(daemons, now)) ++counts[step].repeats;
    }
  }
  return counts;
}

Counts Sum(const std::vector<Counts>& counts, std::size_t from) {
  Counts sum;
  for (std::size_t step = from; step < from + kStepsPerWindow; ++step) {
    sum.first_attempts += counts[step].first_attempts;
    sum.repeats += counts[step].repeats;
  }
  return sum;
}

}  // namespace

// Guards against repeats that multiply the load of a service that fails.
Test(retry_allowance, a_fleet_keeps_its_limit_in_every_window) {
  for (const std::uint64_t seed : {1u, 2u, 3u}) {
    Random random(seed);
    for (const std::size_t daemons : {1u, 8u, 90u, 350u}) {
      const std::vector<Counts> counts = PlayBrownOut(daemons, 6.0, random);
      for (std::size_t from = 0; from + kStepsPerWindow <= counts.size(); ++from) {
        const Counts sum = Sum(counts, from);
        // The limit counts the requests of this window or of an earlier one, whichever has more.
        const int earlier =
            from < kStepsPerWindow ? 0 : Sum(counts, from - kStepsPerWindow).first_attempts;
        const double limit = kLimits.share * std::max(sum.first_attempts, earlier) + kLimits.slack;
        cr_assert_leq(sum.repeats, limit, "seed %lu, %zu daemons, from %zu", seed, daemons, from);
      }
    }
  }
}

// Guards against streams that are cut although the fleet has hardly repeated anything: the engines
// of one daemon's streams fail at the same moment.
Test(retry_allowance, a_daemon_may_repeat_most_of_what_fails_at_once) {
  RetryAllowance allowance(kLimits);
  TimePoint now(std::chrono::hours(1));
  constexpr int kRequests = 10;
  for (int request = 0; request < kRequests; ++request) {
    allowance.OnFirstAttempt(now);
    now += std::chrono::milliseconds(900);
  }
  int repeated = 0;
  while (allowance.TryTake(90, now)) ++repeated;
  cr_assert_geq(repeated, 7);
  now += std::chrono::seconds(11);
  cr_assert(allowance.TryTake(90, now), "the slack is there again");
}
