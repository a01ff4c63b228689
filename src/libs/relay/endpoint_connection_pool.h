#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>

#include "protocol/identifiers.h"
#include "transport/http_client_exchange.h"
#include "transport/task.h"

namespace fulmarpoint {

/// Pool of idle connections to endpoints. Used on one strand.
class EndpointConnectionPool {
 public:
  /// Returns an idle connection that is known to be open, or null.
  std::shared_ptr<HttpClientExchange> TakeIdle(const EndpointId& endpoint, TimePoint now);
  /// Returns a connection to the pool if it can be reused. `reply` is the last one received on it;
  /// at most `max_idle` connections to the endpoint are kept.
  void PutIdle(const EndpointId& endpoint, std::shared_ptr<HttpClientExchange> connection,
               const HttpReply& reply, std::size_t max_idle, TimePoint now);
  /// Closes connections whose idle time has expired.
  void CloseExpired(TimePoint now);

 private:
  struct Idle {
    std::shared_ptr<HttpClientExchange> connection;
    TimePoint expires{};
  };

  std::map<EndpointId, std::deque<Idle>> m_idle;
};

}  // namespace fulmarpoint
