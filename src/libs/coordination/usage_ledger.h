#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "protocol/identifiers.h"
#include "protocol/usage_messages.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Counts the requests that began to run, by reporting window and organisation, and keeps the
/// latest sums of neighbours. Bounded: old windows, and organisations beyond a limit, are dropped
/// and counted. Not thread-safe.
class UsageLedger {
 public:
  /// Windows that are kept.
  static constexpr std::size_t kMaxWindows = 12;
  /// Organisations that are counted in a window.
  static constexpr std::size_t kMaxOrganisations = 4096;
  /// Counts in a message to a neighbour.
  static constexpr std::size_t kMaxCopyOrganisations = 32;
  /// Daemons whose sums are kept.
  static constexpr std::size_t kMaxDaemons = 16;

  /// `window_length` must be positive.
  UsageLedger(InstanceId self, Duration window_length);

  UsageWindow WindowAt(UnixMillis time) const;
  /// Returns when the window ends.
  UnixMillis EndOf(UsageWindow window) const;

  /// A request of `organisation` began to run at an endpoint at `began`.
  void OnBegun(const OrganisationId& organisation, UnixMillis began);
  /// A neighbour sent its sums. Of two sums of a process for a window, the higher count of each
  /// organisation holds.
  void OnCopy(const UsageCopy& copy);

  /// Returns this daemon's sums of `first` and later windows, and those kept for neighbours.
  std::vector<UsageSum> Sums(UsageWindow first) const;
  /// Returns this daemon's sums that have changed since the last call, to be sent to neighbours.
  std::vector<UsageSum> TakeChanged();
  /// Divides sums into messages of at most `kMaxCopyOrganisations` counts each, so that none is
  /// fragmented. The parts of a sum may arrive in any order. Thread-safe.
  static std::vector<UsageCopy> CopiesOf(const std::vector<UsageSum>& sums);
  /// Requests that were not counted because of a limit.
  std::uint64_t Dropped() const { return m_dropped; }

 private:
  using Counts = std::map<OrganisationId, std::uint64_t>;
  using Process = std::pair<std::string, std::uint64_t>;

  void RemoveStalestCopy();

  InstanceId m_self;
  Duration m_window_length;
  std::map<UsageWindow, Counts> m_own;
  std::set<UsageWindow> m_changed;
  std::map<Process, std::map<UsageWindow, Counts>> m_copies;
  std::uint64_t m_dropped = 0;
};

}  // namespace fulmarpoint
