#include <criterion/criterion.h>

#include <cstdint>
#include <string>
#include <vector>

#include "coordination/usage_ledger.h"

using namespace fulmarpoint;

namespace {

constexpr Duration kWindowLength = std::chrono::seconds(5);
constexpr UnixMillis kWindowMs = 5000;

UsageLedger LedgerOf(const std::string& daemon, std::uint64_t incarnation = 1) {
  return UsageLedger({daemon, incarnation}, kWindowLength);
}

/// Returns the count of the process for the window and organisation; 0 if there is none.
std::uint64_t CountOf(const UsageLedger& ledger, const InstanceId& process, UsageWindow window,
                      const OrganisationId& organisation) {
  for (const UsageSum& sum : ledger.Sums(0)) {
    const bool is_wanted = InstanceId{sum.daemon, sum.incarnation} == process;
    if (!is_wanted || sum.window != window) continue;
    for (const OrganisationUsage& usage : sum.usage) {
      if (usage.organisation == organisation) return usage.requests;
    }
  }
  return 0;
}

UsageCopy CopyOf(const InstanceId& process, UsageWindow window, std::uint64_t requests) {
  return {{{process.name, process.incarnation, window, {{"huka270", requests}}}}};
}

}  // namespace

// Guards against requests that are billed in the window before or after the one they began in.
Test(usage_ledger, a_request_counts_in_the_window_in_which_it_began) {
  UsageLedger ledger = LedgerOf("a");
  ledger.OnBegun("huka270", 7 * kWindowMs - 1);
  ledger.OnBegun("huka270", 7 * kWindowMs);
  cr_assert_eq(CountOf(ledger, {"a", 1}, 6, "huka270"), 1u);
  cr_assert_eq(CountOf(ledger, {"a", 1}, 7, "huka270"), 1u);
  cr_assert_eq(ledger.EndOf(6), 7 * kWindowMs);
}

// Guards against the loss of a daemon's counts with the daemon.
Test(usage_ledger, a_neighbour_keeps_the_counts_of_a_lost_daemon) {
  UsageLedger neighbour = LedgerOf("b");
  {
    UsageLedger lost = LedgerOf("a");
    lost.OnBegun("huka270", 7 * kWindowMs);
    lost.OnBegun("puhu251", 7 * kWindowMs);
    lost.OnBegun("huka270", 8 * kWindowMs);
    neighbour.OnCopy({lost.TakeChanged()});
  }
  cr_assert_eq(CountOf(neighbour, {"a", 1}, 7, "huka270"), 1u);
  cr_assert_eq(CountOf(neighbour, {"a", 1}, 7, "puhu251"), 1u);
  cr_assert_eq(CountOf(neighbour, {"a", 1}, 8, "huka270"), 1u);
}

// Guards against requests that are counted twice because a datagram was repeated.
Test(usage_ledger, a_repeated_copy_counts_once) {
  UsageLedger neighbour = LedgerOf("b");
  for (int i = 0; i < 3; ++i) neighbour.OnCopy(CopyOf({"a", 1}, 7, 5));
  cr_assert_eq(CountOf(neighbour, {"a", 1}, 7, "huka270"), 5u);
}

// Guards against an old datagram that arrives last and lowers a count.
Test(usage_ledger, an_overtaken_copy_lowers_no_count) {
  UsageLedger neighbour = LedgerOf("b");
  neighbour.OnCopy(CopyOf({"a", 1}, 7, 9));
  neighbour.OnCopy(CopyOf({"a", 1}, 7, 5));
  cr_assert_eq(CountOf(neighbour, {"a", 1}, 7, "huka270"), 9u);
}

// Guards against a restarted process whose counts start at zero and hide those of its predecessor.
Test(usage_ledger, processes_of_one_daemon_are_counted_apart) {
  UsageLedger neighbour = LedgerOf("b");
  neighbour.OnCopy(CopyOf({"a", 1}, 7, 9));
  neighbour.OnCopy(CopyOf({"a", 2}, 7, 4));
  cr_assert_eq(CountOf(neighbour, {"a", 1}, 7, "huka270"), 9u);
  cr_assert_eq(CountOf(neighbour, {"a", 2}, 7, "huka270"), 4u);
}

// Guards against a daemon that states its own requests a second time, as a copy.
Test(usage_ledger, an_echo_of_its_own_counts_is_ignored) {
  UsageLedger ledger = LedgerOf("a");
  ledger.OnBegun("huka270", 7 * kWindowMs);
  ledger.OnCopy(CopyOf({"a", 1}, 7, 1));
  cr_assert_eq(ledger.Sums(0).size(), 1u);
}

