#include <criterion/criterion.h>

#include "coordination/table_watcher.h"

using namespace fulmarpoint;

namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr TimePoint kStart{std::chrono::seconds(100)};

TableWatcher::Options Options() {
  TableWatcher::Options options;
  options.table = "t";
  return options;
}

StoreRow Row(const std::string& key, std::uint64_t version, bool removed = false) {
  StoreRow row;
  row.table = "t";
  row.key = key;
  row.version = version;
  row.removed = removed;
  return row;
}

StoreReply Reply(std::vector<StoreRow> rows, std::uint64_t version, bool has_more = false) {
  return {StoreStatus::kOk, std::move(rows), version, has_more};
}

StoreReply Failure(StoreStatus status) {
  StoreReply reply;
  reply.status = status;
  return reply;
}

const StoreWatch& NextWatch(TableWatcher& watcher) {
  static TableWatcher::NextCall next;
  next = watcher.Next();
  const StoreWatch* watch = std::get_if<StoreWatch>(&next.call);
  cr_assert_not_null(watch);
  return *watch;
}

const StoreRead& NextRead(TableWatcher& watcher) {
  static TableWatcher::NextCall next;
  next = watcher.Next();
  const StoreRead* read = std::get_if<StoreRead>(&next.call);
  cr_assert_not_null(read);
  return *read;
}

}  // namespace

// Guards against changes that are lost between the pages of a read and the first watch.
Test(table_follower, watches_from_the_first_page_on) {
  TableWatcher watcher(Options(), kSeed);
  cr_assert(NextRead(watcher).from.empty());
  cr_assert_eq(watcher.OnReply(Reply({Row("a", 3)}, 10, true), kStart).size(), 0u);
  cr_assert_not(watcher.IsComplete());
  cr_assert(NextRead(watcher).from == "a");
  cr_assert_eq(watcher.OnReply(Reply({Row("a", 3), Row("b", 12)}, 12), kStart).size(), 2u);
  cr_assert(watcher.IsComplete());
  cr_assert_eq(NextWatch(watcher).after, 10u);
}

// Guards against a copy that goes back to an older row, and against news told twice.
Test(table_follower, never_goes_back) {
  TableWatcher watcher(Options(), kSeed);
  watcher.OnReply(Reply({Row("a", 8)}, 8), kStart);
  cr_assert_eq(watcher.OnReply(Reply({Row("a", 5)}, 9), kStart).size(), 0u);
  cr_assert_eq(watcher.OnReply(Reply({Row("a", 8)}, 9), kStart).size(), 0u);
  cr_assert_eq(watcher.OnReply(Reply({Row("a", 4, true)}, 9), kStart).size(), 0u);
  cr_assert_eq(watcher.OnReply(Reply({Row("a", 11)}, 11), kStart).size(), 1u);
}

// Guards against rows that stay although they were removed while the history was dropped.
Test(table_follower, reads_again_when_the_history_is_gone) {
  TableWatcher watcher(Options(), kSeed);
  watcher.OnReply(Reply({Row("a", 1), Row("b", 2)}, 2), kStart);
  watcher.OnReply(Failure(StoreStatus::kHistoryGone), kStart);
  cr_assert_not(watcher.IsUpToDate());
  cr_assert(NextRead(watcher).from.empty());
  const std::vector<TableWatcher::Change> changes =
      watcher.OnReply(Reply({Row("b", 9)}, 9), kStart);
  cr_assert_eq(changes.size(), 2u);
  cr_assert(changes[0].row.removed && changes[0].row.key == "a");
  cr_assert_not(changes[0].provisional, "the store was not away");
  cr_assert_eq(changes[1].row.version, 9u);
}

// Guards against the loss of all endpoints at once when their rows lapse during an outage.
Test(table_follower, rows_that_vanish_in_an_outage_are_removed_later) {
  TableWatcher watcher(Options(), kSeed);
  watcher.OnReply(Reply({Row("a", 1)}, 1), kStart);
  watcher.OnReply(Failure(StoreStatus::kRefused), kStart);
  cr_assert_eq(watcher.Failures(), 1);
  const TimePoint returned = kStart + std::chrono::seconds(5);
  std::vector<TableWatcher::Change> changes =
      watcher.OnReply(Reply({Row("a", 4, true)}, 4), returned);
  cr_assert_eq(changes.size(), 1u);
  cr_assert(changes[0].provisional);
  cr_assert(changes[0].until == returned + Options().lapse_time);
  watcher.OnReply(Reply({Row("b", 5)}, 5), returned);
  changes = watcher.OnReply(Reply({Row("b", 6, true)}, 6), returned + Options().lapse_time);
  cr_assert_not(changes[0].provisional, "what vanishes later has gone");
}

