#pragma once

#include <optional>
#include <string>

#include "relay/endpoint_connection_pool.h"
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
  /// Why a request is not relayed.
  struct Refusal {
    ResultCode code = ResultCode::kInternal;
    std::string detail;
    Duration retry_after{};
  };
  /// A request that may be relayed, or why it is refused.
  struct Admission {
    RelayedRequest request;
    std::optional<Refusal> refusal;
  };

  Admission Admit(HttpExchange& exchange);
  std::optional<Refusal> Authorize(RelayedRequest& request) const;
  Refusal RefuseUnknown(ResultCode code, const std::string& detail) const;
  void LogRefusal(const std::string& request_id, const Refusal& refusal) const;

  RelayContext& m_context;
  EndpointPool& m_pool;
};

}  // namespace fulmarpoint
