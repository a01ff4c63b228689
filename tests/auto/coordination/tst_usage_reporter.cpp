#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/usage_ledger.h"
#include "coordination/usage_reporter.h"
#include "utils/random.h"

using namespace fulmarpoint;

namespace {

constexpr UnixMillis kWindowMs = 5000;
constexpr UnixMillis kTickMs = 250;
constexpr UsageWindow kWindow = 1000;
/// End of `kWindow`.
constexpr UnixMillis kEnd = (kWindow + 1) * kWindowMs;
const OrganisationId kOrganisation = "huka270";

UsageReport ReportOf(UsageWindow window, std::uint64_t requests) {
  return {window, {{kOrganisation, requests}}};
}

DutyPollReply ReplyOf(const std::string& daemon, UsageWindow window, std::uint64_t requests) {
  DutyPollReply reply;
  reply.daemon = daemon;
  reply.incarnation = 1;
  reply.sums.push_back({daemon, 1, window, {{kOrganisation, requests}}});
  return reply;
}

/// The statement of a daemon that decided `report` while it was the holder.
DutyPollReply StatementOf(const std::string& daemon, const UsageReport& report) {
  DutyPollReply reply;
  reply.daemon = daemon;
  reply.decided.push_back(report);
  return reply;
}

/// The store's rows, which outlive a holder.
using Rows = std::map<UsageWindow, UsageReport>;

/// A daemon with a reporter, whose actions are performed at once.
struct Holder {
  explicit Holder(Rows& store) : rows(store) {}

  void Handle(const UsageReporter::Event& event, UnixMillis now) {
    std::vector<UsageReporter::Action> actions;
    reporter.Handle(event, now, actions);
    for (const UsageReporter::Action& action : actions) Perform(action, now);
  }

  void Acquire(UnixMillis now, UnixMillis undecided_from = 0) {
    UsageReporter::Acquired acquired;
    acquired.undecided_from = undecided_from;
    for (const auto& [window, report] : rows) acquired.stored.push_back(report);
    Handle(acquired, now);
  }

  void Perform(const UsageReporter::Action& action, UnixMillis now) {
    if (const auto* store = std::get_if<UsageReporter::StoreReport>(&action)) {
      Store(*store, now);
    } else if (const auto* send = std::get_if<UsageReporter::SendReport>(&action)) {
      sent[send->report.window].push_back(send->report);
      Handle(UsageReporter::Sent{send->report.window, is_api_up}, now);
    } else if (const auto* late = std::get_if<UsageReporter::LateCounts>(&action)) {
      late_counts += late->requests;
    } else if (const auto* given_up = std::get_if<UsageReporter::GaveUp>(&action)) {
      gave_up.insert(given_up->window);
    }
  }

  /// Writes the row unless there is one.
  void Store(const UsageReporter::StoreReport& store, UnixMillis now) {
    if (!is_store_up) {
      Handle(UsageReporter::StoreFailed{store.report.window}, now);
      return;
    }
    decided_at.try_emplace(store.report.window, now);
    const UsageReport row = rows.try_emplace(store.report.window, store.report).first->second;
    rows.erase(store.expired);
    Handle(UsageReporter::Stored{row}, now);
  }

  /// Lets the timer fire from `from` to `to`.
  void TickFrom(UnixMillis from, UnixMillis to) {
    for (UnixMillis now = from; now <= to; now += kTickMs) {
      Handle(UsageReporter::Tick{daemons}, now);
    }
  }

  std::size_t CallsFor(UsageWindow window) const {
    const auto found = sent.find(window);
    return found == sent.end() ? 0 : found->second.size();
  }

