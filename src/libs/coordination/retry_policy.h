#pragma once

#include <optional>

#include "coordination/retry_budget.h"
#include "protocol/result_code.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Information for the decision on another attempt.
struct RetryContext {
  bool idempotent = false;
  /// The earlier attempt is still running, and the new one is a hedge.
  bool hedge = false;
  /// Whether the earlier attempt may have been executed; ignored for hedges.
  Execution earlier = Execution::kMayHaveRun;
  TimePoint deadline{};
  /// Expected duration of the attempt.
  Duration expected{};
};

/// Why another attempt was rejected.
enum class RetryRejection { kNotIdempotent, kDeadline, kBudget };

inline constexpr std::array<EnumName<RetryRejection>, 3> kRetryRejectionNames = {{
    {RetryRejection::kNotIdempotent, "not_idempotent"},
    {RetryRejection::kDeadline, "deadline"},
    {RetryRejection::kBudget, "budget"},
}};

/// Decides whether another attempt may be sent, and if so takes it from `budget` and returns
/// `std::nullopt`. Hedges and retries of work that may have been executed must be idempotent.
/// Attempts that are expected to end after the deadline are rejected. Thread-safe for separate
/// budgets.
std::optional<RetryRejection> TryRetry(const RetryContext& context, TimePoint now,
                                       RetryBudget& budget);

}  // namespace fulmarpoint
