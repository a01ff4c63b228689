#include "transport/worker_pool.h"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <thread>
#include <utility>
#include <vector>

#include "transport/internal/stoppable_context.h"

namespace fulmarpoint {

struct WorkerPool::State {
  explicit State(int count) : context(count), work(context.get_executor()) {}

  internal::StoppableContext context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  std::vector<std::thread> threads;
  bool stopped = false;
};

WorkerPool::WorkerPool(int threads) : m_state(std::make_unique<State>(std::max(threads, 1))) {
  for (int i = 0; i < std::max(threads, 1); ++i) {
    m_state->threads.emplace_back([this] { m_state->context.run(); });
  }
}

WorkerPool::~WorkerPool() { Stop(); }

Executor WorkerPool::GetExecutor() const { return m_state->context.get_executor(); }

void WorkerPool::Stop() {
  m_state->context.stop();
  for (std::thread& thread : m_state->threads) {
    if (thread.joinable()) thread.join();
  }
  if (std::exchange(m_state->stopped, true)) return;
  m_state->context.DestroyPendingWork();
}

}  // namespace fulmarpoint
