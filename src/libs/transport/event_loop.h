#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "transport/task.h"

namespace fulmarpoint {

/// Runs asynchronous work on the thread that calls `Run()`. Not thread-safe, except for `Stop()`.
class EventLoop {
 public:
  EventLoop();
  /// Destroys unfinished coroutines; objects they refer to must still exist unless
  /// `DestroyPendingWork()` was called before.
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  Executor GetExecutor() const;
  /// Calls `function` with the signal number on the loop's thread each time one of `signals`
  /// arrives. Must be called at most once.
  void OnSignals(const std::vector<int>& signals, std::function<void(int)> function);
  /// Blocks until `Stop()` is called.
  void Run();
  /// Makes `Run()` return. Thread-safe.
  void Stop();
  /// Destroys unfinished coroutines; objects they refer to must still exist. Sockets and timers may
  /// be destroyed later. Precondition: `Run()` has returned.
  void DestroyPendingWork();

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace fulmarpoint
