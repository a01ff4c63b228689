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

/// First attempts and retries of a fleet in each step.
struct Counts {
  int first_attempts = 0;
  int retries = 0;
};

/// Simulates a fleet in which every request fails and each daemon retries as often as its quota
/// allows. A tenth of the daemons receive most of the requests; which tenth changes every 150
/// steps. If `may_borrow`, each daemon borrows from another one in every step once its quota is
/// used up.
std::vector<Counts> SimulateBrownOut(std::size_t daemons, double requests_per_step, bool may_borrow,
                                     Random& random) {
  std::vector<FleetRetryQuota> quotas(daemons, FleetRetryQuota(kLimits));
  std::vector<Counts> counts(600);
  const std::size_t busy = std::max<std::size_t>(1, daemons / 10);
  for (std::size_t step = 0; step < counts.size(); ++step) {
    const TimePoint now = TimePoint(std::chrono::hours(1)) + kStep * static_cast<int>(step);
    const std::size_t first_busy = step / 150 * busy;
    const int arriving = std::poisson_distribution<int>(requests_per_step)(random);
    for (int request = 0; request < arriving; ++request) {
      const std::size_t at = random() % 4 == 0 ? random() : first_busy + random() % busy;
      quotas[at % daemons].OnFirstAttempt(now);
      ++counts[step].first_attempts;
    }
    for (FleetRetryQuota& quota : quotas) {
      while (quota.TryTake(daemons, now)) ++counts[step].retries;
      if (!may_borrow) continue;
      quota.Borrow(quotas[random() % daemons].Lend(2, daemons, now), now);
    }
  }
  return counts;
}

constexpr int kNeighbours = 10;

/// Simulates the loss of the engines of one of six failure domains in a fleet with 3 streams per
/// daemon. Each stream that ran there needs two retries, because its backup is lost too. Returns
/// the share of these streams that get them.
double ContinuedShare(bool may_borrow, Random& random) {
  constexpr int kFleet = 195;
  std::vector<FleetRetryQuota> quotas(kFleet, FleetRetryQuota(kLimits));
  std::vector<std::size_t> daemon_of_stream;
  const TimePoint start(std::chrono::hours(1));
  for (int stream = 0; stream < 3 * kFleet; ++stream) {
    const std::size_t daemon = random() % kFleet;
    quotas[daemon].OnFirstAttempt(start + std::chrono::milliseconds(stream * 10));
    if (random() % 6 == 0) daemon_of_stream.push_back(daemon);
  }
  const TimePoint crash = start + std::chrono::seconds(7);
  int continued = 0;
  for (const std::size_t daemon : daemon_of_stream) {
    int retries = 0;
    for (int attempt = 0; attempt < 2; ++attempt) {
      bool taken = quotas[daemon].TryTake(kFleet, crash);
      for (int round = 0; !taken && may_borrow && round < 3; ++round) {
        const std::size_t lender = (daemon + 1 + random() % kNeighbours) % kFleet;
        quotas[daemon].Borrow(quotas[lender].Lend(2, kFleet, crash), crash);
        taken = quotas[daemon].TryTake(kFleet, crash);
      }
      if (taken) ++retries;
    }
    if (retries == 2) ++continued;
  }
  return static_cast<double>(continued) / static_cast<double>(daemon_of_stream.size());
}

Counts Sum(const std::vector<Counts>& counts, std::size_t from) {
  Counts sum;
  for (std::size_t step = from; step < from + kStepsPerWindow; ++step) {
    sum.first_attempts += counts[step].first_attempts;
    sum.retries += counts[step].retries;
  }
  return sum;
}

}  // namespace

constexpr std::array<std::pair<std::size_t, bool>, 7> kFleets = {
    {{1, false}, {8, false}, {90, false}, {350, false}, {8, true}, {90, true}, {350, true}}};

