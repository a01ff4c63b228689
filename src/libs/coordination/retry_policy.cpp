#include "coordination/retry_policy.h"

namespace fulmarpoint {

std::optional<RetryRefusal> TryRetry(const RetryContext& context, TimePoint now,
                                     RetryBudget& budget) {
  const bool may_run_twice = context.hedge || context.earlier != Execution::kNotRun;
  if (may_run_twice && !context.idempotent) return RetryRefusal::kNotIdempotent;
  if (now + context.expected >= context.deadline) return RetryRefusal::kDeadline;
  if (!budget.TryTake()) return RetryRefusal::kBudget;
  return std::nullopt;
}

}  // namespace fulmarpoint
