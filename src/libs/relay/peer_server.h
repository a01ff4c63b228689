#pragma once

#include <functional>
#include <string>
#include <system_error>

#include "protocol/relay_peer_request.h"
#include "transport/framed_server.h"
#include "transport/task.h"

namespace fulmarpoint {

/// Serves the requests of peers over TCP. Used on one strand.
class PeerServer {
 public:
  struct Handlers {
    std::function<Task<TableReplicaReply>(TableReplicaRequest request)> replica;
    std::function<RetryQuotaReply(const RetryQuotaRequest& request)> retry_quota;
    std::function<PromptLocationReply(const PromptLocationQuery& query)> prompt;
    std::function<RolloutDirective(const RolloutReport& report)> rollout;
    std::function<DutyPollReply(const DutyPoll& poll)> duties;
  };

  PeerServer(const Executor& executor, Handlers handlers);

  /// Opens "ip:port"; port 0 selects a free port.
  std::error_code Listen(const std::string& address) { return m_server.Listen(address); }
  std::string Address() const { return m_server.Address(); }

 private:
  Task<std::string> Answer(std::string bytes);

  Handlers m_handlers;
  FramedServer m_server;
};

}  // namespace fulmarpoint
