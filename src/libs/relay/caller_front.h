#pragma once

#include <string>

#include "relay/endpoint_pool.h"
#include "relay/relayed_request.h"
#include "transport/http_server.h"
#include "transport/task.h"

namespace fulmarpoint {

/// Answers the requests of callers: finds route and organisation, and relays what is allowed. A
/// request is refused as unknown or unauthorized only while the configuration is proven current.
/// Used on the daemon's thread; must outlive its tasks.
class CallerFront {
 public:
  CallerFront(RelayContext& context, EndpointPool& pool) : m_context(context), m_pool(pool) {}

  Task<void> Handle(HttpExchange& exchange);
  /// Returns the reply to a request that the server rejects itself.
  static HttpReply RejectionReply(HttpRejection rejection);

 private:
  /// A request that may be relayed, or the reply that refuses it.
  struct Admission {
    RelayedRequest request;
    std::optional<HttpReply> refusal;
  };

  Admission Admit(HttpExchange& exchange);
  std::optional<HttpReply> Authorize(RelayedRequest& request) const;
  HttpReply RefuseUnknown(ResultCode code, const std::string& detail) const;

  RelayContext& m_context;
  EndpointPool& m_pool;
};

}  // namespace fulmarpoint
