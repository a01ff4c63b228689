#pragma once

#include <future>
#include <utility>

#include "transport/task.h"
#include "transport/worker_pool.h"

namespace fulmarpoint {

/// Runs a coroutine on a strand of `pool` and blocks until it returns its result.
template <typename T>
T RunTask(WorkerPool& pool, std::function<Task<T>()> start) {
  std::promise<T> promise;
  std::future<T> future = promise.get_future();
  Spawn(MakeStrand(pool.GetExecutor()), [&promise, &start]() -> Task<void> {
    T value = co_await start();
    promise.set_value(std::move(value));
  });
  return future.get();
}

}  // namespace fulmarpoint
