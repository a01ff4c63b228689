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
  return {StoreStatus::kOk, std::move(rows), StorePosition{0, version}, has_more};
}

StoreReply ReplyOfEpoch(std::uint64_t epoch, std::vector<StoreRow> rows, std::uint64_t version) {
  return {StoreStatus::kOk, std::move(rows), StorePosition{epoch, version}};
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

// Guards against changes that are missed between the pages of a read and the first watch.
Test(table_watcher, watches_from_the_first_page_on) {
  TableWatcher watcher(Options(), kSeed);
  cr_assert(NextRead(watcher).from.empty());
  cr_assert_eq(watcher.OnReply(Reply({Row("a", 3)}, 10, true), kStart).size(), 0u);
  cr_assert_not(watcher.IsComplete());
  cr_assert(NextRead(watcher).from == "a");
  cr_assert_eq(watcher.OnReply(Reply({Row("a", 3), Row("b", 12)}, 12), kStart).size(), 2u);
  cr_assert(watcher.IsComplete());
  cr_assert_eq(NextWatch(watcher).after.version, 10u);
}

// Guards against a replica that goes back to an older row, and against duplicate changes.
Test(table_watcher, rows_never_go_back_to_an_older_version) {
  TableWatcher watcher(Options(), kSeed);
  watcher.OnReply(Reply({Row("a", 8)}, 8), kStart);
  cr_assert_eq(watcher.OnReply(Reply({Row("a", 5)}, 9), kStart).size(), 0u);
  cr_assert_eq(watcher.OnReply(Reply({Row("a", 8)}, 9), kStart).size(), 0u);
  cr_assert_eq(watcher.OnReply(Reply({Row("a", 4, true)}, 9), kStart).size(), 0u);
  cr_assert_eq(watcher.OnReply(Reply({Row("a", 11)}, 11), kStart).size(), 1u);
}

// Guards against rows that stay although they were removed in the part of the history that is no
// longer available.
Test(table_watcher, reads_again_when_the_history_is_gone) {
  TableWatcher watcher(Options(), kSeed);
  watcher.OnReply(Reply({Row("a", 1), Row("b", 2)}, 2), kStart);
  watcher.OnReply(Failure(StoreStatus::kHistoryGone), kStart);
  cr_assert_not(watcher.IsUpToDate());
  cr_assert(NextRead(watcher).from.empty());
  const std::vector<TableWatcher::Change> changes =
      watcher.OnReply(Reply({Row("b", 9)}, 9), kStart);
  cr_assert_eq(changes.size(), 2u);
  cr_assert(changes[0].row.removed && changes[0].row.key == "a");
  cr_assert_not(changes[0].provisional, "there was no outage of the store");
  cr_assert_eq(changes[1].row.version, 9u);
}

// Guards against the loss of all endpoints at once when their rows expire during an outage.
Test(table_watcher, rows_that_vanish_in_an_outage_are_removed_later) {
  TableWatcher watcher(Options(), kSeed);
  watcher.OnReply(Reply({Row("a", 1)}, 1), kStart);
  watcher.OnReply(Failure(StoreStatus::kRefused), kStart);
  cr_assert_eq(watcher.Failures(), 1);
  const TimePoint returned = kStart + std::chrono::seconds(5);
  std::vector<TableWatcher::Change> changes =
      watcher.OnReply(Reply({Row("a", 4, true)}, 4), returned);
  cr_assert_eq(changes.size(), 1u);
  cr_assert(changes[0].provisional);
  cr_assert(changes[0].until == returned + Options().row_rewrite_time);
  watcher.OnReply(Reply({Row("b", 5)}, 5), returned);
  changes = watcher.OnReply(Reply({Row("b", 6, true)}, 6), returned + Options().row_rewrite_time);
  cr_assert_not(changes[0].provisional, "what vanishes later has gone");
}

// Guards against retries that increase the load on a failing store, and against a late freshness
// confirmation because the first watch after an outage waits for a change.
Test(table_watcher, backs_off_then_requests_an_immediate_reply) {
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

// Guards against a peer's older replica that reverts newer rows or brings back removed ones.
Test(table_watcher, an_older_source_changes_nothing) {
  TableWatcher watcher(Options(), kSeed);
  watcher.OnReply(Reply({Row("a", 1), Row("c", 2), Row("b", 9)}, 9), kStart);
  watcher.OnReply(Reply({Row("c", 10, true)}, 10), kStart);
  watcher.OnReply(Failure(StoreStatus::kHistoryGone), kStart);
  watcher.OnSourceChanged();
  cr_assert_eq(watcher.OnReply(Reply({Row("a", 1), Row("c", 2)}, 5), kStart).size(), 0u);
  cr_assert_not(watcher.IsUpToDate());
  cr_assert(NextRead(watcher).from.empty(), "all rows are read again");
  cr_assert_eq(watcher.Position().version, 10u);
  const std::vector<TableWatcher::Change> changes =
      watcher.OnReply(Reply({Row("a", 1)}, 12), kStart);
  cr_assert_eq(changes.size(), 1u, "a newer source has the removal");
  cr_assert(changes[0].row.key == "b");
  cr_assert(watcher.IsUpToDate());
}

// Guards against reading whole tables again at each change of the source.
Test(table_watcher, a_new_source_is_asked_only_for_missed_changes) {
  TableWatcher watcher(Options(), kSeed);
  watcher.OnReply(Reply({Row("a", 1)}, 7), kStart);
  watcher.OnSourceChanged();
  cr_assert_eq(NextWatch(watcher).after.version, 7u);
  cr_assert_eq(NextWatch(watcher).wait.count(), 0, "the age of its copy is needed at once");
  watcher.OnReply(Reply({}, 5), kStart);
  cr_assert_gt(NextWatch(watcher).wait.count(), 0);
  cr_assert_eq(NextWatch(watcher).after.version, 7u, "the source is behind");
}

// Guards against a replica that combines pages of different ages.
Test(table_watcher, an_interrupted_read_starts_again) {
  TableWatcher watcher(Options(), kSeed);
  watcher.OnReply(Reply({Row("a", 3)}, 10, true), kStart);
  watcher.OnReply(Failure(StoreStatus::kUnknown), kStart);
  cr_assert(NextRead(watcher).from.empty());
  const std::vector<TableWatcher::Change> changes =
      watcher.OnReply(Reply({Row("b", 12)}, 12), kStart);
  cr_assert_eq(changes.size(), 1u);
  cr_assert_eq(NextWatch(watcher).after.version, 12u);
}

// Guards against a call to the store for each row when many endpoints change in quick succession.
// The number of calls of all direct readers is limited, and each call costs money.
Test(table_watcher, changes_in_quick_succession_share_a_call) {
  TableWatcher::Options options = Options();
  options.batch_delay = std::chrono::milliseconds(150);
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
  // Two empty replies precede the first change, and the last call returns fewer changes than the
  // others.
  cr_assert_leq(calls, kChanges * kInterval / options.batch_delay + 3);
  watcher.OnReply(Reply({}, seen), now);
  cr_assert_eq(watcher.Next().delay.count(), 0, "the next watch waits at the store");
}

// Guards against a replica that waits until the versions of a restored store have caught up with
// those from before, and against endpoints that vanish because the copy lacks their rows.
Test(table_watcher, a_restored_store_is_read_again_whatever_its_version) {
  TableWatcher watcher(Options(), kSeed);
  watcher.OnReply(ReplyOfEpoch(1, {Row("a", 3), Row("b", 9)}, 9), kStart);
  cr_assert(watcher.IsComplete());
  StoreReply gone = Failure(StoreStatus::kHistoryGone);
  gone.position.epoch = 2;
  watcher.OnReply(gone, kStart);
  cr_assert_not(watcher.IsUpToDate());
  cr_assert(NextRead(watcher).from.empty());
  const std::vector<TableWatcher::Change> changes =
      watcher.OnReply(ReplyOfEpoch(2, {Row("a", 2)}, 4), kStart);
  cr_assert(watcher.IsUpToDate());
  cr_assert_eq(changes.size(), 2u);
  cr_assert(changes[0].row.key == "b" && changes[0].row.removed);
  cr_assert(changes[0].provisional, "its writer may write it again");
  cr_assert(changes[1].row.key == "a" && changes[1].row.version == 2 && changes[1].restored);
  cr_assert(NextWatch(watcher).after == StorePosition(2, 4));
  const std::vector<TableWatcher::Change> written =
      watcher.OnReply(ReplyOfEpoch(2, {Row("b", 5)}, 5), kStart);
  cr_assert_eq(written.size(), 1u);
  cr_assert_not(written[0].restored, "it was written in this epoch");
}

// Guards against changes of a restored store that are taken for the continuation of those before,
// because the version to continue from exists again.
Test(table_watcher, a_version_that_exists_again_is_not_continued_from) {
  TableWatcher watcher(Options(), kSeed);
  watcher.OnReply(ReplyOfEpoch(1, {Row("a", 3), Row("b", 9)}, 9), kStart);
  cr_assert_eq(watcher.OnReply(ReplyOfEpoch(2, {Row("c", 10)}, 10), kStart).size(), 0u);
  cr_assert_not(watcher.IsUpToDate());
  cr_assert(NextRead(watcher).from.empty());
  const std::vector<TableWatcher::Change> changes =
      watcher.OnReply(ReplyOfEpoch(2, {Row("a", 9), Row("c", 10)}, 10), kStart);
  cr_assert_eq(changes.size(), 3u, "a has changed, b is gone, c is new");
}

// Guards against a replica that combines rows from before and after a restore, and against a late
// reply that takes it back.
Test(table_watcher, replies_of_different_epochs_are_not_combined) {
  TableWatcher watcher(Options(), kSeed);
  StoreReply first_page = ReplyOfEpoch(1, {Row("a", 3)}, 9);
  first_page.has_more = true;
  watcher.OnReply(first_page, kStart);
  cr_assert_eq(watcher.OnReply(ReplyOfEpoch(2, {Row("b", 4)}, 4), kStart).size(), 0u);
  cr_assert(NextRead(watcher).from.empty());
  cr_assert_eq(watcher.OnReply(ReplyOfEpoch(2, {Row("b", 4)}, 4), kStart).size(), 1u);
  cr_assert_eq(watcher.OnReply(ReplyOfEpoch(1, {Row("c", 10)}, 10), kStart).size(), 0u);
  cr_assert(NextWatch(watcher).after == StorePosition(2, 4));
}

// Guards against watches that wait for longer than changed settings allow.
Test(table_watcher, changed_options_apply_to_the_next_watch) {
  TableWatcher watcher(Options(), kSeed);
  NextRead(watcher);
  watcher.OnReply(Reply({Row("a", 1)}, 1), kStart);
  TableWatcher::Options changed = Options();
  changed.watch_wait = std::chrono::milliseconds(321);
  cr_assert_neq(NextWatch(watcher).wait.count(), changed.watch_wait.count());
  watcher.SetOptions(changed);
  cr_assert_eq(NextWatch(watcher).wait.count(), changed.watch_wait.count());
}
