#pragma once

#include <memory>

#include "transport/task.h"

namespace fulmarpoint {

/// Thread pool that runs asynchronous work. Thread-safe.
class WorkerPool {
 public:
  /// Starts `threads` threads, but at least one.
  explicit WorkerPool(int threads);
  /// Calls `Stop()`.
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  Executor GetExecutor() const;
  /// Joins the threads and destroys unfinished coroutines. Objects these refer to must still exist;
  /// sockets and timers may be destroyed later. Must not be called on one of the threads.
  void Stop();

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace fulmarpoint
