#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <random>
#include <utility>
#include <vector>

#include "coordination/fleet_retry_quota.h"
#include "coordination/retry_quota_lender_selection.h"
#include "utils/random.h"

using namespace fulmarpoint;

namespace {

constexpr Duration kStep = std::chrono::milliseconds(100);
constexpr FleetRetryQuota::Limits kLimits{0.8, 150.0, std::chrono::seconds(10)};
constexpr int kStepsPerWindow = 100;

/// First attempts and repeats of a fleet in each step.
struct Counts {
  int first_attempts = 0;
  int repeats = 0;
};

/// Lets every request of a fleet fail, so that each daemon repeats as often as it may. A tenth of
/// the daemons receive most of the requests; which tenth changes now and then. If `may_borrow`,
/// each daemon borrows from another whenever it has none left.
std::vector<Counts> PlayBrownOut(std::size_t daemons, double requests_per_step, bool may_borrow,
                                 Random& random) {
  std::vector<FleetRetryQuota> allowances(daemons, FleetRetryQuota(kLimits));
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
    for (FleetRetryQuota& allowance : allowances) {
      while (allowance.TryTake(daemons, now)) ++counts[step].repeats;
      if (!may_borrow) continue;
      allowance.Borrow(allowances[random() % daemons].Lend(2, daemons, now), now);
    }
  }
  return counts;
}

constexpr int kNeighbours = 10;

/// Lets the engines of one of six failure domains fail in a fleet with 3 streams on each daemon.
/// Each stream that was there needs two repeats: its copy is lost too. Returns the streams that get
/// them, of all that need them.
double ShareContinued(bool may_borrow, Random& random) {
  constexpr int kFleet = 195;
  std::vector<FleetRetryQuota> allowances(kFleet, FleetRetryQuota(kLimits));
  std::vector<std::size_t> daemon_of_stream;
  const TimePoint start(std::chrono::hours(1));
  for (int stream = 0; stream < 3 * kFleet; ++stream) {
    const std::size_t daemon = random() % kFleet;
    allowances[daemon].OnFirstAttempt(start + std::chrono::milliseconds(stream * 10));
    if (random() % 6 == 0) daemon_of_stream.push_back(daemon);
  }
  const TimePoint crash = start + std::chrono::seconds(7);
  int continued = 0;
  for (const std::size_t daemon : daemon_of_stream) {
    int repeats = 0;
    for (int attempt = 0; attempt < 2; ++attempt) {
      bool taken = allowances[daemon].TryTake(kFleet, crash);
      for (int round = 0; !taken && may_borrow && round < 3; ++round) {
        const std::size_t lender = (daemon + 1 + random() % kNeighbours) % kFleet;
        allowances[daemon].Borrow(allowances[lender].Lend(2, kFleet, crash), crash);
        taken = allowances[daemon].TryTake(kFleet, crash);
      }
      if (taken) ++repeats;
    }
    if (repeats == 2) ++continued;
  }
  return static_cast<double>(continued) / static_cast<double>(daemon_of_stream.size());
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

constexpr std::array<std::pair<std::size_t, bool>, 7> kFleets = {
    {{1, false}, {8, false}, {90, false}, {350, false}, {8, true}, {90, true}, {350, true}}};

// Guards against repeats that multiply the load of a service that fails.
Test(retry_allowance, a_fleet_keeps_its_limit_in_every_window) {
  for (const std::uint64_t seed : {1u, 2u, 3u}) {
    Random random(seed);
    for (const auto& [daemons, may_borrow] : kFleets) {
      const std::vector<Counts> counts = PlayBrownOut(daemons, 6.0, may_borrow, random);
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
  FleetRetryQuota allowance(kLimits);
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

// Guards against streams that are cut because the engines of two of a daemon's streams fail at once
// while the fleet's limit is far from used up.
Test(retry_allowance, daemons_share_what_a_crash_needs) {
  for (const std::uint64_t seed : {1u, 2u, 3u}) {
    Random random(seed);
    cr_assert_lt(ShareContinued(false, random), 0.9, "the load does not need loans, seed %lu",
                 seed);
    cr_assert_geq(ShareContinued(true, random), 0.97, "seed %lu", seed);
  }
}

// Guards against repeats that are counted by nobody: a loan that is used late, or given twice.
Test(retry_allowance, loans_count_at_the_lender_and_expire) {
  const TimePoint now(std::chrono::hours(1));
  FleetRetryQuota lender({0.0, 8.0, std::chrono::seconds(10)});
  FleetRetryQuota borrower({0.0, 0.0, std::chrono::seconds(10)});
  cr_assert_eq(lender.Lend(1, 2, now), 1);
  cr_assert(lender.TryTake(2, now));
  cr_assert_eq(lender.Lend(5, 2, now), 1, "three in a window");
  cr_assert_not(lender.TryTake(2, now));
  cr_assert_eq(lender.Lend(-1, 2, now + std::chrono::seconds(20)), 0);
  borrower.Borrow(2, now);
  cr_assert(borrower.TryTake(2, now));
  cr_assert_not(borrower.TryTake(2, now + std::chrono::milliseconds(300)));
  borrower.Borrow(1, now + std::chrono::milliseconds(300));
  cr_assert(borrower.TryTake(2, now + std::chrono::milliseconds(300)));
  cr_assert_not(borrower.TryTake(2, now + std::chrono::milliseconds(300)), "the old one is gone");
}

// Guards against a neighbourhood in which everybody asks everybody while none has any left.
Test(loan_rounds, a_round_without_success_is_followed_by_a_rest) {
  Random random(1);
  RetryQuotaLenderSelection rounds;
  const TimePoint now(std::chrono::hours(1));
  const std::vector<PeerRecord> neighbours(10);
  cr_assert_eq(rounds.SelectLenders(neighbours, now, random).size(), 3u);
  rounds.OnNoneLent(now);
  cr_assert(rounds.SelectLenders(neighbours, now + std::chrono::milliseconds(299), random).empty());
  cr_assert_eq(
      rounds.SelectLenders(neighbours, now + std::chrono::milliseconds(300), random).size(), 3u);
}
