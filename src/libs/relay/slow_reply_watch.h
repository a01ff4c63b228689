#pragma once

#include <functional>
#include <memory>

#include "transport/http_client_exchange.h"
#include "transport/task.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Ends the wait for a slow reply once the request may be sent elsewhere. Until then the connection
/// stays open, because its endpoint may be silent for a moment only. Used on one strand.
class SlowReplyWatch {
 public:
  struct Options {
    /// How long an endpoint may take before a retry is requested.
    Duration patience{};
    /// Interval of further requests after a retry was denied.
    Duration interval{};
    /// Requests permission for a retry.
    std::function<Task<bool>()> take_retry;
  };

  /// Watches the exchange on `connection`, which is closed when a retry was granted.
  SlowReplyWatch(const Executor& executor, std::shared_ptr<HttpClientExchange> connection,
                 Options options);
  /// Ends the watch.
  ~SlowReplyWatch();
  SlowReplyWatch(const SlowReplyWatch&) = delete;
  SlowReplyWatch& operator=(const SlowReplyWatch&) = delete;

  /// A part of the reply has arrived.
  void OnProgress();
  /// Returns whether a retry was granted and the connection closed.
  bool HasRetry() const;

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
