#include "coordination/entry_selection.h"

#include <algorithm>
#include <utility>

#include "protocol/identifiers.h"

namespace fulmarpoint {

namespace {

struct Scored {
  std::uint64_t score = 0;
  const EntryDaemon* daemon = nullptr;
};

std::vector<Scored> ScoreLive(const std::vector<EntryDaemon>& daemons, std::string_view caller) {
  const std::uint64_t seed = StableHash(caller);
  std::vector<Scored> scored;
  for (const EntryDaemon& daemon : daemons) {
    if (!daemon.leaving) scored.push_back({StableHash(daemon.name, seed), &daemon});
  }
  std::sort(scored.begin(), scored.end(), [](const Scored& a, const Scored& b) {
    return a.score != b.score ? a.score > b.score : a.daemon->name < b.daemon->name;
  });
  return scored;
}

}  // namespace

std::vector<EntryDaemon> SelectEntries(const std::vector<EntryDaemon>& daemons,
                                       std::string_view caller, std::string_view failure_domain,
                                       std::size_t count) {
  std::vector<Scored> scored = ScoreLive(daemons, caller);
  const auto is_own = [&](const Scored& item) {
    return item.daemon->failure_domain == failure_domain;
  };
  std::stable_partition(scored.begin(), scored.end(), is_own);
  if (scored.size() > count && count > 1) {
    // Gives the last place to a daemon in another failure domain if all selected ones are in the
    // same.
    const std::string& first = scored.front().daemon->failure_domain;
    const auto differs = [&](const Scored& item) { return item.daemon->failure_domain != first; };
    const auto end = scored.begin() + static_cast<std::ptrdiff_t>(count);
    const auto other = std::find_if(scored.begin(), scored.end(), differs);
    if (other != scored.end() && other >= end) std::iter_swap(end - 1, other);
  }
  std::vector<EntryDaemon> selected;
  for (std::size_t i = 0; i < scored.size() && i < count; ++i)
    selected.push_back(*scored[i].daemon);
  return selected;
}

}  // namespace fulmarpoint
