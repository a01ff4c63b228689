#include <criterion/criterion.h>

#include <algorithm>
#include <set>
#include <vector>

#include "coordination/freshness_proof.h"
#include "reader_fleet.h"

using namespace fulmarpoint;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kDaemons = 350;
constexpr std::size_t kDomains = 6;
constexpr std::size_t kEndpoints = 640;
// Calls per second of a direct reader for the three tables, at most, while the store answers.
constexpr double kCallsPerReader = 1 / 0.85 + 1 / 2.0 + 1 / 5.0;
// If calls fail at once, the pauses between them are at least half of the longest backoff.
constexpr double kCallsPerReaderInTrouble = 3 / 0.4;
constexpr double kReaders = 2.0 * kDomains;
// Probes of the store per second, over all daemons that are no direct readers, while the replicas
// are stale.
constexpr double kTrialsPerSecond = 10.0;
constexpr Duration kConfigurationBound = seconds(4);
// All daemons serve again within this time after all were lost.
constexpr Duration kRestartBound = seconds(2);

TimePoint After(Duration duration) { return ReaderFleet::Start() + duration; }

/// Runs a fleet with a fault from second 10 to second 20, and with changes of the configuration
/// during and after it.
struct Play {
  ReaderFleet fleet{kDaemons, kDomains, kEndpoints};
  std::size_t most_expired = 0;
  std::size_t most_behind = 0;
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
        most_expired = std::max(most_expired, fleet.Expired());
        const bool is_bound_over =
            second * 10 + step >= 12 * 10 + kConfigurationBound / milliseconds(100);
        if (is_bound_over && second < 20) most_behind = std::max(most_behind, fleet.Behind());
      }
    }
    calls = fleet.Calls() - calls_before;
    rows = fleet.RowsSent() - rows_before;
  }
};

constexpr double kSeconds = 16.0;

/// Kills all daemons, restarts all but `dead` a second later, and checks that these serve within
/// `kRestartBound`. Returns the number of rows that the store sent meanwhile.
std::size_t RestartAllBut(const std::set<std::size_t>& dead, ReaderFleet& fleet) {
  fleet.RunUntil(After(seconds(10)));
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) fleet.Kill(daemon);
  const TimePoint restart = After(seconds(11));
  fleet.RunUntil(restart);
  cr_assert_eq(fleet.Serving(), 0u);
  const std::size_t rows_before = fleet.RowsSent();
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
    if (dead.count(daemon) > 0) continue;
    const Duration delay = milliseconds((kDaemons - daemon) % 300);
    fleet.At(restart + delay, [&fleet, daemon]() { fleet.Restart(daemon); });
  }
  fleet.RunUntil(restart + milliseconds(300) + kRestartBound);
  cr_assert_eq(fleet.Serving(), kDaemons - dead.size(), "%zu serve", fleet.Serving());
  return fleet.RowsSent() - rows_before;
}

}  // namespace

// Guards against load on the store that grows with the fleet when there is no fault.
Test(reader_fleet, calls_do_not_grow_with_the_fleet) {
  Play play;
  play.Run(nullptr, nullptr);
  cr_assert_eq(play.most_expired, 0u);
  cr_assert_eq(play.most_behind, 0u);
  // One direct reader of each domain calls the store; the second replicates from it. Each change
  // ends a watch early.
  cr_assert_leq(play.calls, kDomains * (kCallsPerReader * kSeconds + 2 + 3), "%zu", play.calls);
  cr_assert_leq(play.rows, kDomains * 2, "%zu", play.rows);
}

// Guards against a start of the fleet in which each daemon reads all endpoints from the store.
Test(reader_fleet, a_start_reads_the_endpoints_once_a_reader) {
  ReaderFleet fleet(kDaemons, kDomains, kEndpoints);
  fleet.RunUntil(After(seconds(2)));
  cr_assert_eq(fleet.Expired(), 0u);
  cr_assert_eq(fleet.Serving(), kDaemons);
  // Each daemon reads the configuration, which is one row, from the store.
  const double most = kReaders * kEndpoints + kDaemons;
  cr_assert_leq(fleet.RowsSent(), most, "%zu", fleet.RowsSent());
}

// Guards against a slow restart of the fleet after the loss of all daemons: the rows in the store
// name direct readers that are dead or have no replica yet.
Test(reader_fleet, all_daemons_are_lost_and_the_best_readers_stay_dead) {
  ReaderFleet fleet(kDaemons, kDomains, kEndpoints);
  std::set<std::size_t> dead;
  for (std::size_t domain = 0; domain < kDomains; ++domain) dead.insert(fleet.BestOf(domain));
  const std::size_t rows = RestartAllBut(dead, fleet);
  // Rows are read by the second direct readers, and by daemons that start before that of their
  // domain.
  cr_assert_leq(rows, 2 * kReaders * kEndpoints + kDaemons, "%zu rows", rows);
}

