#include "relay/slow_reply_watch.h"

#include <utility>

namespace fulmarpoint {

struct SlowReplyWatch::State {
  Task<void> Run(std::shared_ptr<State> self);

  std::shared_ptr<HttpClientExchange> connection;
  Options options;
  TimePoint last_progress{};
  bool ended = false;
  bool has_retry = false;
};

Task<void> SlowReplyWatch::State::Run([[maybe_unused]] std::shared_ptr<State> self) {
  while (!ended) {
    const Duration left = last_progress + options.patience - SteadyNow();
    if (left > Duration::zero()) {
      co_await Sleep(left);
      continue;
    }
    const bool granted = co_await options.take_retry();
    if (ended) co_return;
    if (granted) {
      has_retry = true;
      connection->Close();
      co_return;
    }
    co_await Sleep(options.interval);
  }
}

SlowReplyWatch::SlowReplyWatch(const Executor& executor,
                               std::shared_ptr<HttpClientExchange> connection, Options options)
    : m_state(std::make_shared<State>()) {
  m_state->connection = std::move(connection);
  m_state->options = std::move(options);
  m_state->last_progress = SteadyNow();
  Spawn(executor, [state = m_state]() { return state->Run(state); });
}

SlowReplyWatch::~SlowReplyWatch() {
  m_state->ended = true;
  m_state->connection.reset();
}

void SlowReplyWatch::OnProgress() { m_state->last_progress = SteadyNow(); }

bool SlowReplyWatch::HasRetry() const { return m_state->has_retry; }

}  // namespace fulmarpoint
