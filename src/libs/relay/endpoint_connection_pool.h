#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>

#include "protocol/identifiers.h"
#include "transport/http_client_exchange.h"
#include "transport/task.h"

namespace fulmarpoint {

/// Idle connections to endpoints. Used on one strand.
class EndpointPool {
 public:
  /// Returns an idle connection that is known to be open, or null.
  std::shared_ptr<HttpClientExchange> TakeIdle(const EndpointId& endpoint, TimePoint now);
  /// Keeps a connection for later if it can be used again. `reply` is the last one on it; at most
  /// `most_idle` connections to the endpoint are kept.
  void PutIdle(const EndpointId& endpoint, std::shared_ptr<HttpClientExchange> connection,
               const HttpReply& reply, std::size_t most_idle, TimePoint now);
  /// Closes connections that have been idle for too long.
  void Forget(TimePoint now);

 private:
  struct Idle {
    std::shared_ptr<HttpClientExchange> connection;
    TimePoint expires{};
  };

  std::map<EndpointId, std::deque<Idle>> m_idle;
};

}  // namespace fulmarpoint
