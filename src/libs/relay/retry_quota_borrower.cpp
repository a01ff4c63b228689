#include "relay/retry_quota_borrower.h"

#include <optional>
#include <string>
#include <utility>

namespace fulmarpoint {

namespace {

// A stream that has lost its engine needs one retry to resume from its backup, and another if that
// fails.
constexpr std::uint8_t kRequestedRetries = 2;
// Short, because a caller waits for the reply.
constexpr Duration kReplyTimeout = std::chrono::milliseconds(40);

}  // namespace

Task<bool> RetryQuotaBorrower::Borrow(ServiceName service) {
  const TimePoint now = SteadyNow();
  std::vector<PeerRecord> neighbours;
  for (const PeerRecord& peer : m_context.peers.HeartbeatPeers()) {
    if (m_context.peers.IsReachable(peer.name, now)) neighbours.push_back(peer);
  }
  const std::vector<PeerRecord> lenders =
      m_lender_selections[service].SelectLenders(std::move(neighbours), now, m_context.random);
  for (const PeerRecord& lender : lenders) {
    const int granted = co_await RequestQuota(lender, service);
    m_context.metrics.Count("repeat_loans", granted > 0 ? "granted" : "refused");
    if (granted == 0) continue;
    m_context.RetryQuota(service).Borrow(granted, SteadyNow());
    co_return true;
  }
  if (!lenders.empty()) m_lender_selections[service].OnNoneLent(SteadyNow());
  co_return false;
}

Task<int> RetryQuotaBorrower::RequestQuota(const PeerRecord& lender, const ServiceName& service) {
  const RetryQuotaRequest request{service, kRequestedRetries};
  const std::optional<std::string> bytes =
      co_await m_connections.SendRequest(lender.peer_address, request, kReplyTimeout);
  if (!bytes) {
    m_connections.Drop(lender.peer_address);
    co_return 0;
  }
  const std::optional<RetryQuotaReply> reply = DecodeRetryQuotaReply(*bytes);
  co_return reply ? std::min<int>(reply->granted, kRequestedRetries) : 0;
}

RetryQuotaReply RetryQuotaBorrower::Lend(const RetryQuotaRequest& request) {
  const bool is_known = m_context.table && m_context.table->FindService(request.service) != nullptr;
  if (!is_known) return {};
  const int wanted = std::min(request.wanted, kRequestedRetries);
  const int granted =
      m_context.RetryQuota(request.service).Lend(wanted, m_context.peers.Size() + 1, SteadyNow());
  return {static_cast<std::uint8_t>(granted)};
}

}  // namespace fulmarpoint
