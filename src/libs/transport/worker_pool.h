#pragma once

#include <memory>

#include "transport/task.h"

namespace fulmarpoint {

/// Threads that run asynchronous work. Thread-safe.
class WorkerPool {
 public:
  /// Starts `threads` threads; at least one.
  explicit WorkerPool(int threads);
  /// Stops and joins the threads. Must not be called by one of them.
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  Executor GetExecutor() const;
  /// Joins the threads and destroys unfinished coroutines. What these refer to must still exist;
  /// sockets and timers may be destroyed later. Must not be called by one of the threads.
  void Stop();

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace fulmarpoint
