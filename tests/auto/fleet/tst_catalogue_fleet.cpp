#include <criterion/criterion.h>

#include "fleet_recorder.h"

using namespace fulmarpoint;
using std::chrono::hours;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kSeed = 608;

struct CatalogueFixture {
  explicit CatalogueFixture(int daemons, std::uint64_t seed = kSeed, Fleet::Options options = {})
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
    fleet.is_partitioned = [](int a, int b) { return IsInFirstRegion(a) != IsInFirstRegion(b); };
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
  void ClearFaults() {
    fleet.is_partitioned = [](int, int) { return false; };
    fleet.read_fault = fleet.write_fault = [](int) { return StoreFault::kNone; };
  }

  Fleet fleet;
  FleetRecorder recorder;
};

}  // namespace

Test(catalogue_fleet, change_is_in_effect_everywhere) {
  CatalogueFixture fixture(8);
  const std::uint64_t id = fixture.recorder.Apply(3, ExampleEntry("assistant", 20));
  fixture.fleet.RunFor(seconds(12));
  const ApplyReport& report = fixture.fleet.reports[id];
  cr_assert_eq(report.status, ApplyStatus::kAccepted);
  cr_assert_eq(report.in_effect.size(), 8u);
  for (int i = 0; i < 8; ++i) {
    cr_assert(fixture.Accepts(i));
    cr_assert_eq(fixture.fleet.Of(i).Replica().Entry("assistant")->limits.max_concurrent, 20);
  }
  fixture.ExpectNoFailures();
}

// Guards against two operators who overwrite each other's changes unnoticed.
Test(catalogue_fleet, one_of_two_racing_operators_gets_the_difference) {
  CatalogueFixture fixture(8);
  const std::uint64_t first = fixture.recorder.Apply(1, ExampleEntry("assistant", 30));
  const std::uint64_t second = fixture.recorder.Apply(6, ExampleEntry("assistant", 40));
  fixture.fleet.RunFor(seconds(20));
  const ApplyReport& a = fixture.fleet.reports[first];
  const ApplyReport& b = fixture.fleet.reports[second];
  cr_assert((a.status == ApplyStatus::kAccepted) != (b.status == ApplyStatus::kAccepted));
  const ApplyReport& loser = a.status == ApplyStatus::kAccepted ? b : a;
  cr_assert_eq(loser.status, ApplyStatus::kConflict);
  cr_assert_eq(loser.differences.size(), 1u);
  cr_assert_eq(loser.differences.front().field, "/limits/max_concurrent");
  fixture.ExpectNoFailures();
}

// Guards against a fleet that stops serving in an outage of the table service, and against a new
// process that gets nothing from its peers or uses a catalogue that is not confirmed to be current.
Test(catalogue_fleet, store_outage_of_an_hour_with_replaced_daemons) {
  CatalogueFixture fixture(8);
  const std::uint64_t revision = fixture.RevisionOf(0);
  fixture.StopStore();
  fixture.fleet.RunFor(seconds(120));
  for (int i = 0; i < 8; ++i) cr_assert(fixture.Accepts(i), "daemon %d without the store", i);
  fixture.fleet.Replace(2);
  fixture.fleet.RunFor(seconds(20));
  cr_assert_eq(fixture.RevisionOf(2), revision);
  cr_assert(fixture.Accepts(2), "a replaced daemon gets the catalogue from its peers");
  fixture.fleet.RunFor(hours(1));
  int serving = 0;
  for (int i = 0; i < 8; ++i) serving += fixture.Accepts(i) ? 1 : 0;
  cr_assert_eq(serving, 8);
  fixture.ClearFaults();
  fixture.fleet.RunFor(seconds(60));
  const std::uint64_t id = fixture.recorder.Apply(2, ExampleEntry("assistant", 20));
  fixture.fleet.RunFor(seconds(20));
  cr_assert_eq(fixture.recorder.StatusOf(id), ApplyStatus::kAccepted);
  fixture.ExpectNoFailures();
}

