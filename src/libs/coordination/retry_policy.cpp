#include "coordination/retry_policy.h"

namespace fulmarpoint {

std::optional<RetryRejection> TryRetry(const RetryContext& context, TimePoint now,
                                       RetryBudget& budget) {
  const bool may_run_twice = context.hedge || context.earlier != Execution::kNotRun;
  if (may_run_twice && !context.idempotent) return RetryRejection::kNotIdempotent;
  if (now + context.expected >= context.deadline) return RetryRejection::kDeadline;
  if (!budget.TryTake()) return RetryRejection::kBudget;
  return std::nullopt;
}

}  // namespace fulmarpoint
