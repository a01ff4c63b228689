#pragma once

#include <map>

#include "coordination/retry_quota_lender_selection.h"
#include "protocol/retry_quota_messages.h"
#include "relay/peer_connections.h"
#include "relay/relay_context.h"

namespace fulmarpoint {

/// Borrows repeats from neighbours when this daemon's own are used up, and lends to them. Used on
/// the daemon's thread.
class RepeatBorrower {
 public:
  /// `context` and `connections` must outlive this.
  RepeatBorrower(RelayContext& context, PeerConnections& connections)
      : m_context(context), m_connections(connections) {}

  /// Returns whether a peer has lent repeats of a service's requests; they are with the service's
  /// allowance then.
  Task<bool> Borrow(ServiceName service);
  /// Lends to a peer.
  RetryQuotaReply Lend(const RetryQuotaRequest& request);

 private:
  Task<int> Ask(const PeerRecord& lender, const ServiceName& service);

  RelayContext& m_context;
  PeerConnections& m_connections;
  std::map<ServiceName, RetryQuotaLenderSelection> m_rounds;
};

}  // namespace fulmarpoint
