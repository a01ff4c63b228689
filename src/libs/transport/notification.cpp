#include "transport/notification.h"

#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "transport/internal/completion.h"

namespace fulmarpoint {

struct Notification::State {
  explicit State(const Executor& executor) : timer(executor) {}

  boost::asio::steady_timer timer;
  bool notified = false;
};

Notification::Notification(const Executor& executor) : m_state(std::make_shared<State>(executor)) {}

Notification::~Notification() { m_state->timer.cancel(); }

void Notification::Notify() {
  m_state->notified = true;
  m_state->timer.cancel();
}

Task<void> Notification::Wait() {
  const std::shared_ptr<State> state = m_state;
  if (!state->notified) {
    state->timer.expires_at(boost::asio::steady_timer::time_point::max());
    co_await state->timer.async_wait(internal::kCompletion);
  }
  state->notified = false;
}

Task<bool> Notification::WaitFor(Duration timeout) {
  const std::shared_ptr<State> state = m_state;
  if (!state->notified) {
    state->timer.expires_after(timeout);
    co_await state->timer.async_wait(internal::kCompletion);
  }
  co_return std::exchange(state->notified, false);
}

}  // namespace fulmarpoint
