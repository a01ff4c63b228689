#include <criterion/criterion.h>

#include <map>
#include <string>

#include "coordination/entry_selection.h"

using namespace fulmarpoint;

namespace {

std::vector<EntryDaemon> MakeDaemons(int domains, int in_each) {
  std::vector<EntryDaemon> daemons;
  for (int domain = 0; domain < domains; ++domain) {
    for (int i = 0; i < in_each; ++i) {
      const std::string name = std::to_string(domain) + "-" + std::to_string(i);
      daemons.push_back({name, "10.0.0.1:" + std::to_string(1000 + domain * 100 + i),
                         "domain" + std::to_string(domain), false});
    }
  }
  return daemons;
}

}  // namespace

Test(entry_selection, own_failure_domain_first_and_two_domains) {
  const std::vector<EntryDaemon> daemons = MakeDaemons(3, 4);
  for (int caller = 0; caller < 200; ++caller) {
    const std::vector<EntryDaemon> selected =
        SelectEntries(daemons, std::to_string(caller), "domain1", 3);
    cr_assert_eq(selected.size(), 3);
    cr_assert_eq(selected[0].failure_domain, "domain1");
    cr_assert_neq(selected[2].failure_domain, "domain1");
  }
}

Test(entry_selection, leaving_daemons_are_not_named) {
  std::vector<EntryDaemon> daemons = MakeDaemons(2, 2);
  daemons[0].leaving = daemons[1].leaving = daemons[2].leaving = true;
  const std::vector<EntryDaemon> selected = SelectEntries(daemons, "x", "domain0", 3);
  cr_assert_eq(selected.size(), 1);
  cr_assert_eq(selected[0].name, daemons[3].name);
  cr_assert(SelectEntries({}, "x", "domain0", 3).empty());
}

// Guards against callers that all use the same daemon first, and against the loss of a daemon that
// changes the daemon of callers that did not use it.
Test(entry_selection, callers_are_spread_and_assignments_are_stable) {
  const std::vector<EntryDaemon> daemons = MakeDaemons(1, 5);
  std::vector<EntryDaemon> fewer = daemons;
  fewer.erase(fewer.begin());
  std::map<std::string, int> first;
  for (int caller = 0; caller < 1000; ++caller) {
    const std::string name = std::to_string(caller);
    const std::string before = SelectEntries(daemons, name, "domain0", 3)[0].name;
    const std::string after = SelectEntries(fewer, name, "domain0", 3)[0].name;
    ++first[before];
    if (before != daemons[0].name) cr_assert_eq(before, after);
  }
  cr_assert_eq(first.size(), 5);
  for (const auto& [name, count] : first) cr_assert_gt(count, 130);
}
