#pragma once

#include <optional>
#include <string>

#include "relay/endpoint_connection_pool.h"
#include "relay/relayed_request.h"
#include "transport/http_server.h"
#include "transport/task.h"

namespace fulmarpoint {

/// Handles the requests of callers: matches the route, authorizes the organisation and relays what
/// is allowed. A request is rejected as unknown or unauthorized only while the configuration is
/// confirmed to be current. Used on the daemon's thread; must outlive its tasks.
class CallerRequestHandler {
 public:
  CallerRequestHandler(RelayContext& context, EndpointConnectionPool& pool)
      : m_context(context), m_pool(pool) {}

  Task<void> Handle(HttpExchange& exchange);
  /// Returns the reply to a request that the HTTP server rejects itself.
  static HttpReply RejectionReply(HttpRejection rejection);

 private:
  /// Why a request is not relayed.
  struct Rejection {
    ResultCode code = ResultCode::kInternal;
    std::string detail;
    Duration retry_after{};
  };
  /// A request that may be relayed, or why it is rejected.
  struct Admission {
    RelayedRequest request;
    std::optional<Rejection> rejection;
  };

  Admission Admit(HttpExchange& exchange);
  std::optional<Rejection> Authorize(RelayedRequest& request) const;
  Rejection RejectUnknown(ResultCode code, const std::string& detail) const;
  void LogRejection(const std::string& request_id, const Rejection& rejection) const;

  RelayContext& m_context;
  EndpointConnectionPool& m_pool;
};

}  // namespace fulmarpoint