// Guards against a partitioned region that serves an old revision, or that stays fenced after the
// partition.
Test(catalogue_fleet, regions_partitioned_for_an_hour_with_the_store_on_one_side) {
  CatalogueFixture fixture(9);  // five daemons in the first region
  fixture.CutRegions();
  fixture.CutStoreFromSecondRegion();
  fixture.fleet.RunFor(seconds(30));
  const std::uint64_t id = fixture.recorder.Apply(0, ExampleEntry("assistant", 50));
  fixture.fleet.RunFor(seconds(30));
  cr_assert_eq(fixture.recorder.StatusOf(id), ApplyStatus::kAccepted);
  cr_assert_eq(fixture.fleet.reports[id].in_effect.size(), 5u);
  cr_assert_eq(fixture.fleet.reports[id].unknown.size(), 4u);
  cr_assert_not(fixture.Accepts(2));
  fixture.fleet.RunFor(hours(1));
  fixture.ClearFaults();
  fixture.fleet.RunFor(seconds(15));
  for (int i = 0; i < 9; ++i) {
    cr_assert(fixture.Accepts(i), "daemon %d", i);
    cr_assert_eq(fixture.fleet.Of(i).Replica().Entry("assistant")->limits.max_concurrent, 50);
  }
  fixture.ExpectNoFailures();
}

// Guards against a change that a majority without the table service never receives: the side with
// the store but without enough voters must reject it.
Test(catalogue_fleet, minority_with_the_store_cannot_change_the_catalogue) {
  CatalogueFixture fixture(7);  // four daemons in the first region, three in the second
  fixture.CutRegions();
  fixture.fleet.read_fault = fixture.fleet.write_fault = [](int index) {
    return CatalogueFixture::IsInFirstRegion(index) ? StoreFault::kDown : StoreFault::kNone;
  };
  fixture.fleet.RunFor(seconds(30));
  cr_assert(fixture.Accepts(0), "the majority without the store serves");
  cr_assert(fixture.Accepts(2), "the minority with the store serves");
  const std::uint64_t id = fixture.recorder.Apply(2, ExampleEntry("assistant", 50));
  fixture.fleet.RunFor(seconds(30));
  cr_assert_eq(fixture.recorder.StatusOf(id), ApplyStatus::kNoMajority);
  fixture.ExpectNoFailures();
}

// Guards against a change that is rejected because the daemon is changing the set of voters.
Test(catalogue_fleet, change_waits_for_a_change_of_the_voters) {
  CatalogueFixture fixture(8);
  std::optional<std::uint64_t> id;
  const auto record = fixture.fleet.on_action;
  fixture.fleet.on_action = [&](int index, const ControlPlane::Action& action) {
    record(index, action);
    if (id || !std::holds_alternative<ControlPlane::WriteRows>(action)) return;
    id = fixture.recorder.Apply(index, ExampleEntry("assistant", 90));
  };
  fixture.fleet.Replace(6);
  fixture.fleet.RunFor(seconds(60));
  cr_assert(id.has_value(), "the voters were not changed");
  cr_assert_eq(fixture.recorder.StatusOf(*id), ApplyStatus::kAccepted);
  fixture.ExpectNoFailures();
}

/// Partitions three of seven daemons, which have the store, from the other four, starts nine more
/// daemons on their side, and applies a change there. Returns whether the change was accepted.
static bool ApplyInGrowingMinority(CatalogueFixture& fixture) {
  fixture.CutRegions();
  fixture.fleet.read_fault = fixture.fleet.write_fault = [](int index) {
    return CatalogueFixture::IsInFirstRegion(index) ? StoreFault::kDown : StoreFault::kNone;
  };
  fixture.fleet.RunFor(seconds(30));
  for (int i = 0; i < 18; ++i) {
    const int index = fixture.fleet.Add("jackson-ms", "gulf-south");
    if (CatalogueFixture::IsInFirstRegion(index)) fixture.fleet.Crash(index);
  }
  fixture.fleet.RunFor(seconds(120));
  const std::uint64_t id = fixture.recorder.Apply(2, ExampleEntry("assistant", 50));
  fixture.fleet.RunFor(seconds(60));
  cr_assert(fixture.Accepts(0), "the old majority still serves");
  return fixture.recorder.StatusOf(id) == ApplyStatus::kAccepted;
}

