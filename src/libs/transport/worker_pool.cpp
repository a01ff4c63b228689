#include "transport/worker_pool.h"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <thread>
#include <vector>

namespace fulmarpoint {

struct WorkerPool::State {
  explicit State(int count) : context(count), work(context.get_executor()) {}

  boost::asio::io_context context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  std::vector<std::thread> threads;
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
}

}  // namespace fulmarpoint
