#pragma once

#include <memory>

#include "transport/task.h"

namespace fulmarpoint {

/// Wakes a waiting coroutine. Without a waiting coroutine, the notification is kept for the next
/// wait; several count as one. Must be used on the strand `executor`.
class Notification {
 public:
  explicit Notification(const Executor& executor);
  ~Notification();
  Notification(const Notification&) = delete;
  Notification& operator=(const Notification&) = delete;

  void Notify();
  /// Completes when notified and clears the notification.
  Task<void> Wait();
  /// Like `Wait()`, but also completes after `timeout`; returns whether it was notified.
  Task<bool> WaitFor(Duration timeout);

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
