#include "coordination/usage_ledger.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace fulmarpoint {

namespace {

template <typename Windows>
void RemoveOldest(Windows& windows, std::size_t kept) {
  while (windows.size() > kept) windows.erase(windows.begin());
}

UsageSum SumOf(const std::string& daemon, std::uint64_t incarnation, UsageWindow window,
               const std::map<OrganisationId, std::uint64_t>& counts) {
  UsageSum sum{daemon, incarnation, window, {}};
  for (const auto& [organisation, requests] : counts) sum.usage.push_back({organisation, requests});
  return sum;
}

}  // namespace

UsageLedger::UsageLedger(InstanceId self, Duration window_length)
    : m_self(std::move(self)), m_window_length(window_length) {}

UsageWindow UsageLedger::WindowAt(UnixMillis time) const {
  return std::chrono::milliseconds(time) / m_window_length;
}

UnixMillis UsageLedger::EndOf(UsageWindow window) const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(m_window_length * (window + 1))
      .count();
}

void UsageLedger::OnBegun(const OrganisationId& organisation, UnixMillis began) {
  const UsageWindow window = WindowAt(began);
  const bool is_too_old = m_own.size() >= kMaxWindows && window < m_own.begin()->first;
  if (is_too_old) {
    ++m_dropped;
    return;
  }
  Counts& counts = m_own[window];
  RemoveOldest(m_own, kMaxWindows);
  m_changed.erase(m_changed.begin(), m_changed.lower_bound(m_own.begin()->first));
  const bool is_full = counts.size() >= kMaxOrganisations && !counts.contains(organisation);
  if (is_full) {
    ++m_dropped;
    return;
  }
  ++counts[organisation];
  m_changed.insert(window);
}

void UsageLedger::OnCopy(const UsageCopy& copy) {
  for (const UsageSum& sum : copy.sums) {
    const Process process{sum.daemon, sum.incarnation};
    if (process == Process{m_self.name, m_self.incarnation}) continue;
    const bool is_full = m_copies.size() >= kMaxDaemons && !m_copies.contains(process);
    if (is_full) RemoveStalestCopy();
    std::map<UsageWindow, Counts>& windows = m_copies[process];
    Counts& counts = windows[sum.window];
    for (const OrganisationUsage& usage : sum.usage) {
      const bool has_room =
          counts.size() < kMaxOrganisations || counts.contains(usage.organisation);
      if (!has_room) continue;
      std::uint64_t& count = counts[usage.organisation];
      count = std::max(count, usage.requests);
    }
    RemoveOldest(windows, kMaxWindows);
  }
}

/// Removes the copies of the process that has counted nothing for the longest time.
void UsageLedger::RemoveStalestCopy() {
  const auto is_staler = [](const auto& a, const auto& b) {
    return a.second.rbegin()->first < b.second.rbegin()->first;
  };
  m_copies.erase(std::min_element(m_copies.begin(), m_copies.end(), is_staler));
}

std::vector<UsageSum> UsageLedger::Sums(UsageWindow first) const {
  std::vector<UsageSum> sums;
  for (auto it = m_own.lower_bound(first); it != m_own.end(); ++it) {
    sums.push_back(SumOf(m_self.name, m_self.incarnation, it->first, it->second));
  }
  for (const auto& [process, windows] : m_copies) {
    for (auto it = windows.lower_bound(first); it != windows.end(); ++it) {
      sums.push_back(SumOf(process.first, process.second, it->first, it->second));
    }
  }
  return sums;
}

std::vector<UsageSum> UsageLedger::TakeChanged() {
  std::vector<UsageSum> sums;
  for (const UsageWindow window : m_changed) {
    const auto found = m_own.find(window);
    if (found == m_own.end()) continue;
    sums.push_back(SumOf(m_self.name, m_self.incarnation, window, found->second));
  }
  m_changed.clear();
  return sums;
}

std::vector<UsageCopy> UsageLedger::CopiesOf(const std::vector<UsageSum>& sums) {
  std::vector<UsageCopy> copies;
  for (const UsageSum& sum : sums) {
    for (std::size_t first = 0; first < sum.usage.size(); first += kMaxCopyOrganisations) {
      const std::size_t last = std::min(first + kMaxCopyOrganisations, sum.usage.size());
      UsageSum part{sum.daemon, sum.incarnation, sum.window, {}};
      part.usage.assign(sum.usage.begin() + static_cast<std::ptrdiff_t>(first),
                        sum.usage.begin() + static_cast<std::ptrdiff_t>(last));
      copies.push_back({{std::move(part)}});
    }
  }
  return copies;
}

}  // namespace fulmarpoint
