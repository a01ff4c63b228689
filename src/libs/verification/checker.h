#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "utils/enum_names.h"
#include "utils/time.h"
#include "verification/history.h"

namespace fulmarpoint {

/// The guarantees of section 1.1 of docs/design.md.
enum class Guarantee { kP1, kP2, kP3, kP4, kP5, kP6, kP7, kP8, kP9 };

inline constexpr std::array<EnumName<Guarantee>, 9> kGuaranteeNames = {{
    {Guarantee::kP1, "P1"},
    {Guarantee::kP2, "P2"},
    {Guarantee::kP3, "P3"},
    {Guarantee::kP4, "P4"},
    {Guarantee::kP5, "P5"},
    {Guarantee::kP6, "P6"},
    {Guarantee::kP7, "P7"},
    {Guarantee::kP8, "P8"},
    {Guarantee::kP9, "P9"},
}};

/// Violation of a guarantee. `records` are the indices of the relevant records in the history.
struct Violation {
  Guarantee guarantee;
  std::string detail;
  std::vector<std::size_t> records;
};

struct CheckerOptions {
  /// Maximum share of a service's requests, fleet-wide, for a version in its canary phase.
  double canary_share = 0.05;
  /// Requests that such a version may receive beyond its share. 0 if the history contains the
  /// requests in the order of their admission; otherwise the number of requests in flight.
  std::uint64_t canary_slack = 0;
  /// Time after which a version that was declared bad must not receive new work.
  Duration bad_version_limit = std::chrono::seconds(3);
  /// Time after which a leaving endpoint must not receive new work.
  Duration leaving_limit = std::chrono::seconds(5);
  /// Time within which every running daemon must apply an accepted revision.
  Duration catalogue_limit = std::chrono::seconds(12);
  /// Whether a request that has no outcome at the end of the history violates P4.
  bool require_outcomes = true;
};

/// The `Check` functions below each return the violations of one guarantee. They have no side
/// effects and are thread-safe.

/// P1: a caller receives each token exactly once.
std::vector<Violation> CheckTokenSequence(const History& history);

/// P2: all tokens of a request belong to one generation by one version. The known versions are
/// those that occur in `RequestStarted` and `RolloutStarted` records.
std::vector<Violation> CheckSingleGeneration(const History& history);

/// P3: a version in its canary phase receives at most its share, and a version that was declared
/// bad receives no new work after `bad_version_limit`.
std::vector<Violation> CheckRolloutTraffic(const History& history, const CheckerOptions& options);

/// P4: every caller receives the complete answer to its own request or an explicit error.
std::vector<Violation> CheckAnswers(const History& history, const CheckerOptions& options);

/// P5: a request that was refused as *not run* has not reached an endpoint.
std::vector<Violation> CheckNotRunRefusals(const History& history);

/// P6: a non-idempotent call reaches endpoints, and takes effect, at most once.
std::vector<Violation> CheckAtMostOnce(const History& history);

/// P7: a leaving endpoint receives no new work after `leaving_limit`.
std::vector<Violation> CheckLeavingEndpoints(const History& history, const CheckerOptions& options);

/// P8: a planned shutdown interrupts no request. A connection that the daemon closes after a
/// complete `move` event is not interrupted.
std::vector<Violation> CheckPlannedShutdown(const History& history);

/// P9: every running daemon applies an accepted revision within `catalogue_limit` and never reverts
/// to an earlier one. For a paused or fenced daemon, only the work that it admits is checked.
std::vector<Violation> CheckCatalogue(const History& history, const CheckerOptions& options);

/// Returns the violations of all guarantees, P1 first.
std::vector<Violation> CheckHistory(const History& history, const CheckerOptions& options = {});

/// Returns the violation as text, followed by its records, one per line.
std::string Describe(const Violation& violation, const History& history);

}  // namespace fulmarpoint
