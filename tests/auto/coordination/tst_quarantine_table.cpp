#include <criterion/criterion.h>

#include <vector>

#include "coordination/quarantine_table.h"

using namespace fulmarpoint;

namespace {

using Change = QuarantineTable::Change;

constexpr Fingerprint kPoison = 77;

TimePoint At(int seconds) {
  return TimePoint(std::chrono::hours(1)) + std::chrono::seconds(seconds);
}

QuarantineRecord Record(Fingerprint fingerprint, int seconds, std::uint32_t count = 1) {
  return QuarantineRecord::Of(fingerprint, count, std::chrono::seconds(seconds), Duration::zero());
}

/// Does what two daemons do when `to` queries `from`, until nothing changes. Returns the records
/// that `to` was sent in the first reply.
std::size_t Synchronize(QuarantineTable& from, QuarantineTable& to, TimePoint now) {
  if (from.Digest() == to.Digest()) return 0;
  const std::vector<QuarantineRecord> records = from.Records(now);
  for (const QuarantineRecord& record : records) {
    if (record.IsCleared()) {
      to.End(record.fingerprint, record.Age(), now);
    } else if (to.Put(record, now) == Change::kHasEnded) {
      from.End(record.fingerprint, Duration::zero(), now);
    }
  }
  return records.size();
}

}  // namespace

// Guards against a daemon that was started after a quarantine began and passes the request on.
Test(quarantine_table, a_new_daemon_receives_the_quarantines_in_force) {
  QuarantineTable old;
  QuarantineTable started;
  cr_assert_eq(Synchronize(old, started, At(0)), 0u, "nothing is sent while both are empty");
  for (Fingerprint fingerprint = 1; fingerprint <= 5; ++fingerprint) {
    old.Put(Record(fingerprint, 30), At(0));
  }
  cr_assert_eq(Synchronize(old, started, At(20)), 5u);
  cr_assert(started.IsInForce(5, At(29)));
  cr_assert_not(started.IsInForce(5, At(30)), "it ends with the others'");
  cr_assert_eq(Synchronize(old, started, At(21)), 0u, "nothing is sent twice");
}

// Guards against a poison request that crashes three more endpoints each time its quarantine has
// expired, because the daemons that remember it were restarted.
Test(quarantine_table, expired_quarantines_are_passed_on_for_their_lifetime) {
  QuarantineTable old;
  old.Put(Record(kPoison, 30, 2), At(0));
  QuarantineTable started;
  cr_assert_eq(Synchronize(old, started, At(60)), 1u);
  cr_assert_not(started.IsInForce(kPoison, At(60)));
  cr_assert_eq(started.Records(At(60)).front().count, 2u);
  old.Forget(At(30 + 599));
  cr_assert_eq(old.Size(), 1u);
  old.Forget(At(30 + 600));
  cr_assert_eq(old.Size(), 0u);
}

// Guards against a quarantine that was ended because a request completed, and comes back from a
// daemon that has missed the end.
Test(quarantine_table, an_ended_quarantine_does_not_come_back) {
  QuarantineTable a;
  QuarantineTable b;
  a.Put(Record(kPoison, 300), At(0));
  b.Put(Record(kPoison, 300), At(0));
  cr_assert(a.End(kPoison, Duration::zero(), At(10)));
  cr_assert_not(a.End(kPoison, Duration::zero(), At(10)));
  QuarantineTable c = b;
  Synchronize(b, a, At(11));
  cr_assert_not(a.IsInForce(kPoison, At(11)));
  cr_assert_not(b.IsInForce(kPoison, At(11)), "its sender has learnt of the end");
  Synchronize(a, c, At(12));
  cr_assert_not(c.IsInForce(kPoison, At(12)), "one that asks learns of the end too");
  cr_assert_eq(a.Digest(), c.Digest());
}

// Guards against a late message about the end of a quarantine that ends the next one.
Test(quarantine_table, an_end_does_not_concern_a_later_quarantine) {
  QuarantineTable table;
  table.Put(Record(kPoison, 300), At(0));
  table.End(kPoison, Duration::zero(), At(10));
  cr_assert_eq(table.Put(Record(kPoison, 300), At(20)), Change::kChanged);
  cr_assert_not(table.End(kPoison, std::chrono::seconds(15), At(25)));
  cr_assert(table.IsInForce(kPoison, At(25)));
}

// Guards against a longer or wider quarantine that an earlier one replaces.
Test(quarantine_table, the_latest_and_widest_quarantine_counts) {
  QuarantineTable table;
  QuarantineRecord joint = Record(kPoison, 30);
  joint.companions = {1, 2};
  table.Put(joint, At(0));
  cr_assert(table.Covers(kPoison, {kPoison, 1, 2}, At(1)));
  cr_assert_not(table.Covers(kPoison, {kPoison, 1, 3}, At(1)));
  joint.companions = {1};
  cr_assert_eq(table.Put(joint, At(2)), Change::kChanged);
  cr_assert(table.Covers(kPoison, {kPoison, 1, 3}, At(3)));
  cr_assert_eq(table.Put(Record(kPoison, 300, 2), At(4)), Change::kChanged);
  cr_assert_eq(table.Put(joint, At(5)), Change::kKnown);
  cr_assert(table.Covers(kPoison, {kPoison}, At(200)));
}

// Guards against a second publication, or one after an expiry, that is counted wrongly.
Test(quarantine_table, a_publication_counts_once) {
  QuarantineTable table;
  const QuarantineUpdate update = QuarantineUpdate::WithDuration(kPoison, std::chrono::seconds(30));
  cr_assert_eq(table.Put(table.RecordOf(update, At(0)), At(0)), Change::kChanged);
  const QuarantineUpdate again = QuarantineUpdate::WithDuration(kPoison, std::chrono::seconds(29));
  cr_assert_eq(table.Put(table.RecordOf(again, At(1)), At(1)), Change::kKnown);
  cr_assert_eq(table.Put(table.RecordOf(update, At(40)), At(40)), Change::kChanged);
  cr_assert_eq(table.Records(At(40)).front().count, 2u);
}

// Guards against quarantines that are not kept because expired ones fill the table.
Test(quarantine_table, expired_quarantines_make_room) {
  QuarantineTable::Options options;
  options.max_entries = 2;
  QuarantineTable table(options);
  table.Put(Record(1, 30), At(0));
  table.Put(Record(2, 60), At(0));
  cr_assert_eq(table.Put(Record(3, 60), At(10)), Change::kKnown, "both are in force");
  cr_assert_eq(table.Put(Record(3, 60), At(40)), Change::kChanged);
  cr_assert(table.IsInForce(2, At(41)) && table.IsInForce(3, At(41)));
  cr_assert_eq(table.Size(), 2u);
}
