#include <criterion/criterion.h>

#include <algorithm>
#include <set>
#include <vector>

#include "coordination/configuration_freshness.h"
#include "coordination/restored_configuration.h"
#include "coordination/table_replication_options.h"
#include "replication_fleet.h"

using namespace fulmarpoint;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kDaemons = 350;
constexpr std::size_t kDomains = 6;
constexpr std::size_t kEndpoints = 640;
// Calls per second of a direct reader for the three tables, at most, while the store answers.
constexpr double kCallsPerSecondOfDirectReader = 1 / 0.85 + 1 / 2.0 + 1 / 5.0;
// If calls fail at once, the pauses between them are at least half of the longest backoff.
constexpr double kCallsPerSecondOfFailingDirectReader = 3 / 0.4;
constexpr double kDirectReaders = 2.0 * kDomains;
// Probes of the store per second, over all daemons that are no direct readers, while the replicas
// are stale.
constexpr double kProbesPerSecond = 10.0;
constexpr Duration kConfigurationBound = seconds(4);
// All daemons serve again within this time after all were lost.
constexpr Duration kRestartBound = seconds(2);

TimePoint After(Duration duration) { return ReplicationFleet::Start() + duration; }

/// Runs a fleet with a fault from second 10 to second 20, and with changes of the configuration
/// during and after it.
struct FleetScenario {
  ReplicationFleet fleet{kDaemons, kDomains, kEndpoints};
  std::size_t max_expired = 0;
  std::size_t max_behind = 0;
  std::size_t calls = 0;
  std::size_t rows = 0;

  void Run(const std::function<void()>& begin, const std::function<void()>& end) {
    fleet.RunUntil(After(seconds(10)));
    const std::size_t calls_before = fleet.Calls();
    const std::size_t rows_before = fleet.RowsSent();
    if (begin) begin();
    for (int second = 10; second < 26; ++second) {
      if (second == 20 && end) end();
      if (second == 12 || second == 21) fleet.ChangeConfiguration();
      for (int step = 1; step <= 10; ++step) {
        fleet.RunUntil(After(seconds(second) + milliseconds(step * 100)));
        max_expired = std::max(max_expired, fleet.CountExpired());
        const bool is_bound_elapsed =
            second * 10 + step >= 12 * 10 + kConfigurationBound / milliseconds(100);
        if (is_bound_elapsed && second < 20) max_behind = std::max(max_behind, fleet.CountBehind());
      }
    }
    calls = fleet.Calls() - calls_before;
    rows = fleet.RowsSent() - rows_before;
  }
};

constexpr double kScenarioSeconds = 16.0;

/// Kills all daemons, restarts all but `dead` a second later, and checks that these serve within
/// `kRestartBound`. Returns the number of rows that the store sent meanwhile.
std::size_t RestartAllBut(const std::set<std::size_t>& dead, ReplicationFleet& fleet) {
  fleet.RunUntil(After(seconds(10)));
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) fleet.Kill(daemon);
  const TimePoint restart = After(seconds(11));
  fleet.RunUntil(restart);
  cr_assert_eq(fleet.CountServing(), 0u);
  const std::size_t rows_before = fleet.RowsSent();
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
    if (dead.count(daemon) > 0) continue;
    const Duration delay = milliseconds((kDaemons - daemon) % 300);
    fleet.At(restart + delay, [&fleet, daemon]() { fleet.Restart(daemon); });
  }
  fleet.RunUntil(restart + milliseconds(300) + kRestartBound);
  cr_assert_eq(fleet.CountServing(), kDaemons - dead.size(), "%zu serve", fleet.CountServing());
  return fleet.RowsSent() - rows_before;
}

}  // namespace

// Guards against load on the store that grows with the fleet when there is no fault.
Test(replication_fleet, store_calls_do_not_grow_with_the_fleet) {
  FleetScenario scenario;
  scenario.Run(nullptr, nullptr);
  cr_assert_eq(scenario.max_expired, 0u);
  cr_assert_eq(scenario.max_behind, 0u);
  // One direct reader of each domain calls the store; the second replicates from it. Each change
  // ends a watch early.
  cr_assert_leq(scenario.calls,
                kDomains * (kCallsPerSecondOfDirectReader * kScenarioSeconds + 2 + 3), "%zu",
                scenario.calls);
  cr_assert_leq(scenario.rows, kDomains * 2, "%zu", scenario.rows);
}

