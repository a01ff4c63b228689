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

/// Starts a coroutine on `executor` without waiting for it. An exception that escapes it is logged
/// and otherwise ignored. Thread-safe.
void Spawn(const Executor& executor, std::function<Task<void>()> start);

/// Queues `function` to run once on `executor`; returns before it runs. Thread-safe.
void Post(const Executor& executor, std::function<void()> function);

/// Returns an executor that runs its functions on `executor`, never two at a time. Thread-safe.
Executor MakeStrand(const Executor& executor);

/// Returns the executor of the calling coroutine.
Task<Executor> CurrentExecutor();

/// Resumes the calling coroutine on `executor`, for example to enter a strand.
Task<void> SwitchTo(Executor executor);

/// Completes after `duration`.
Task<void> Sleep(Duration duration);

}  // namespace fulmarpoint
