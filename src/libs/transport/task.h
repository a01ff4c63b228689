#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>

#include "utils/time.h"

namespace fulmarpoint {

/// A coroutine that completes with a `T`.
template <typename T>
using Task = boost::asio::awaitable<T>;

using Executor = boost::asio::any_io_executor;

/// Starts a coroutine on `executor` and does not wait for it. An exception that escapes is logged
/// and dropped. Thread-safe.
void Spawn(const Executor& executor, std::function<Task<void>()> start);

/// Runs `function` once on `executor`, later. Thread-safe.
void Post(const Executor& executor, std::function<void()> function);

/// Returns an executor that runs its work one piece at a time. Thread-safe.
Executor MakeStrand(const Executor& executor);

/// Returns the executor of the calling coroutine.
Task<Executor> CurrentExecutor();

/// Continues on `executor`; used to enter a strand.
Task<void> SwitchTo(Executor executor);

/// Completes after `duration`.
Task<void> Sleep(Duration duration);

}  // namespace fulmarpoint
