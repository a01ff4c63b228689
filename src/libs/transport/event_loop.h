#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "transport/task.h"

namespace fulmarpoint {

/// Runs asynchronous work on the thread that calls `Run()`.
class EventLoop {
 public:
  EventLoop();
  /// Destroys unfinished coroutines; what these refer to must still exist unless
  /// `DestroyPendingWork()` was called.
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  Executor GetExecutor() const;
  /// Calls `function` with the signal's number on the loop's thread, each time one of `signals`
  /// arrives. Call it at most once.
  void OnSignals(const std::vector<int>& signals, std::function<void(int)> function);
  /// Runs until `Stop()`.
  void Run();
  /// Ends `Run()`. Thread-safe.
  void Stop();
  /// Destroys unfinished coroutines. Sockets and timers may be destroyed later. Call it after
  /// `Run()` has returned.
  void DestroyPendingWork();

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace fulmarpoint