// Guards against daemons that keep waiting for direct readers when none of them restarts.
Test(reader_fleet, all_daemons_are_lost_and_all_readers_stay_dead) {
  ReaderFleet fleet(kDaemons, kDomains, kEndpoints);
  std::set<std::size_t> dead;
  for (std::size_t domain = 0; domain < kDomains; ++domain) {
    const std::vector<std::size_t> readers = fleet.ReadersOf(domain);
    cr_assert_eq(readers.size(), 2u);
    dead.insert(readers.begin(), readers.end());
  }
  RestartAllBut(dead, fleet);
}

// Guards against a fleet whose calls increase the load on a failing store, and against a slow
// recovery.
Test(reader_fleet, an_outage_of_the_store) {
  Play play;
  bool is_down = false;
  play.fleet.store_answers = [&is_down](std::size_t) { return !is_down; };
  play.Run([&]() { is_down = true; }, [&]() { is_down = false; });
  const double most = (kReaders * kCallsPerReaderInTrouble + 3 * kTrialsPerSecond) * kSeconds;
  cr_assert_leq(play.calls, most, "%zu calls", play.calls);
  cr_assert_leq(play.rows, kReaders * kEndpoints, "%zu rows", play.rows);
  cr_assert_eq(play.fleet.Expired(), 0u);
  cr_assert_eq(play.fleet.Behind(), 0u);
}

// Guards against daemons that stop serving, or miss a change, when the store rejects the calls of a
// part of the fleet.
Test(reader_fleet, a_store_that_refuses_some_daemons) {
  for (std::size_t seed = 0; seed < 8; ++seed) {
    Play play;
    bool is_refusing = false;
    play.fleet.store_answers = [&](std::size_t daemon) {
      return !is_refusing || (daemon * 2654435761U + seed * 40503U) % 100 >= 35;
    };
    play.Run([&]() { is_refusing = true; }, [&]() { is_refusing = false; });
    cr_assert_eq(play.most_expired, 0u, "%zu daemons, seed %zu", play.most_expired, seed);
    cr_assert_eq(play.most_behind, 0u, "%zu daemons, seed %zu", play.most_behind, seed);
    const double most = (kReaders * kCallsPerReaderInTrouble + 3 * kTrialsPerSecond) * kSeconds;
    cr_assert_leq(play.calls, most, "%zu calls", play.calls);
  }
}

// Guards against daemons that stop serving when their direct readers fail.
Test(reader_fleet, the_best_readers_die) {
  Play play;
  std::vector<std::size_t> lost;
  for (std::size_t domain = 0; domain < kDomains; ++domain)
    lost.push_back(play.fleet.BestOf(domain));
  bool are_lost = false;
  play.fleet.reaches = [&](std::size_t from, std::size_t to) {
    const auto is_lost = [&](std::size_t daemon) {
      return std::find(lost.begin(), lost.end(), daemon) != lost.end();
    };
    return !are_lost || (!is_lost(from) && !is_lost(to));
  };
  play.Run([&]() { are_lost = true; }, [&]() { are_lost = false; });
  cr_assert_eq(play.most_expired, 0u);
  cr_assert_eq(play.most_behind, 0u);
  cr_assert_leq(play.calls, kReaders * (kCallsPerReader * kSeconds + 10), "%zu calls", play.calls);
  cr_assert_leq(play.rows, kReaders * 4, "%zu rows", play.rows);
}

// Guards against daemons that keep waiting for direct readers they are partitioned from.
Test(reader_fleet, a_part_of_the_daemons_is_cut_off_from_the_others) {
  Play play;
  bool is_cut = false;
  const auto is_alone = [&](std::size_t daemon) { return (daemon * 2654435761U) % 100 < 35; };
  play.fleet.reaches = [&](std::size_t from, std::size_t to) {
    return !is_cut || (!is_alone(from) && !is_alone(to));
  };
  play.Run([&]() { is_cut = true; }, [&]() { is_cut = false; });
  cr_assert_eq(play.most_expired, 0u);
  cr_assert_eq(play.most_behind, 0u);
  // An isolated daemon can read only from the store.
  const double direct = 0.35 * kDaemons + kReaders;
  cr_assert_leq(play.calls, direct * (kCallsPerReader * kSeconds + 6), "%zu calls", play.calls);
  cr_assert_leq(play.rows, direct * 6, "%zu rows", play.rows);
}

// Guards against a whole fleet that reads the store directly when its watches get no answer for a
// while and its history of changes is dropped.
Test(reader_fleet, watches_are_held_and_the_history_is_forgotten) {
  Play play;
  for (int second = 10; second < 20; second += 2) {
    play.fleet.At(After(seconds(second)), [&]() { play.fleet.HoldWatches(true); });
    play.fleet.At(After(seconds(second + 1)), [&]() { play.fleet.HoldWatches(false); });
  }
  play.Run(nullptr, nullptr);
  cr_assert_eq(play.most_expired, 0u);
  cr_assert_eq(play.most_behind, 0u);
  cr_assert_leq(play.calls, kReaders * kCallsPerReaderInTrouble * kSeconds, "%zu calls",
                play.calls);
  // Each time the history is dropped, each direct reader reads its tables once.
  cr_assert_leq(play.rows, kReaders * (kEndpoints + 1) * 6, "%zu rows", play.rows);
}