  Rows& rows;
  UsageReporter reporter{UsageReporter::Options()};
  std::set<std::string> daemons = {"a", "b"};
  bool is_api_up = true;
  bool is_store_up = true;
  std::map<UsageWindow, std::vector<UsageReport>> sent;
  std::map<UsageWindow, UnixMillis> decided_at;
  std::set<UsageWindow> gave_up;
  std::uint64_t late_counts = 0;
};

/// Asserts that all calls for `window` had these counts, and that there was one.
void AssertSent(const Holder& holder, UsageWindow window, std::uint64_t requests) {
  cr_assert_gt(holder.CallsFor(window), 0u);
  for (const UsageReport& report : holder.sent.at(window)) {
    cr_assert(report == ReportOf(window, requests), "other counts were sent");
  }
}

/// A holder that has held the lease since well before `kWindow` and knows the counts of both
/// daemons, 3 and 4.
void CollectAll(Holder& holder) {
  holder.Handle(UsageReporter::Collected{ReplyOf("a", kWindow, 3), kEnd + 1000}, kEnd + 1100);
  holder.Handle(UsageReporter::Collected{ReplyOf("b", kWindow, 4), kEnd + 1000}, kEnd + 1100);
}

constexpr UnixMillis kBefore = kWindow * kWindowMs;

}  // namespace

// Guards against reports that wait for the deadline although all counts are known.
Test(usage_reporter, reports_once_all_daemons_have_replied) {
  Rows rows;
  Holder holder(rows);
  holder.Acquire(kBefore, kBefore);
  CollectAll(holder);
  holder.TickFrom(kEnd + 1250, kEnd + 1500);
  AssertSent(holder, kWindow, 7);
  holder.TickFrom(kEnd + 1750, kEnd + 4500);
  cr_assert_eq(holder.CallsFor(kWindow), 1u, "an accepted report is not repeated");
}

// Guards against a daemon that does not answer and holds up the report until it is overdue.
Test(usage_reporter, decides_after_five_seconds_without_the_silent) {
  Rows rows;
  Holder holder(rows);
  holder.Acquire(kBefore, kBefore);
  holder.Handle(UsageReporter::Collected{ReplyOf("a", kWindow, 3), kEnd + 1000}, kEnd + 1100);
  holder.TickFrom(kEnd, kEnd + 4750);
  cr_assert_eq(holder.CallsFor(kWindow), 0u);
  holder.TickFrom(kEnd + 5000, kEnd + 5250);
  AssertSent(holder, kWindow, 3);
}

// Guards against a reply from before the end of the window that is taken as complete.
Test(usage_reporter, a_reply_to_an_early_poll_is_not_complete) {
  Rows rows;
  Holder holder(rows);
  holder.Acquire(kBefore, kBefore);
  holder.Handle(UsageReporter::Collected{ReplyOf("a", kWindow, 3), kEnd + 1000}, kEnd + 1100);
  holder.Handle(UsageReporter::Collected{ReplyOf("b", kWindow, 1), kEnd + 900}, kEnd + 1100);
  holder.TickFrom(kEnd + 1250, kEnd + 1500);
  cr_assert_eq(holder.CallsFor(kWindow), 0u);
  holder.Handle(UsageReporter::Collected{ReplyOf("b", kWindow, 4), kEnd + 1300}, kEnd + 1600);
  holder.TickFrom(kEnd + 1750, kEnd + 2000);
  AssertSent(holder, kWindow, 7);
}

// Guards against counts of a lost daemon that are added once for each neighbour that keeps them,
// and against the lower of two copies.
Test(usage_reporter, copies_of_a_lost_daemon_count_once) {
  Rows rows;
  Holder holder(rows);
  holder.Acquire(kBefore, kBefore);
  DutyPollReply first = ReplyOf("a", kWindow, 3);
  first.sums.push_back({"lost", 1, kWindow, {{kOrganisation, 10}}});
  DutyPollReply second = ReplyOf("b", kWindow, 4);
  second.sums.push_back({"lost", 1, kWindow, {{kOrganisation, 8}}});
  for (int i = 0; i < 2; ++i) {
    holder.Handle(UsageReporter::Collected{first, kEnd + 1000}, kEnd + 1100);
    holder.Handle(UsageReporter::Collected{second, kEnd + 1000}, kEnd + 1100);
  }
  holder.TickFrom(kEnd + 1250, kEnd + 1500);
  AssertSent(holder, kWindow, 17);
}