// Guards against a store that is hit harder the worse it does, and against a proof that comes late
// because the first watch after an outage waits for a change.
Test(table_follower, backs_off_and_asks_for_an_answer_at_once) {
  TableWatcher watcher(Options(), kSeed);
  watcher.OnReply(Reply({}, 1), kStart);
  cr_assert_eq(watcher.Next().delay.count(), 0);
  Duration longest{};
  for (int failure = 0; failure < 20; ++failure) {
    watcher.OnReply(Failure(StoreStatus::kUnknown), kStart);
    longest = std::max(longest, watcher.Next().delay);
    cr_assert_gt(watcher.Next().delay.count(), 0);
    cr_assert_eq(NextWatch(watcher).wait.count(), 0);
  }
  cr_assert_leq(longest.count(), Options().longest_backoff.count(), "seed %lu", kSeed);
  watcher.OnReply(Reply({}, 1), kStart);
  cr_assert_eq(NextWatch(watcher).wait.count(), Options().watch_wait.count());
}

// Guards against a peer's older copy that takes back what is known, or brings back what was
// removed.
Test(table_follower, an_older_source_changes_nothing) {
  TableWatcher watcher(Options(), kSeed);
  watcher.OnReply(Reply({Row("a", 1), Row("c", 2), Row("b", 9)}, 9), kStart);
  watcher.OnReply(Reply({Row("c", 10, true)}, 10), kStart);
  watcher.OnReply(Failure(StoreStatus::kHistoryGone), kStart);
  watcher.OnSourceChanged();
  cr_assert_eq(watcher.OnReply(Reply({Row("a", 1), Row("c", 2)}, 5), kStart).size(), 0u);
  cr_assert_not(watcher.IsUpToDate());
  cr_assert(NextRead(watcher).from.empty(), "all rows are asked for again");
  cr_assert_eq(watcher.Version(), 10u);
  const std::vector<TableWatcher::Change> changes =
      watcher.OnReply(Reply({Row("a", 1)}, 12), kStart);
  cr_assert_eq(changes.size(), 1u, "a newer source knows of the removal");
  cr_assert(changes[0].row.key == "b");
  cr_assert(watcher.IsUpToDate());
}

// Guards against whole tables that are read again at each change of the source.
Test(table_follower, a_new_source_is_asked_for_what_was_missed) {
  TableWatcher watcher(Options(), kSeed);
  watcher.OnReply(Reply({Row("a", 1)}, 7), kStart);
  watcher.OnSourceChanged();
  cr_assert_eq(NextWatch(watcher).after, 7u);
  cr_assert_eq(NextWatch(watcher).wait.count(), 0, "the age of its copy is needed at once");
  watcher.OnReply(Reply({}, 5), kStart);
  cr_assert_gt(NextWatch(watcher).wait.count(), 0);
  cr_assert_eq(NextWatch(watcher).after, 7u, "the source is behind");
}

// Guards against pages of different ages in one copy.
Test(table_follower, an_interrupted_read_starts_anew) {
  TableWatcher watcher(Options(), kSeed);
  watcher.OnReply(Reply({Row("a", 3)}, 10, true), kStart);
  watcher.OnReply(Failure(StoreStatus::kUnknown), kStart);
  cr_assert(NextRead(watcher).from.empty());
  const std::vector<TableWatcher::Change> changes =
      watcher.OnReply(Reply({Row("b", 12)}, 12), kStart);
  cr_assert_eq(changes.size(), 1u);
  cr_assert_eq(NextWatch(watcher).after, 12u);
}

// Guards against a call to the store for each row when many endpoints change one after the other:
// all readers together may make only so many, and each is paid for.
Test(table_follower, changes_that_follow_each_other_share_a_call) {
  TableWatcher::Options options = Options();
  options.gather_time = std::chrono::milliseconds(150);
  TableWatcher watcher(options, kSeed);
  watcher.OnReply(Reply({Row("a", 1)}, 1), kStart);
  constexpr Duration kInterval = std::chrono::milliseconds(10);
  constexpr int kChanges = 200;
  TimePoint now = kStart;
  std::uint64_t seen = 1;
  int calls = 0;
  while (seen < kChanges) {
    now += std::max(watcher.Next().delay, kInterval);
    const std::uint64_t changed = static_cast<std::uint64_t>((now - kStart) / kInterval);
    std::vector<StoreRow> rows;
    while (seen < changed && seen < kChanges) rows.push_back(Row("a", ++seen));
    cr_assert_eq(watcher.OnReply(Reply(rows, seen), now).size(), rows.size());
    ++calls;
  }
  // Two empty answers come before the first change, and the last call gathers less than the others.
  cr_assert_leq(calls, kChanges * kInterval / options.gather_time + 3);
  watcher.OnReply(Reply({}, seen), now);
  cr_assert_eq(watcher.Next().delay.count(), 0, "the next watch waits at the store");
}
