#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/bounded_serialization.h"
#include "protocol/identifiers.h"

namespace fulmarpoint {

/// Number of a reporting window: the Unix time of its start divided by the length of a window.
using UsageWindow = std::int64_t;

/// Requests of an organisation that began to run in a window.
struct OrganisationUsage {
  OrganisationId organisation;
  std::uint64_t requests = 0;

  bool operator==(const OrganisationUsage&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    internal::SerializeText(archive, organisation);
    archive(requests);
  }
};

/// What one daemon process has counted in a window so far. Absolute, so that a repeated or lost
/// message does no harm.
struct UsageSum {
  std::string daemon;
  /// Start of the daemon's process, as in `InstanceId`.
  std::uint64_t incarnation = 0;
  UsageWindow window = 0;
  /// In the order of the organisations' names.
  std::vector<OrganisationUsage> usage;

  bool operator==(const UsageSum&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    internal::SerializeText(archive, daemon);
    archive(incarnation, window);
    internal::SerializeList(archive, usage);
  }
};

/// The counts that are reported for a window, summed over all daemons. Once decided they do not
/// change any more.
struct UsageReport {
  UsageWindow window = 0;
  /// In the order of the organisations' names.
  std::vector<OrganisationUsage> usage;

  bool operator==(const UsageReport&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(window);
    internal::SerializeList(archive, usage);
  }
};

/// Returns the key of the store's row for the window's report. Keys are in the order of the
/// windows. Thread-safe.
std::string RowKeyOf(UsageWindow window);
/// Returns the JSON text that is stored. Thread-safe.
std::string ToJson(const UsageReport& report);
/// Returns nothing if `text` is not such a JSON text. Thread-safe.
std::optional<UsageReport> ParseUsageReport(const std::string& text);

/// Sent over UDP to two neighbours, which keep the sender's sums in case it is lost.
struct UsageCopy {
  std::vector<UsageSum> sums;

  template <typename Archive>
  void serialize(Archive& archive) {
    internal::SerializeList(archive, sums);
  }
};

}  // namespace fulmarpoint
