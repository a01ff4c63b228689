#pragma once

#include <optional>

#include "coordination/retry_budget.h"
#include "protocol/result_code.h"
#include "utils/time.h"

namespace fulmarpoint {

/// What is known when a further attempt is considered.
struct RetryContext {
  bool idempotent = false;
  /// The earlier attempt is still running; the further one is a hedge.
  bool hedge = false;
  /// What is known about the earlier attempt; ignored for hedges.
  Execution earlier = Execution::kMayHaveRun;
  TimePoint deadline{};
  /// Time that the attempt probably takes.
  Duration expected{};
};

/// Why there is no further attempt.
enum class RetryRejection { kNotIdempotent, kDeadline, kBudget };

inline constexpr std::array<EnumName<RetryRejection>, 3> kRetryRefusalNames = {{
    {RetryRejection::kNotIdempotent, "not_idempotent"},
    {RetryRejection::kDeadline, "deadline"},
    {RetryRejection::kBudget, "budget"},
}};

/// Decides whether another attempt may be sent and takes it from `budget` if so. Returns nothing if
/// it may. Hedges and repetitions of work that may have run need idempotent work; nothing is sent
/// that probably ends after the deadline. Thread-safe for separate budgets.
std::optional<RetryRejection> TryRetry(const RetryContext& context, TimePoint now,
                                       RetryBudget& budget);

}  // namespace fulmarpoint