// Guards against a start of the fleet in which each daemon reads all endpoints from the store.
Test(replication_fleet, a_start_reads_the_endpoints_once_per_direct_reader) {
  ReplicationFleet fleet(kDaemons, kDomains, kEndpoints);
  fleet.RunUntil(After(seconds(2)));
  cr_assert_eq(fleet.CountExpired(), 0u);
  cr_assert_eq(fleet.CountServing(), kDaemons);
  // Each daemon reads the configuration, which is one row, from the store.
  const double limit = kDirectReaders * kEndpoints + kDaemons;
  cr_assert_leq(fleet.RowsSent(), limit, "%zu", fleet.RowsSent());
}

// Guards against a slow restart of the fleet after the loss of all daemons: the rows in the store
// name direct readers that are dead or have no replica yet.
Test(replication_fleet, all_daemons_restart_except_the_first_direct_readers) {
  ReplicationFleet fleet(kDaemons, kDomains, kEndpoints);
  std::set<std::size_t> dead;
  for (std::size_t domain = 0; domain < kDomains; ++domain)
    dead.insert(fleet.FirstRankedOf(domain));
  const std::size_t rows = RestartAllBut(dead, fleet);
  // Rows are read by the second direct readers, and by daemons that start before that of their
  // domain.
  cr_assert_leq(rows, 2 * kDirectReaders * kEndpoints + kDaemons, "%zu rows", rows);
}

// Guards against daemons that keep waiting for direct readers when none of them restarts.
Test(replication_fleet, all_daemons_restart_except_the_direct_readers) {
  ReplicationFleet fleet(kDaemons, kDomains, kEndpoints);
  std::set<std::size_t> dead;
  for (std::size_t domain = 0; domain < kDomains; ++domain) {
    const std::vector<std::size_t> readers = fleet.DirectReadersOf(domain);
    cr_assert_eq(readers.size(), 2u);
    dead.insert(readers.begin(), readers.end());
  }
  RestartAllBut(dead, fleet);
}

// Guards against a fleet whose calls increase the load on a failing store, and against a slow
// recovery.
Test(replication_fleet, store_outage) {
  FleetScenario scenario;
  bool is_down = false;
  scenario.fleet.store_answers = [&is_down](std::size_t) { return !is_down; };
  scenario.Run([&]() { is_down = true; }, [&]() { is_down = false; });
  const double limit =
      (kDirectReaders * kCallsPerSecondOfFailingDirectReader + 3 * kProbesPerSecond) *
      kScenarioSeconds;
  cr_assert_leq(scenario.calls, limit, "%zu calls", scenario.calls);
  cr_assert_leq(scenario.rows, kDirectReaders * kEndpoints, "%zu rows", scenario.rows);
  cr_assert_eq(scenario.fleet.CountExpired(), 0u);
  cr_assert_eq(scenario.fleet.CountBehind(), 0u);
}

// Guards against daemons that stop serving, or miss a change, when the store rejects the calls of a
// part of the fleet.
Test(replication_fleet, store_rejects_some_daemons) {
  for (std::size_t seed = 0; seed < 8; ++seed) {
    FleetScenario scenario;
    bool is_rejecting = false;
    scenario.fleet.store_answers = [&](std::size_t daemon) {
      return !is_rejecting || (daemon * 2654435761U + seed * 40503U) % 100 >= 35;
    };
    scenario.Run([&]() { is_rejecting = true; }, [&]() { is_rejecting = false; });
    cr_assert_eq(scenario.max_expired, 0u, "%zu daemons, seed %zu", scenario.max_expired, seed);
    cr_assert_eq(scenario.max_behind, 0u, "%zu daemons, seed %zu", scenario.max_behind, seed);
    const double limit =
        (kDirectReaders * kCallsPerSecondOfFailingDirectReader + 3 * kProbesPerSecond) *
        kScenarioSeconds;
    cr_assert_leq(scenario.calls, limit, "%zu calls", scenario.calls);
  }
}

