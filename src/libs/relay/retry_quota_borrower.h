#pragma once

#include <map>

#include "coordination/retry_quota_lender_selection.h"
#include "protocol/retry_quota_messages.h"
#include "relay/peer_connections.h"
#include "relay/relay_context.h"

namespace fulmarpoint {

/// Borrows retry quota from neighbours when this daemon's own is used up, and lends to them. Used
/// on the daemon's thread.
class RetryQuotaBorrower {
 public:
  /// `context` and `connections` must outlive this.
  RetryQuotaBorrower(RelayContext& context, PeerConnections& connections)
      : m_context(context), m_connections(connections) {}

  /// Borrows retries for a service's requests and adds them to the service's quota. Returns whether
  /// a peer granted any.
  Task<bool> Borrow(ServiceName service);
  /// Grants a peer's request as far as this daemon's quota allows.
  RetryQuotaReply Lend(const RetryQuotaRequest& request);

 private:
  Task<int> RequestQuota(const PeerRecord& lender, const ServiceName& service);

  RelayContext& m_context;
  PeerConnections& m_connections;
  std::map<ServiceName, RetryQuotaLenderSelection> m_lender_selections;
};

}  // namespace fulmarpoint
