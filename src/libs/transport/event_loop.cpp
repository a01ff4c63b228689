#include "transport/event_loop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>
#include <utility>

#include "transport/internal/stoppable_context.h"

namespace fulmarpoint {

struct EventLoop::State {
  State() : context(1), work(context.get_executor()), signals(context) {}

  void WaitForSignal() {
    signals.async_wait([this](const boost::system::error_code& error, int number) {
      if (error) return;
      on_signal(number);
      WaitForSignal();
    });
  }

  internal::StoppableContext context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  boost::asio::signal_set signals;
  std::function<void(int)> on_signal;
  bool destroyed = false;
};

EventLoop::EventLoop() : m_state(std::make_unique<State>()) {}

EventLoop::~EventLoop() { DestroyPendingWork(); }

Executor EventLoop::GetExecutor() const { return m_state->context.get_executor(); }

void EventLoop::OnSignals(const std::vector<int>& signals, std::function<void(int)> function) {
  for (const int number : signals) m_state->signals.add(number);
  m_state->on_signal = std::move(function);
  m_state->WaitForSignal();
}

void EventLoop::Run() { m_state->context.run(); }

void EventLoop::Stop() { m_state->context.stop(); }

void EventLoop::DestroyPendingWork() {
  if (std::exchange(m_state->destroyed, true)) return;
  m_state->context.DestroyPendingWork();
}

}  // namespace fulmarpoint
