#include <criterion/criterion.h>

#include "fleet_recorder.h"

using namespace fulmarpoint;
using std::chrono::hours;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kSeed = 608;

struct World {
  explicit World(int daemons, std::uint64_t seed = kSeed, Fleet::Options options = {})
      : fleet(options, seed), recorder(fleet) {
    fleet.AddMany(daemons);
    fleet.RunFor(seconds(60));
    recorder.Apply(0, ExampleEntry("assistant", 10));
    fleet.RunFor(seconds(60));
  }

  void ExpectNoFailures() {
    const std::vector<std::string> failures = recorder.Failures();
    cr_assert(failures.empty(), "seed %lu: %zu failures, the first: %s", kSeed, failures.size(),
              failures.empty() ? "" : failures.front().c_str());
  }

  std::uint64_t RevisionOf(int index) { return fleet.Of(index).Replica().Revision(); }
  bool Accepts(int index) { return fleet.Of(index).AcceptsWork(fleet.Now()); }
  static bool IsInFirstRegion(int index) { return index % 4 < 2; }

  void CutRegions() {
    fleet.is_cut = [](int a, int b) { return IsInFirstRegion(a) != IsInFirstRegion(b); };
  }
  /// Only the first region reaches the table service.
  void CutStoreFromSecondRegion() {
    fleet.read_fault = fleet.write_fault = [](int index) {
      return IsInFirstRegion(index) ? StoreFault::kNone : StoreFault::kDown;
    };
  }
  void StopStore() {
    fleet.read_fault = fleet.write_fault = [](int) { return StoreFault::kDown; };
  }
  void Heal() {
    fleet.is_cut = [](int, int) { return false; };
    fleet.read_fault = fleet.write_fault = [](int) { return StoreFault::kNone; };
  }

  Fleet fleet;
  FleetRecorder recorder;
};

}  // namespace

Test(catalogue_fleet, change_is_in_effect_everywhere) {
  World world(8);
  const std::uint64_t id = world.recorder.Apply(3, ExampleEntry("assistant", 20));
  world.fleet.RunFor(seconds(12));
  const ApplyReport& report = world.fleet.reports[id];
  cr_assert_eq(report.status, ApplyStatus::kAccepted);
  cr_assert_eq(report.in_effect.size(), 8u);
  for (int i = 0; i < 8; ++i) {
    cr_assert(world.Accepts(i));
    cr_assert_eq(world.fleet.Of(i).Replica().Entry("assistant")->limits.max_concurrent, 20);
  }
  world.ExpectNoFailures();
}

// Guards against two operators who overwrite each other without noticing.
Test(catalogue_fleet, one_of_two_racing_operators_gets_the_difference) {
  World world(8);
  const std::uint64_t first = world.recorder.Apply(1, ExampleEntry("assistant", 30));
  const std::uint64_t second = world.recorder.Apply(6, ExampleEntry("assistant", 40));
  world.fleet.RunFor(seconds(20));
  const ApplyReport& a = world.fleet.reports[first];
  const ApplyReport& b = world.fleet.reports[second];
  cr_assert((a.status == ApplyStatus::kAccepted) != (b.status == ApplyStatus::kAccepted));
  const ApplyReport& loser = a.status == ApplyStatus::kAccepted ? b : a;
  cr_assert_eq(loser.status, ApplyStatus::kConflict);
  cr_assert_eq(loser.differences.size(), 1u);
  cr_assert_eq(loser.differences.front().field, "/limits/max_concurrent");
  world.ExpectNoFailures();
}

