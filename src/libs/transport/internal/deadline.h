#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "transport/task.h"

namespace fulmarpoint::internal {

/// Calls a function once after a duration unless destroyed before. Must be constructed, used and
/// destroyed on the strand `executor`, which also runs the function.
class Deadline {
 public:
  Deadline(const Executor& executor, Duration after, std::function<void()> on_expiry);
  ~Deadline();
  Deadline(const Deadline&) = delete;
  Deadline& operator=(const Deadline&) = delete;

  bool Expired() const;

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint::internal
