#include "transport/internal/deadline.h"

#include <utility>

namespace fulmarpoint::internal {

struct Deadline::State {
  State(const Executor& executor, Duration after, std::function<void()> function)
      : timer(executor, after), on_expiry(std::move(function)) {}

  boost::asio::steady_timer timer;
  std::function<void()> on_expiry;
  bool done = false;
  bool expired = false;
};

Deadline::Deadline(const Executor& executor, Duration after, std::function<void()> on_expiry)
    : m_state(std::make_shared<State>(executor, after, std::move(on_expiry))) {
  m_state->timer.async_wait([state = m_state](const boost::system::error_code&) {
    if (state->done) return;
    state->expired = true;
    state->on_expiry();
  });
}

Deadline::~Deadline() {
  m_state->done = true;
  m_state->timer.cancel();
}

bool Deadline::Expired() const { return m_state->expired; }

}  // namespace fulmarpoint::internal