// Guards against a fleet that stops serving because the table service is away, and against a new
// process that learns nothing from its peers or accepts a catalogue that it cannot prove current.
Test(catalogue_fleet, store_outage_of_an_hour_with_replaced_daemons) {
  World world(8);
  const std::uint64_t revision = world.RevisionOf(0);
  world.StopStore();
  world.fleet.RunFor(seconds(120));
  for (int i = 0; i < 8; ++i) cr_assert(world.Accepts(i), "daemon %d without the store", i);
  world.fleet.Replace(2);
  world.fleet.RunFor(seconds(20));
  cr_assert_eq(world.RevisionOf(2), revision);
  cr_assert(world.Accepts(2), "a replaced daemon learns from its peers");
  world.fleet.RunFor(hours(1));
  int serving = 0;
  for (int i = 0; i < 8; ++i) serving += world.Accepts(i) ? 1 : 0;
  cr_assert_eq(serving, 8);
  world.Heal();
  world.fleet.RunFor(seconds(60));
  const std::uint64_t id = world.recorder.Apply(2, ExampleEntry("assistant", 20));
  world.fleet.RunFor(seconds(20));
  cr_assert_eq(world.recorder.StatusOf(id), ApplyStatus::kAccepted);
  world.ExpectNoFailures();
}

// Guards against a region that serves an old revision, and one that stays away after its return.
Test(catalogue_fleet, regions_parted_for_an_hour_with_the_store_on_one_side) {
  World world(9);  // five daemons in the first region
  world.CutRegions();
  world.CutStoreFromSecondRegion();
  world.fleet.RunFor(seconds(30));
  const std::uint64_t id = world.recorder.Apply(0, ExampleEntry("assistant", 50));
  world.fleet.RunFor(seconds(30));
  cr_assert_eq(world.recorder.StatusOf(id), ApplyStatus::kAccepted);
  cr_assert_eq(world.fleet.reports[id].in_effect.size(), 5u);
  cr_assert_eq(world.fleet.reports[id].unknown.size(), 4u);
  cr_assert_not(world.Accepts(2));
  world.fleet.RunFor(hours(1));
  world.Heal();
  world.fleet.RunFor(seconds(15));
  for (int i = 0; i < 9; ++i) {
    cr_assert(world.Accepts(i), "daemon %d", i);
    cr_assert_eq(world.fleet.Of(i).Replica().Entry("assistant")->limits.max_concurrent, 50);
  }
  world.ExpectNoFailures();
}

// Guards against a change that a majority without the table service never hears of: the side with
// the store but without enough voters must refuse it.
Test(catalogue_fleet, minority_with_the_store_cannot_change_the_catalogue) {
  World world(7);  // four daemons in the first region, three in the second
  world.CutRegions();
  world.fleet.read_fault = world.fleet.write_fault = [](int index) {
    return World::IsInFirstRegion(index) ? StoreFault::kDown : StoreFault::kNone;
  };
  world.fleet.RunFor(seconds(30));
  cr_assert(world.Accepts(0), "the majority without the store serves");
  cr_assert(world.Accepts(2), "the minority with the store serves");
  const std::uint64_t id = world.recorder.Apply(2, ExampleEntry("assistant", 50));
  world.fleet.RunFor(seconds(30));
  cr_assert_eq(world.recorder.StatusOf(id), ApplyStatus::kNoMajority);
  world.ExpectNoFailures();
}

// Guards against an operator who is refused because the daemon is changing the voters.
Test(catalogue_fleet, change_waits_for_a_change_of_the_voters) {
  World world(8);
  std::optional<std::uint64_t> id;
  const auto record = world.fleet.on_action;
  world.fleet.on_action = [&](int index, const ControlPlane::Action& action) {
    record(index, action);
    if (id || !std::holds_alternative<ControlPlane::WriteRows>(action)) return;
    id = world.recorder.Apply(index, ExampleEntry("assistant", 90));
  };
  world.fleet.Replace(6);
  world.fleet.RunFor(seconds(60));
  cr_assert(id.has_value(), "the voters were not changed");
  cr_assert_eq(world.recorder.StatusOf(*id), ApplyStatus::kAccepted);
  world.ExpectNoFailures();
}

