#include <criterion/criterion.h>

#include <algorithm>
#include <set>
#include <vector>

#include "coordination/configuration_freshness.h"
#include "replication_fleet.h"

using namespace fulmarpoint;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kDaemons = 350;
constexpr std::size_t kDomains = 6;
constexpr std::size_t kEndpoints = 640;
// Whoever reads the store asks for each of three tables at most this often while it answers.
constexpr double kCallsPerReader = 1 / 0.85 + 1 / 2.0 + 1 / 5.0;
// With calls that fail at once the pauses between them are half of the longest at least.
constexpr double kCallsPerReaderInTrouble = 3 / 0.4;
constexpr double kReaders = 2.0 * kDomains;
// Daemons that are no readers try the store beside old copies this often, all together.
constexpr double kTrialsPerSecond = 10.0;
constexpr Duration kConfigurationBound = seconds(4);
// Serving again within this time after the loss of all.
constexpr Duration kRestartBound = seconds(2);

TimePoint After(Duration duration) { return ReaderFleet::Start() + duration; }

/// Plays trouble from second 10 to second 20 and changes of the configuration meanwhile.
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

/// Kills all daemons, starts all but the `dead` a second later, and checks that these serve soon.
/// Returns the rows that the store has sent meanwhile.
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

// Guards against calls and bytes at the store that grow with the fleet while all is well.
Test(reader_fleet, calls_do_not_grow_with_the_fleet) {
  Play play;
  play.Run(nullptr, nullptr);
  cr_assert_eq(play.most_expired, 0u);
  cr_assert_eq(play.most_behind, 0u);
  // One reader of each domain calls; the second follows it. Each change is an early answer.
  cr_assert_leq(play.calls, kDomains * (kCallsPerReader * kSeconds + 2 + 3), "%zu", play.calls);
  cr_assert_leq(play.rows, kDomains * 2, "%zu", play.rows);
}

// Guards against a start at which each daemon reads all endpoints from the store.
Test(reader_fleet, a_start_reads_the_endpoints_once_a_reader) {
  ReaderFleet fleet(kDaemons, kDomains, kEndpoints);
  fleet.RunUntil(After(seconds(2)));
  cr_assert_eq(fleet.Expired(), 0u);
  cr_assert_eq(fleet.Serving(), kDaemons);
  // Each daemon reads the configuration, one row, itself.
  const double most = kReaders * kEndpoints + kDaemons;
  cr_assert_leq(fleet.RowsSent(), most, "%zu", fleet.RowsSent());
}

// Guards against a fleet that comes back late after the loss of all daemons, because its rows name
// readers that are dead or have nothing yet.
Test(reader_fleet, all_daemons_are_lost_and_the_best_readers_stay_dead) {
  ReaderFleet fleet(kDaemons, kDomains, kEndpoints);
  std::set<std::size_t> dead;
  for (std::size_t domain = 0; domain < kDomains; ++domain) dead.insert(fleet.BestOf(domain));
  const std::size_t rows = RestartAllBut(dead, fleet);
  // The second readers read, and the daemons that start before the one of their domain.
  cr_assert_leq(rows, 2 * kReaders * kEndpoints + kDaemons, "%zu rows", rows);
}

// Guards against daemons that wait for readers of which none comes back.
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

// Guards against a fleet that loads the store more the worse it does, and against one that comes
// back late.
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

// Guards against daemons that stop serving, or miss a change, because the store refuses a part of
// the fleet.
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

// Guards against daemons that go down with their readers.
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

// Guards against daemons that wait for readers they are cut off from.
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
  // Whoever is alone has only the store.
  const double direct = 0.35 * kDaemons + kReaders;
  cr_assert_leq(play.calls, direct * (kCallsPerReader * kSeconds + 6), "%zu calls", play.calls);
  cr_assert_leq(play.rows, direct * 6, "%zu rows", play.rows);
}

// Guards against a whole fleet that turns to a store whose watches hear nothing for a while and
// whose history is forgotten.
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
  // Each time the history is forgotten, each reader reads its tables once.
  cr_assert_leq(play.rows, kReaders * (kEndpoints + 1) * 6, "%zu rows", play.rows);
}