// Guards against daemons that stop serving when their direct readers fail.
Test(replication_fleet, first_direct_readers_are_lost) {
  FleetScenario scenario;
  std::vector<std::size_t> lost;
  for (std::size_t domain = 0; domain < kDomains; ++domain)
    lost.push_back(scenario.fleet.FirstRankedOf(domain));
  bool are_lost = false;
  scenario.fleet.reaches = [&](std::size_t from, std::size_t to) {
    const auto is_lost = [&](std::size_t daemon) {
      return std::find(lost.begin(), lost.end(), daemon) != lost.end();
    };
    return !are_lost || (!is_lost(from) && !is_lost(to));
  };
  scenario.Run([&]() { are_lost = true; }, [&]() { are_lost = false; });
  cr_assert_eq(scenario.max_expired, 0u);
  cr_assert_eq(scenario.max_behind, 0u);
  cr_assert_leq(scenario.calls,
                kDirectReaders * (kCallsPerSecondOfDirectReader * kScenarioSeconds + 10),
                "%zu calls", scenario.calls);
  cr_assert_leq(scenario.rows, kDirectReaders * 4, "%zu rows", scenario.rows);
}

// Guards against daemons that keep waiting for direct readers they are partitioned from.
Test(replication_fleet, part_of_the_fleet_is_partitioned) {
  FleetScenario scenario;
  bool is_cut = false;
  const auto is_isolated = [&](std::size_t daemon) { return (daemon * 2654435761U) % 100 < 35; };
  scenario.fleet.reaches = [&](std::size_t from, std::size_t to) {
    return !is_cut || (!is_isolated(from) && !is_isolated(to));
  };
  scenario.Run([&]() { is_cut = true; }, [&]() { is_cut = false; });
  cr_assert_eq(scenario.max_expired, 0u);
  cr_assert_eq(scenario.max_behind, 0u);
  // An isolated daemon can read only from the store.
  const double direct = 0.35 * kDaemons + kDirectReaders;
  cr_assert_leq(scenario.calls, direct * (kCallsPerSecondOfDirectReader * kScenarioSeconds + 6),
                "%zu calls", scenario.calls);
  cr_assert_leq(scenario.rows, direct * 6, "%zu rows", scenario.rows);
}

// Guards against a whole fleet that reads the store directly when its watches get no answer for a
// while and its history of changes is dropped.
Test(replication_fleet, watches_stall_and_the_history_is_dropped) {
  FleetScenario scenario;
  for (int second = 10; second < 20; second += 2) {
    scenario.fleet.At(After(seconds(second)), [&]() { scenario.fleet.StallWatches(true); });
    scenario.fleet.At(After(seconds(second + 1)), [&]() { scenario.fleet.StallWatches(false); });
  }
  scenario.Run(nullptr, nullptr);
  cr_assert_eq(scenario.max_expired, 0u);
  cr_assert_eq(scenario.max_behind, 0u);
  cr_assert_leq(scenario.calls,
                kDirectReaders * kCallsPerSecondOfFailingDirectReader * kScenarioSeconds,
                "%zu calls", scenario.calls);
  // Each time the history is dropped, each direct reader reads its tables once.
  cr_assert_leq(scenario.rows, kDirectReaders * (kEndpoints + 1) * 6, "%zu rows", scenario.rows);
}

/// Restores the store after an outage of two seconds from a copy that lacks the last changes of the
/// configuration; the operator writes it again `rewrite_delay` later. Checks that no daemon follows
/// the copy, that later changes take effect, and that the store is not called more often.
void RestoreStore(std::size_t daemons, std::size_t domains, Duration rewrite_delay) {
  ReplicationFleet fleet(daemons, domains, kEndpoints);
  bool is_down = false;
  fleet.store_answers = [&is_down](std::size_t) { return !is_down; };
  fleet.RunUntil(After(seconds(6)));
  const ReplicationFleet::Copy copy = fleet.TakeCopy();
  fleet.At(After(seconds(9)), [&fleet]() { fleet.ChangeConfiguration(); });
  fleet.At(After(seconds(12)), [&fleet]() { fleet.ChangeConfiguration(); });
  fleet.RunUntil(After(seconds(15)));
  cr_assert_eq(fleet.CountBehind(), 0u);
  is_down = true;
  fleet.RunUntil(After(seconds(17)));
  is_down = false;
  fleet.Restore(copy);
  const std::size_t calls_before = fleet.Calls();
  fleet.RunUntil(After(seconds(17)) + rewrite_delay);
  cr_assert_eq(fleet.CountBehind(), 0u, "the copy's older configuration has no effect");
  fleet.WriteConfiguration();
  fleet.RunUntil(After(milliseconds(21500)));
  cr_assert_eq(fleet.CountExpired(), 0u, "%zu", fleet.CountExpired());
  fleet.ChangeConfiguration();
  fleet.RunUntil(After(milliseconds(23500)));
  cr_assert_eq(fleet.CountBehind(), 0u, "%zu have not the latest", fleet.CountBehind());
  fleet.RunUntil(After(seconds(27)));
  cr_assert_eq(fleet.CountExpired(), 0u);
  constexpr double kSeconds = 10.0;
  const double readers = daemons < 12 ? static_cast<double>(daemons) : kDirectReaders;
  // Each daemon may read each of the three tables once more, and direct readers watch the
  // configuration with the shorter wait until the operator has had time to write it again.
  const TableWatcher::Options watcher =
      ConfigurationReplicationOptions("", ReplicationFleet::kConfirmationValidity).watcher;
  const double short_watches = static_cast<double>(watcher.row_rewrite_time.count()) /
                               static_cast<double>(watcher.watch_wait_after_restore.count());
  const double limit =
      readers * (kCallsPerSecondOfDirectReader * kSeconds + 2 + 3 + short_watches) +
      3.0 * static_cast<double>(daemons);
  const std::size_t calls = fleet.Calls() - calls_before;
  cr_assert_leq(calls, limit, "%zu calls", calls);
}

