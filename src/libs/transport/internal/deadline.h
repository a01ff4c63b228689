#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "transport/task.h"

namespace fulmarpoint::internal {

/// Calls a function once when a duration has passed, unless destroyed before. Construct, destroy
/// and use it on the strand `executor`; the function runs there too.
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