// Guards against copies that are sent for ever, and against ones that omit a later change.
Test(usage_ledger, only_changed_windows_are_copied) {
  UsageLedger ledger = LedgerOf("a");
  ledger.OnBegun("huka270", 7 * kWindowMs);
  cr_assert_eq(ledger.TakeChanged().size(), 1u);
  cr_assert(ledger.TakeChanged().empty());
  ledger.OnBegun("huka270", 7 * kWindowMs + 1);
  const std::vector<UsageSum> changed = ledger.TakeChanged();
  cr_assert_eq(changed.size(), 1u);
  cr_assert_eq(changed.front().usage.front().requests, 2u, "sums are absolute");
}

// Guards against memory that grows with the time that a daemon runs.
Test(usage_ledger, old_windows_are_dropped) {
  UsageLedger ledger = LedgerOf("a");
  for (UsageWindow window = 1; window <= 100; ++window) {
    ledger.OnBegun("huka270", window * kWindowMs);
    ledger.OnCopy(CopyOf({"b", 1}, window, 1));
  }
  cr_assert_eq(ledger.Sums(0).size(), 2 * UsageLedger::kMaxWindows);
  ledger.OnBegun("huka270", kWindowMs);
  cr_assert_eq(ledger.Dropped(), 1u, "a request of a dropped window is accounted for");
  cr_assert_eq(CountOf(ledger, {"a", 1}, 100, "huka270"), 1u);
}

// Guards against memory that grows with the names that callers make up.
Test(usage_ledger, organisations_are_limited) {
  UsageLedger ledger = LedgerOf("a");
  UsageCopy copy{{{"b", 1, 7, {}}}};
  for (std::size_t i = 0; i < UsageLedger::kMaxOrganisations + 10; ++i) {
    const OrganisationId organisation = "organisation-" + std::to_string(i);
    ledger.OnBegun(organisation, 7 * kWindowMs);
    copy.sums.front().usage.push_back({organisation, 1});
  }
  ledger.OnCopy(copy);
  for (const UsageSum& sum : ledger.Sums(0)) {
    cr_assert_eq(sum.usage.size(), UsageLedger::kMaxOrganisations);
  }
  cr_assert_eq(ledger.Dropped(), 10u);
  ledger.OnBegun("organisation-0", 7 * kWindowMs);
  cr_assert_eq(CountOf(ledger, {"a", 1}, 7, "organisation-0"), 2u, "known ones still count");
}

// Guards against memory that grows with restarts of neighbours, and against the loss of recent
// counts to that limit.
Test(usage_ledger, copies_of_the_longest_silent_daemon_are_dropped) {
  UsageLedger ledger = LedgerOf("a");
  const UsageWindow daemons = UsageLedger::kMaxDaemons + 4;
  for (UsageWindow i = 1; i <= daemons; ++i) {
    ledger.OnCopy(CopyOf({"daemon-" + std::to_string(i), 1}, 100 + i, 1));
  }
  cr_assert_eq(ledger.Sums(0).size(), UsageLedger::kMaxDaemons);
  cr_assert_eq(CountOf(ledger, {"daemon-1", 1}, 101, "huka270"), 0u);
  cr_assert_eq(CountOf(ledger, {"daemon-" + std::to_string(daemons), 1}, 100 + daemons, "huka270"),
               1u);
}

// Guards against copies that are lost because they do not fit into a datagram.
Test(usage_ledger, copies_of_many_organisations_are_divided) {
  UsageLedger lost = LedgerOf("lost");
  constexpr std::size_t kOrganisations = 100;
  for (std::size_t i = 0; i < kOrganisations; ++i) {
    lost.OnBegun("organisation-" + std::to_string(i), 7 * kWindowMs);
  }
  const std::vector<UsageCopy> copies = UsageLedger::CopiesOf(lost.TakeChanged());
  cr_assert_eq(copies.size(), 4u);
  UsageLedger neighbour = LedgerOf("neighbour");
  for (const UsageCopy& copy : copies) {
    cr_assert_leq(copy.sums.front().usage.size(), UsageLedger::kMaxCopyOrganisations);
    neighbour.OnCopy(copy);
  }
  cr_assert(neighbour.Sums(0).front().usage == lost.Sums(0).front().usage);
}

// Guards against marks of dropped windows that are kept for ever by a daemon that sends no copies.
Test(usage_ledger, only_kept_windows_count_as_changed) {
  UsageLedger ledger = LedgerOf("a");
  for (UsageWindow window = 0; window < 100; ++window) {
    ledger.OnBegun("huka270", window * kWindowMs);
  }
  cr_assert_eq(ledger.TakeChanged().size(), UsageLedger::kMaxWindows);
}
