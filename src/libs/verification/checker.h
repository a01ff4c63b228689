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

/// A broken guarantee. `records` are the indices of the violating events in the history.
struct Violation {
  Guarantee guarantee;
  std::string detail;
  std::vector<std::size_t> records;
};

struct CheckerOptions {
  /// Largest share of an unproven version, fleet-wide.
  double canary_share = 0.05;
  /// Requests that an unproven version may receive beyond its share. 0 if the history contains the
  /// requests in the order of their admission; otherwise the number of requests in flight.
  std::uint64_t canary_slack = 0;
  Duration bad_version_limit = std::chrono::seconds(3);
  Duration leaving_limit = std::chrono::seconds(5);
  Duration catalogue_limit = std::chrono::seconds(12);
  /// Whether a request without an outcome at the end of the history is a violation.
  bool require_outcomes = true;
};

/// Each function below returns the violations of one guarantee. They have no side effects.
/// Thread-safe.

/// P1: no token is missing from, or duplicated in, what a caller receives.
std::vector<Violation> CheckTokenSequence(const History& history);

/// P2: every token of a request comes from one generation by one version. Versions are those that
/// occur in `RequestStarted` and `RolloutStarted` records.
std::vector<Violation> CheckSingleGeneration(const History& history);

/// P3: an unproven version receives at most its share, and a bad one nothing after the limit.
std::vector<Violation> CheckRolloutTraffic(const History& history, const CheckerOptions& options);

/// P4: every caller receives the complete answer to its own request or an explicit error.
std::vector<Violation> CheckOwnAnswer(const History& history, const CheckerOptions& options);

/// P5: a refusal marked *not run* is true.
std::vector<Violation> CheckNotRun(const History& history);

/// P6: a non-idempotent call reaches endpoints, and takes effect, at most once.
std::vector<Violation> CheckAtMostOnce(const History& history);

/// P7: a leaving endpoint receives no new work after the limit.
std::vector<Violation> CheckLeavingEndpoints(const History& history, const CheckerOptions& options);

/// P8: a planned shutdown interrupts no request. A connection that the daemon closes after a
/// complete `move` event is not interrupted.
std::vector<Violation> CheckPlannedShutdown(const History& history);

/// P9: an accepted revision is in effect within the limit at every daemon that runs, and no daemon
/// goes back to an earlier one. A daemon that is paused or fenced is judged by the work it admits.
std::vector<Violation> CheckCatalogue(const History& history, const CheckerOptions& options);

/// Returns the violations of all guarantees, P1 first.
std::vector<Violation> CheckHistory(const History& history, const CheckerOptions& options = {});

/// Returns the violation with its records, one a line.
std::string Describe(const Violation& violation, const History& history);

}  // namespace fulmarpoint
