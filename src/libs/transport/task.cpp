#include "transport/task.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <exception>
#include <string>
#include <utility>

#include "transport/internal/completion.h"
#include "utils/logging.h"

namespace fulmarpoint {

namespace asio = boost::asio;

void Spawn(const Executor& executor, std::function<Task<void>()> start) {
  asio::co_spawn(executor, std::move(start), [](const std::exception_ptr& error) {
    if (!error) return;
    try {
      std::rethrow_exception(error);
    } catch (const std::exception& exception) {
      Log(LogLevel::kError, "task_failed", {{"reason", exception.what()}});
    } catch (...) {
      Log(LogLevel::kError, "task_failed", {{"reason", "unknown"}});
    }
  });
}

void Post(const Executor& executor, std::function<void()> function) {
  asio::post(executor, std::move(function));
}

Executor MakeStrand(const Executor& executor) { return asio::make_strand(executor); }

Task<Executor> CurrentExecutor() { co_return co_await asio::this_coro::executor; }

Task<void> SwitchTo(Executor executor) {
  co_await asio::post(asio::bind_executor(executor, asio::use_awaitable));
}

Task<void> Sleep(Duration duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor, duration);
  co_await timer.async_wait(internal::kCompletion);
}

}  // namespace fulmarpoint