// Guards against retries that multiply the load of a failing service.
Test(fleet_retry_quota, a_fleet_keeps_its_limit_in_every_window) {
  for (const std::uint64_t seed : {1u, 2u, 3u}) {
    Random random(seed);
    for (const auto& [daemons, may_borrow] : kFleets) {
      const std::vector<Counts> counts = SimulateBrownOut(daemons, 6.0, may_borrow, random);
      for (std::size_t from = 0; from + kStepsPerWindow <= counts.size(); ++from) {
        const Counts sum = Sum(counts, from);
        // The limit applies to the first attempts of this window or of the previous one, whichever
        // is larger.
        const int earlier =
            from < kStepsPerWindow ? 0 : Sum(counts, from - kStepsPerWindow).first_attempts;
        const double limit = kLimits.share * std::max(sum.first_attempts, earlier) + kLimits.slack;
        cr_assert_leq(sum.retries, limit, "seed %lu, %zu daemons, from %zu", seed, daemons, from);
      }
    }
  }
}

// Guards against streams that are lost although the fleet has hardly retried anything: the engines
// of all streams of one daemon fail at the same time.
Test(fleet_retry_quota, a_daemon_may_retry_most_of_its_simultaneous_failures) {
  FleetRetryQuota quota(kLimits);
  TimePoint now(std::chrono::hours(1));
  constexpr int kRequests = 10;
  for (int request = 0; request < kRequests; ++request) {
    quota.OnFirstAttempt(now);
    now += std::chrono::milliseconds(900);
  }
  int retried = 0;
  while (quota.TryTake(90, now)) ++retried;
  cr_assert_geq(retried, 7);
  now += std::chrono::seconds(11);
  cr_assert(quota.TryTake(90, now), "the slack is available again");
}

// Guards against streams that are lost because the engines of two of a daemon's streams fail at the
// same time, while most of the fleet-wide limit is unused.
Test(fleet_retry_quota, borrowing_covers_the_loss_of_a_failure_domain) {
  for (const std::uint64_t seed : {1u, 2u, 3u}) {
    Random random(seed);
    cr_assert_lt(ContinuedShare(false, random), 0.9,
                 "the load does not require borrowing, seed %lu", seed);
    cr_assert_geq(ContinuedShare(true, random), 0.97, "seed %lu", seed);
  }
}

// Guards against retries that no daemon counts: borrowed retries that are used late or lent twice.
Test(fleet_retry_quota, transfers_count_at_the_lender_and_expire) {
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
  cr_assert_not(borrower.TryTake(2, now + std::chrono::milliseconds(300)),
                "the earlier transfer is gone");
}

// Guards against neighbours that keep querying each other while none has any retries left.
Test(retry_quota_lender_selection, a_round_without_success_starts_a_cool_down) {
  Random random(1);
  RetryQuotaLenderSelection selection;
  const TimePoint now(std::chrono::hours(1));
  const std::vector<PeerRecord> neighbours(10);
  cr_assert_eq(selection.SelectLenders(neighbours, now, random).size(), 3u);
  selection.OnNoneLent(now);
  cr_assert(
      selection.SelectLenders(neighbours, now + std::chrono::milliseconds(299), random).empty());
  cr_assert_eq(
      selection.SelectLenders(neighbours, now + std::chrono::milliseconds(300), random).size(), 3u);
}

// Guards against a quota that keeps the limits of the start, and against retries that are forgotten
// when the length of the window changes.
Test(fleet_retry_quota, changed_limits_apply_at_once) {
  const TimePoint now{std::chrono::hours(1)};
  FleetRetryQuota quota({0.0, 20.0, std::chrono::seconds(10)});
  const auto take_all = [&quota](TimePoint at) {
    int taken = 0;
    while (quota.TryTake(1, at)) ++taken;
    return taken;
  };
  cr_assert_eq(take_all(now), 18);
  quota.SetLimits({0.0, 30.0, std::chrono::seconds(10)}, now);
  cr_assert_eq(take_all(now), 9);
  quota.SetLimits({0.0, 30.0, std::chrono::seconds(20)}, now);
  cr_assert_eq(take_all(now + std::chrono::seconds(15)), 0);
  cr_assert_eq(take_all(now + std::chrono::seconds(25)), 27);
}
