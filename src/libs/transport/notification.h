#pragma once

#include <memory>

#include "transport/task.h"

namespace fulmarpoint {

/// Wakes a waiting coroutine. A notification without a waiter is kept until the next wait. Use it
/// only on the strand `executor`.
class Notification {
 public:
  explicit Notification(const Executor& executor);
  ~Notification();
  Notification(const Notification&) = delete;
  Notification& operator=(const Notification&) = delete;

  void Notify();
  /// Completes after `Notify()`.
  Task<void> Wait();
  /// Completes after `Notify()` or `timeout`; returns whether it was notified.
  Task<bool> WaitFor(Duration timeout);

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
