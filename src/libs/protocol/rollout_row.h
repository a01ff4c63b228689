#pragma once

#include <string>
#include <string_view>

#include "protocol/parse_error.h"
#include "protocol/rollout_messages.h"

namespace fulmarpoint {

/// State of a rollout in the table service, one row per rollout. The end of the rollout, `kDone` or
/// `kRolledBack`, is written once; the row then holds the final result.
struct RolloutRow {
  std::string rollout;
  ServiceName service;
  VersionName from;
  VersionName to;
  RolloutPhase phase = RolloutPhase::kCanary;
  /// Why the phase was entered; at the end of a rollout, the evidence for its result.
  std::string reason;
  /// The new version was found bad after `kDone`, and traffic returned to the old version.
  bool regressed_after_done = false;
  /// Fencing token of the controller that wrote the row.
  std::uint64_t controller_token = 0;
  /// The deadline by the clock of the first controller, stored so that its successors keep it; 0 if
  /// the deadline is part of the `RolloutRequest`.
  UnixMillis deadline = 0;

  bool operator==(const RolloutRow&) const = default;
};

/// Returns the stored JSON form. Thread-safe.
std::string ToJson(const RolloutRow& row);
/// Parses the stored JSON form. Thread-safe.
Parsed<RolloutRow> ParseRolloutRow(std::string_view text);

}  // namespace fulmarpoint