/// Parts three of seven daemons with the store from the other four, starts nine more there, and
/// applies a change there. Returns whether the change was accepted.
static bool ApplyInGrowingMinority(World& world) {
  world.CutRegions();
  world.fleet.read_fault = world.fleet.write_fault = [](int index) {
    return World::IsInFirstRegion(index) ? StoreFault::kDown : StoreFault::kNone;
  };
  world.fleet.RunFor(seconds(30));
  for (int i = 0; i < 18; ++i) {
    const int index = world.fleet.Add("jackson-ms", "gulf-south");
    if (World::IsInFirstRegion(index)) world.fleet.Crash(index);
  }
  world.fleet.RunFor(seconds(120));
  const std::uint64_t id = world.recorder.Apply(2, ExampleEntry("assistant", 50));
  world.fleet.RunFor(seconds(60));
  cr_assert(world.Accepts(0), "the old majority still serves");
  return world.recorder.StatusOf(id) == ApplyStatus::kAccepted;
}

// Guards against the defect of a majority of known members: a minority that starts new daemons
// counts itself as a majority, while the other side still is one in its own view.
Test(catalogue_fleet, growing_minority_does_not_become_a_majority) {
  World world(7);
  cr_assert_not(ApplyInGrowingMinority(world));
  world.ExpectNoFailures();
}

// The checks notice voters that are changed before the revision before is accepted.
Test(catalogue_fleet, mutation_change_voters_unconfirmed) {
  Fleet::Options options;
  options.control.writer.mutate_change_voters_unconfirmed = true;
  World world(7, kSeed, options);
  ApplyInGrowingMinority(world);
  cr_assert_not(world.recorder.Failures().empty());
}

// Guards against a daemon that needs both ways of learning a revision, and one that trusts neither.
Test(catalogue_fleet, daemon_cut_from_store_or_peers_or_both) {
  World world(8);
  world.fleet.read_fault = world.fleet.write_fault = [](int index) {
    return index == 1 ? StoreFault::kDown : StoreFault::kNone;
  };
  world.fleet.is_cut = [](int a, int b) { return a == 2 || b == 2; };
  const std::uint64_t id = world.recorder.Apply(0, ExampleEntry("assistant", 60));
  world.fleet.RunFor(seconds(20));
  cr_assert_eq(world.recorder.StatusOf(id), ApplyStatus::kAccepted);
  cr_assert_eq(world.RevisionOf(1), world.RevisionOf(0), "cut from the store only");
  cr_assert_eq(world.RevisionOf(2), world.RevisionOf(0), "cut from the peers only");
  cr_assert(world.Accepts(1));
  cr_assert(world.Accepts(2));
  world.fleet.read_fault = [](int index) {
    return index == 2 ? StoreFault::kDown : StoreFault::kNone;
  };
  world.fleet.RunFor(seconds(12));
  cr_assert_not(world.Accepts(2), "cut from both");
  world.ExpectNoFailures();
}

// Guards against a daemon that takes work under the revision it had before a pause.
Test(catalogue_fleet, paused_daemon_is_fenced_when_it_returns) {
  World world(8);
  world.fleet.Pause(5);
  world.fleet.RunFor(seconds(20));
  world.recorder.Apply(0, ExampleEntry("assistant", 70));
  world.fleet.RunFor(seconds(40));
  cr_assert_not(world.Accepts(5));
  world.fleet.Resume(5);
  world.fleet.RunFor(seconds(10));
  cr_assert(world.Accepts(5));
  cr_assert_eq(world.RevisionOf(5), world.RevisionOf(0));
  world.ExpectNoFailures();
}

// Guards against a lost answer that is reported as a failure although the change was written, and
// against one that is written twice.
Test(catalogue_fleet, lost_answer_of_the_write_is_read_back) {
  World world(8);
  world.fleet.write_fault = [](int) { return StoreFault::kAnswerLost; };
  const std::uint64_t id = world.recorder.Apply(4, ExampleEntry("assistant", 80));
  world.fleet.RunFor(seconds(20));
  cr_assert_eq(world.recorder.StatusOf(id), ApplyStatus::kAccepted);
  world.ExpectNoFailures();
}