// Guards against two reports with different counts for one window: the reply to the first was lost,
// and so was the holder.
Test(usage_reporter, a_successor_repeats_the_stored_counts) {
  Rows rows;
  Holder lost(rows);
  lost.is_api_up = false;
  lost.Acquire(kBefore, kBefore);
  CollectAll(lost);
  lost.TickFrom(kEnd + 1250, kEnd + 1500);
  AssertSent(lost, kWindow, 7);
  Holder successor(rows);
  successor.Acquire(kEnd + 6000, kBefore);
  successor.Handle(UsageReporter::Collected{ReplyOf("b", kWindow, 9), kEnd + 6100}, kEnd + 6200);
  successor.TickFrom(kEnd + 6250, kEnd + 12'000);
  AssertSent(successor, kWindow, 7);
}

// Guards against different counts for one window when a write without a reply was executed: the
// row appears after the successor has read the rows.
Test(usage_reporter, a_row_that_exists_takes_precedence) {
  Rows rows;
  Holder holder(rows);
  holder.Acquire(kBefore, kBefore);
  rows[kWindow] = ReportOf(kWindow, 6);
  CollectAll(holder);
  holder.TickFrom(kEnd + 1250, kEnd + 1500);
  AssertSent(holder, kWindow, 6);
}

// Guards against a report without counts: when the holder was lost, the windows that it left are
// due, but nobody has replied to its successor yet.
Test(usage_reporter, a_successor_asks_before_it_decides) {
  Rows rows;
  Holder successor(rows);
  const UnixMillis acquired = kEnd + 6000;
  successor.Acquire(acquired, kBefore);
  successor.TickFrom(acquired, acquired + 500);
  cr_assert_eq(successor.CallsFor(kWindow), 0u, "nobody has been asked");
  for (const std::string daemon : {"a", "b"}) {
    successor.Handle(UsageReporter::Collected{ReplyOf(daemon, kWindow, 5), acquired + 600},
                     acquired + 650);
  }
  successor.TickFrom(acquired + 750, acquired + 1000);
  AssertSent(successor, kWindow, 10);
}

// Guards against a successor that waits for ever for a daemon that does not answer.
Test(usage_reporter, a_successor_does_not_wait_for_the_silent) {
  Rows rows;
  Holder successor(rows);
  const UnixMillis acquired = kEnd + 6000;
  successor.Acquire(acquired, kBefore);
  successor.Handle(UsageReporter::Collected{ReplyOf("a", kWindow, 5), acquired + 600},
                   acquired + 650);
  successor.TickFrom(acquired, acquired + 3000);
  AssertSent(successor, kWindow, 5);
}

// Guards against a successor that takes the reply to a poll of its own from before the lease, which
// did not ask for the windows left by the predecessor, as a statement that there were no requests.
Test(usage_reporter, a_reply_to_a_poll_from_before_the_lease_is_not_complete) {
  Rows rows;
  Holder successor(rows);
  const UnixMillis acquired = kEnd + 2000;
  successor.Acquire(acquired, kBefore);
  for (const std::string daemon : {"a", "b"}) {
    DutyPollReply reply;
    reply.daemon = daemon;
    successor.Handle(UsageReporter::Collected{reply, acquired - 100}, acquired + 10);
  }
  successor.TickFrom(acquired + 250, acquired + 500);
  cr_assert_eq(successor.CallsFor(kWindow), 0u);
}

// Guards against polls that do not ask for the windows that the predecessor has left.
Test(usage_reporter, a_new_holder_asks_for_earlier_windows) {
  Rows rows;
  Holder successor(rows);
  cr_assert_leq(successor.reporter.FirstOpenWindow(kEnd + 6000), kWindow);
  successor.Acquire(kEnd + 6000, kBefore);
  cr_assert_leq(successor.reporter.FirstOpenWindow(kEnd + 6000), kWindow);
}

// Guards against windows that are never reported because the store was unavailable for longer than
// a few windows.
Test(usage_reporter, reports_follow_when_the_store_is_available_again) {
  Rows rows;
  Holder holder(rows);
  holder.is_store_up = false;
  holder.Acquire(kBefore, kBefore);
  CollectAll(holder);
  holder.TickFrom(kEnd + 1250, kEnd + 3000);
  holder.Handle(UsageReporter::Lost{}, kEnd + 3000);
  cr_assert_eq(holder.CallsFor(kWindow), 0u, "no report is sent before its row is stored");
  holder.is_store_up = true;
  const UnixMillis acquired = kEnd + 40'000;
  holder.Acquire(acquired, kBefore);
  for (const std::string daemon : {"a", "b"}) {
    holder.Handle(UsageReporter::Collected{ReplyOf(daemon, kWindow, 5), acquired + 600},
                  acquired + 650);
  }
  holder.TickFrom(acquired + 750, acquired + 1000);
  AssertSent(holder, kWindow, 10);
}

// Guards against a second report with other counts after the row of an accepted one was lost.
Test(usage_reporter, after_a_restore_the_former_holder_statement_is_repeated) {
  Rows restored;
  Holder successor(restored);
  const UnixMillis acquired = kEnd + 7000;
  successor.Acquire(acquired, kEnd + 2000);
  successor.Handle(UsageReporter::Tick{successor.daemons}, acquired + 250);
  successor.Handle(UsageReporter::Collected{ReplyOf("b", kWindow, 9), acquired + 300},
                   acquired + 350);
  successor.Handle(UsageReporter::Collected{StatementOf("a", ReportOf(kWindow, 7)), acquired + 300},
                   acquired + 350);
  successor.TickFrom(acquired + 500, acquired + 1000);
  AssertSent(successor, kWindow, 7);
  cr_assert(restored.contains(kWindow), "the row is written again before the report is sent");
}

// Guards against a report that is sent from memory alone after a restore, and is unknown to every
// daemon once this holder is lost.
Test(usage_reporter, after_a_restore_its_own_decision_is_stored_again) {
  Rows rows;
  Holder holder(rows);
  holder.is_api_up = false;
  holder.Acquire(kBefore, kBefore);
  CollectAll(holder);
  holder.TickFrom(kEnd + 1250, kEnd + 1500);
  holder.Handle(UsageReporter::Lost{}, kEnd + 2000);
  rows.clear();
  holder.Acquire(kEnd + 7000, kEnd + 2000);
  holder.TickFrom(kEnd + 7250, kEnd + 8000);
  AssertSent(holder, kWindow, 7);
  cr_assert(rows.contains(kWindow));
}

// Guards against a second report with other counts for a window whose report was accepted, when its
// row and its holder are lost.
Test(usage_reporter, after_a_restore_an_unknown_window_is_not_reported) {
  Rows restored;
  Holder successor(restored);
  const UnixMillis acquired = kEnd + 7000;
  successor.Acquire(acquired, kEnd + 2000);
  for (const std::string daemon : {"a", "b"}) {
    successor.Handle(UsageReporter::Collected{ReplyOf(daemon, kWindow, 5), acquired + 300},
                     acquired + 350);
  }
  successor.TickFrom(acquired + 500, acquired + 20'000);
  cr_assert_eq(successor.CallsFor(kWindow), 0u);
  cr_assert(successor.gave_up.contains(kWindow), "operators are told");
  cr_assert_eq(successor.CallsFor(kWindow + 1), 1u, "later windows are reported");
}

// Guards against a second report with other counts because requests became known late.
Test(usage_reporter, late_counts_are_stated_and_not_reported) {
  Rows rows;
  Holder holder(rows);
  holder.Acquire(kBefore, kBefore);
  CollectAll(holder);
  holder.TickFrom(kEnd + 1250, kEnd + 1500);
  for (int i = 0; i < 2; ++i) {
    holder.Handle(UsageReporter::Collected{ReplyOf("b", kWindow, 9), kEnd + 2000}, kEnd + 2100);
  }
  holder.TickFrom(kEnd + 2250, kEnd + 9000);
  AssertSent(holder, kWindow, 7);
  cr_assert_eq(holder.late_counts, 5u, "each late request is stated once");
}

// Guards against a report that is lost because the API was down for a while, and against one that
// is repeated for ever.
Test(usage_reporter, repeats_a_report_for_sixty_seconds) {
  Rows rows;
  Holder holder(rows);
  holder.is_api_up = false;
  holder.Acquire(kBefore, kBefore);
  CollectAll(holder);
  holder.TickFrom(kEnd + 1250, kEnd + 59'750);
  AssertSent(holder, kWindow, 7);
  cr_assert_geq(holder.CallsFor(kWindow), 25u);
  holder.TickFrom(kEnd + 60'250, kEnd + 62'250);
  cr_assert(holder.gave_up.contains(kWindow));
  const std::size_t calls = holder.CallsFor(kWindow);
  holder.TickFrom(kEnd + 62'500, kEnd + 80'000);
  cr_assert_eq(holder.CallsFor(kWindow), calls);
}

// Guards against calls for one subject that overlap, of which one without a reply may be executed
// last, and against a report that becomes overdue behind old ones.
Test(usage_reporter, one_report_is_sent_at_a_time_and_the_latest_first) {
  UsageReporter reporter{UsageReporter::Options()};
  const auto windows_sent = [&reporter](const UsageReporter::Event& event, UnixMillis now) {
    std::vector<UsageReporter::Action> actions;
    reporter.Handle(event, now, actions);
    std::vector<UsageWindow> windows;
    for (const UsageReporter::Action& action : actions) {
      const auto* send = std::get_if<UsageReporter::SendReport>(&action);
      if (send != nullptr) windows.push_back(send->report.window);
    }
    return windows;
  };
  UsageReporter::Acquired acquired;
  acquired.stored = {ReportOf(kWindow - 1, 4), ReportOf(kWindow, 5)};
  windows_sent(acquired, kEnd);
  using Windows = std::vector<UsageWindow>;
  cr_assert(windows_sent(UsageReporter::Tick{}, kEnd + 250) == Windows{kWindow});
  cr_assert(windows_sent(UsageReporter::Tick{}, kEnd + 500).empty(), "a call is in flight");
  cr_assert(windows_sent(UsageReporter::Sent{kWindow, false}, kEnd + 700) == Windows{kWindow - 1});
  cr_assert(windows_sent(UsageReporter::Sent{kWindow - 1, true}, kEnd + 800).empty());
  cr_assert(windows_sent(UsageReporter::Tick{}, kEnd + 2750) == Windows{kWindow});
}

// Guards against a report by a daemon that has lost the lease.
Test(usage_reporter, a_former_holder_acts_on_nothing) {
  Rows rows;
  Holder holder(rows);
  holder.Acquire(kBefore, kBefore);
  CollectAll(holder);
  holder.Handle(UsageReporter::Lost{}, kEnd + 1200);
  holder.TickFrom(kEnd + 1250, kEnd + 20'000);
  cr_assert(holder.sent.empty());
  cr_assert(rows.empty());
}

// Guards against memory that grows with the time that a holder keeps the lease, and against a
// former holder that forgets what its successor needs to know.
Test(usage_reporter, decisions_are_kept_for_twenty_windows) {
  Rows rows;
  Holder holder(rows);
  holder.Acquire(kBefore, kBefore);
  const UsageWindow last = kWindow + 200;
  for (UsageWindow window = kWindow; window <= last; ++window) {
    const UnixMillis end = (window + 1) * kWindowMs;
    holder.Handle(UsageReporter::Collected{ReplyOf("a", window, 1), end + 1000}, end + 1100);
    holder.Handle(UsageReporter::Collected{ReplyOf("b", window, 1), end + 1000}, end + 1100);
    holder.TickFrom(end + 1250, end + 1500);
  }
  const std::size_t kept = static_cast<std::size_t>(UsageReporter::kKeptWindows);
  cr_assert_eq(holder.reporter.Decided(0).size(), kept);
  cr_assert_eq(rows.size(), kept, "old rows are removed");
  cr_assert_eq(holder.reporter.FirstOpenWindow((last + 1) * kWindowMs + 1300), last + 1);
}

namespace {

/// A fleet whose daemons count random requests and copy their sums to two neighbours.
struct Fleet {
  static constexpr std::size_t kDaemons = 63;
  static constexpr std::size_t kOrganisations = 24;

  explicit Fleet(std::uint64_t seed) : random(seed) {
    for (std::size_t i = 0; i < kDaemons; ++i) {
      ledgers.emplace_back(InstanceId{NameOf(i), 1}, std::chrono::seconds(5));
    }
  }

  static std::string NameOf(std::size_t daemon) { return "daemon-" + std::to_string(daemon); }

  /// Lets `requests` begin at `now` at random daemons.
  void Begin(int requests, UnixMillis now) {
    for (int i = 0; i < requests; ++i) {
      const OrganisationId organisation = "org-" + std::to_string(random() % kOrganisations);
      ledgers[random() % kDaemons].OnBegun(organisation, now);
      ++truth[now / kWindowMs][organisation];
    }
  }

  /// One copy in ten is lost, and one in ten is repeated.
  void SendCopies() {
    for (std::size_t i = 0; i < kDaemons; ++i) {
      const UsageCopy copy{ledgers[i].TakeChanged()};
      for (std::size_t step = 1; step <= 2; ++step) {
        const std::uint64_t fate = random() % 10;
        UsageLedger& neighbour = ledgers[(i + step) % kDaemons];
        if (fate != 0) neighbour.OnCopy(copy);
        if (fate == 1) neighbour.OnCopy(copy);
      }
    }
  }

  Random random;
  std::vector<UsageLedger> ledgers;
  std::map<UsageWindow, std::map<OrganisationId, std::uint64_t>> truth;
};

/// Returns the largest relative error of the report's counts.
double ErrorOf(const UsageReport& report, const std::map<OrganisationId, std::uint64_t>& truth) {
  std::map<OrganisationId, std::uint64_t> reported;
  for (const OrganisationUsage& usage : report.usage) reported[usage.organisation] = usage.requests;
  double error = 0.0;
  for (const auto& [organisation, requests] : truth) {
    const double expected = static_cast<double>(requests);
    const double difference = static_cast<double>(reported[organisation]) - expected;
    error = std::max(error, std::abs(difference) / expected);
  }
  return error;
}

}  // namespace

// Guards against reports that are inaccurate or overdue because two of 63 daemons do not answer.
Test(usage_reporter, two_silent_daemons_of_63_leave_the_report_accurate_and_in_time) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Fleet fleet(seed);
    Rows rows;
    Holder holder(rows);
    holder.daemons.clear();
    for (std::size_t i = 0; i < Fleet::kDaemons; ++i) holder.daemons.insert(Fleet::NameOf(i));
    holder.Acquire(kBefore, kBefore);
    const std::size_t silent = fleet.random() % Fleet::kDaemons;
    const std::size_t also_silent = (silent + 1 + fleet.random() % 30) % Fleet::kDaemons;
    std::size_t asked = 0;
    for (UnixMillis now = kBefore; now < kEnd + 4 * kWindowMs; now += 10) {
      fleet.Begin(5, now);
      if (now % 500 == 0) fleet.SendCopies();
      if (now % 20 == 0) {
        asked = (asked + 1) % Fleet::kDaemons;
        DutyPollReply reply;
        reply.daemon = Fleet::NameOf(asked);
        reply.sums = fleet.ledgers[asked].Sums(holder.reporter.FirstOpenWindow(now));
        const bool answers = asked != silent && asked != also_silent;
        if (answers) holder.Handle(UsageReporter::Collected{reply, now}, now + 5);
      }
      if (now % kTickMs == 0) holder.Handle(UsageReporter::Tick{holder.daemons}, now);
    }
    for (UsageWindow window = kWindow; window < kWindow + 3; ++window) {
      cr_assert_eq(holder.CallsFor(window), 1u, "seed %lu", seed);
      const double error = ErrorOf(holder.sent[window].front(), fleet.truth[window]);
      std::printf("seed %lu: window %ld: error %.4f\n", seed, window, error);
      cr_assert_lt(error, 0.05, "seed %lu: error %.3f", seed, error);
      cr_assert_leq(holder.decided_at[window] - (window + 1) * kWindowMs, 5000, "seed %lu", seed);
    }
  }
}
