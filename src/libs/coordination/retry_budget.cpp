#include "coordination/retry_budget.h"

#include <algorithm>

namespace fulmarpoint {

void RetryBudget::OnFirstAttempt() { m_balance = std::min(m_burst, m_balance + m_share); }

bool RetryBudget::TryTake() {
  if (m_balance < 1.0) return false;
  m_balance -= 1.0;
  return true;
}

}  // namespace fulmarpoint
