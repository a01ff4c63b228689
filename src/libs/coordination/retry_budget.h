#pragma once

namespace fulmarpoint {

/// Limits retries and hedged requests of one service to a ratio of its first attempts, so that they
/// do not multiply the load during a brown-out. Not thread-safe.
class RetryBudget {
 public:
  /// `share` is the number of retries earned by each first attempt; `burst` caps the balance of
  /// earned retries and is its initial value.
  RetryBudget(double share, double burst) : m_share(share), m_burst(burst), m_balance(burst) {}

  /// Counts a first attempt.
  void OnFirstAttempt();
  /// Takes one retry from the budget; returns false if none is left.
  bool TryTake();

 private:
  double m_share;
  double m_burst;
  double m_balance;
};

}  // namespace fulmarpoint