// Guards against a majority that is computed from the known members: a minority that starts new
// daemons would count itself as a majority, while the other side still is one in its own view.
Test(catalogue_fleet, growing_minority_does_not_become_a_majority) {
  CatalogueFixture fixture(7);
  cr_assert_not(ApplyInGrowingMinority(fixture));
  fixture.ExpectNoFailures();
}

// The checks detect a change of the voters before the previous revision is accepted.
Test(catalogue_fleet, mutation_change_voters_unconfirmed) {
  Fleet::Options options;
  options.control.writer.mutate_change_voters_before_accepted = true;
  CatalogueFixture fixture(7, kSeed, options);
  ApplyInGrowingMinority(fixture);
  cr_assert_not(fixture.recorder.Failures().empty());
}

// Guards against a daemon that needs both the store and its peers to get a revision, and against
// one that serves without either.
Test(catalogue_fleet, daemon_cut_from_store_or_peers_or_both) {
  CatalogueFixture fixture(8);
  fixture.fleet.read_fault = fixture.fleet.write_fault = [](int index) {
    return index == 1 ? StoreFault::kDown : StoreFault::kNone;
  };
  fixture.fleet.is_partitioned = [](int a, int b) { return a == 2 || b == 2; };
  const std::uint64_t id = fixture.recorder.Apply(0, ExampleEntry("assistant", 60));
  fixture.fleet.RunFor(seconds(20));
  cr_assert_eq(fixture.recorder.StatusOf(id), ApplyStatus::kAccepted);
  cr_assert_eq(fixture.RevisionOf(1), fixture.RevisionOf(0), "cut from the store only");
  cr_assert_eq(fixture.RevisionOf(2), fixture.RevisionOf(0), "cut from the peers only");
  cr_assert(fixture.Accepts(1));
  cr_assert(fixture.Accepts(2));
  fixture.fleet.read_fault = [](int index) {
    return index == 2 ? StoreFault::kDown : StoreFault::kNone;
  };
  fixture.fleet.RunFor(seconds(12));
  cr_assert_not(fixture.Accepts(2), "cut from both");
  fixture.ExpectNoFailures();
}

// Guards against a daemon that accepts work under the revision it had before a pause.
Test(catalogue_fleet, paused_daemon_is_fenced_when_it_returns) {
  CatalogueFixture fixture(8);
  fixture.fleet.Pause(5);
  fixture.fleet.RunFor(seconds(20));
  fixture.recorder.Apply(0, ExampleEntry("assistant", 70));
  fixture.fleet.RunFor(seconds(40));
  cr_assert_not(fixture.Accepts(5));
  fixture.fleet.Resume(5);
  fixture.fleet.RunFor(seconds(10));
  cr_assert(fixture.Accepts(5));
  cr_assert_eq(fixture.RevisionOf(5), fixture.RevisionOf(0));
  fixture.ExpectNoFailures();
}

// Guards against a change that is reported as failed although it was written, or that is written
// twice, because the answer to the write was lost.
Test(catalogue_fleet, lost_answer_of_the_write_is_read_back) {
  CatalogueFixture fixture(8);
  fixture.fleet.write_fault = [](int) { return StoreFault::kAnswerLost; };
  const std::uint64_t id = fixture.recorder.Apply(4, ExampleEntry("assistant", 80));
  fixture.fleet.RunFor(seconds(20));
  cr_assert_eq(fixture.recorder.StatusOf(id), ApplyStatus::kAccepted);
  fixture.ExpectNoFailures();
}
