#include "relay/peer_server.h"

#include <optional>
#include <utility>

namespace fulmarpoint {

PeerServer::PeerServer(const Executor& executor, Handlers handlers)
    : m_handlers(std::move(handlers)),
      m_server(executor, FrameLimits(),
               [this](std::string bytes, const std::string&) { return Answer(std::move(bytes)); }) {
}

Task<std::string> PeerServer::Answer(std::string bytes) {
  const std::optional<RelayPeerRequest> request = DecodeRelayPeerRequest(bytes);
  if (!request) co_return std::string();
  if (const TableReplicaRequest* replica = std::get_if<TableReplicaRequest>(&*request)) {
    const TableReplicaReply reply = co_await m_handlers.replica(*replica);
    co_return Encode(reply);
  }
  if (const PromptLocationQuery* query = std::get_if<PromptLocationQuery>(&*request)) {
    co_return Encode(m_handlers.prompt(*query));
  }
  if (const RolloutReport* report = std::get_if<RolloutReport>(&*request)) {
    co_return Encode(m_handlers.rollout(*report));
  }
  if (const DutyPoll* poll = std::get_if<DutyPoll>(&*request)) {
    co_return Encode(m_handlers.duties(*poll));
  }
  co_return Encode(m_handlers.retry_quota(std::get<RetryQuotaRequest>(*request)));
}

}  // namespace fulmarpoint
