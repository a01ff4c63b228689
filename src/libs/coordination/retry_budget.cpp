#include "coordination/retry_budget.h"

#include <algorithm>

namespace fulmarpoint {

void RetryBudget::OnFirstAttempt() { m_saved = std::min(m_burst, m_saved + m_share); }

bool RetryBudget::TryTake() {
  if (m_saved < 1.0) return false;
  m_saved -= 1.0;
  return true;
}

}  // namespace fulmarpoint