// Guards against daemons that stop following a store that was restored from a copy, or that go back
// to the copy's configuration.
Test(replication_fleet, a_store_restored_from_a_copy) {
  for (const Duration delay : {milliseconds(20), milliseconds(400), milliseconds(1500)}) {
    RestoreStore(6, 4, delay);
    RestoreStore(65, 5, delay);
    RestoreStore(kDaemons, kDomains, delay);
  }
}

// Guards against a fleet that stays unready after a restore in which nothing of the configuration
// was lost, so that the operator has nothing to write again.
Test(replication_fleet, a_copy_with_the_latest_configuration_is_confirmed_soon) {
  constexpr Duration kLongestBackoff = milliseconds(800);
  constexpr Duration kCallTime = milliseconds(210);
  for (const std::size_t daemons : {std::size_t{6}, std::size_t{65}, kDaemons}) {
    ReplicationFleet fleet(daemons, daemons == kDaemons ? kDomains : 5, kEndpoints);
    bool is_down = false;
    fleet.store_answers = [&is_down](std::size_t) { return !is_down; };
    fleet.RunUntil(After(seconds(15)));
    const ReplicationFleet::Copy copy = fleet.TakeCopy();
    is_down = true;
    fleet.CutWatches();
    fleet.RunUntil(After(seconds(17)));
    is_down = false;
    fleet.Restore(copy);
    // Daemons that replicate from a peer see the new epoch after it.
    const bool reads_store = daemons < ReplicationSourceSelection::Options().min_fleet;
    const Duration lag = reads_store ? 2 * kCallTime : kConfigurationBound;
    const TimePoint confirmed =
        After(seconds(17)) + kLongestBackoff + RestoredConfigurationCheck::kRewriteTime + lag;
    fleet.RunUntil(confirmed);
    cr_assert_eq(fleet.CountExpired(), 0u, "%zu of %zu", fleet.CountExpired(), daemons);
    for (int step = 1; step < 100; ++step) {
      fleet.RunUntil(confirmed + step * milliseconds(50));
      cr_assert_eq(fleet.CountExpired(), 0u, "step %d", step);
    }
  }
}

// Guards against a removed key that works again: the operator had written a configuration that no
// daemon has seen, and the copy lacks it.
Test(replication_fleet, a_copy_confirms_nothing_until_the_operator_has_written_again) {
  RestoredConfigurationCheck check;
  const TimePoint start = After(Duration::zero());
  check.OnRow(12, 40, false, start);
  check.OnComplete(70);
  cr_assert(check.IsCurrent(start));
  check.OnRow(12, 40, true, start);
  cr_assert_not(check.IsCurrent(start), "the row is the copy's");
  cr_assert(check.IsCurrent(start + RestoredConfigurationCheck::kRewriteTime));
  check.OnRow(12, 55, true, start);
  cr_assert(check.IsCurrent(start), "the operator has written it again");
  check.OnRow(9, 30, true, start);
  cr_assert_not(check.IsCurrent(start + seconds(60)), "it is older than the one in effect");
  check.OnRow(9, 31, false, start);
  cr_assert_not(check.IsCurrent(start + seconds(60)));
  check.OnRow(13, 32, false, start);
  cr_assert(check.IsCurrent(start));
  check.OnRow(14, 71, true, start);
  cr_assert_not(check.IsCurrent(start), "the copy may have a row that this daemon had not read");
  check.OnRow(15, 72, false, start);
  cr_assert(check.IsCurrent(start));
}
