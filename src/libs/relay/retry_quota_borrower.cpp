#include "relay/retry_quota_borrower.h"

#include <optional>
#include <string>
#include <utility>

namespace fulmarpoint {

namespace {

// A stream that has lost its engine needs one to go on at its copy, and another if that fails.
constexpr std::uint8_t kWanted = 2;
// A caller waits meanwhile.
constexpr Duration kReplyTime = std::chrono::milliseconds(40);

}  // namespace

Task<bool> RepeatBorrower::Borrow(ServiceName service) {
  const TimePoint now = SteadyNow();
  std::vector<PeerRecord> neighbours;
  for (const PeerRecord& peer : m_context.peers.Neighbours()) {
    if (m_context.peers.IsReachable(peer.name, now)) neighbours.push_back(peer);
  }
  const std::vector<PeerRecord> lenders =
      m_rounds[service].SelectLenders(std::move(neighbours), now, m_context.random);
  for (const PeerRecord& lender : lenders) {
    const int granted = co_await Ask(lender, service);
    m_context.metrics.Count("repeat_loans", granted > 0 ? "granted" : "refused");
    if (granted == 0) continue;
    m_context.Retries(service).Borrow(granted, SteadyNow());
    co_return true;
  }
  if (!lenders.empty()) m_rounds[service].OnNoneLent(SteadyNow());
  co_return false;
}

Task<int> RepeatBorrower::Ask(const PeerRecord& lender, const ServiceName& service) {
  const RetryQuotaRequest request{service, kWanted};
  const std::optional<std::string> bytes =
      co_await m_connections.Ask(lender.peer_address, request, kReplyTime);
  if (!bytes) {
    m_connections.Drop(lender.peer_address);
    co_return 0;
  }
  const std::optional<RetryQuotaReply> reply = DecodeRetryQuotaReply(*bytes);
  co_return reply ? std::min<int>(reply->granted, kWanted) : 0;
}

RetryQuotaReply RepeatBorrower::Lend(const RetryQuotaRequest& request) {
  const bool is_known = m_context.table && m_context.table->FindService(request.service) != nullptr;
  if (!is_known) return {};
  const int wanted = std::min(request.wanted, kWanted);
  const int granted =
      m_context.Retries(request.service).Lend(wanted, m_context.peers.Size() + 1, SteadyNow());
  return {static_cast<std::uint8_t>(granted)};
}

}  // namespace fulmarpoint
