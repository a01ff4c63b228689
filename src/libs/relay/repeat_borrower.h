#pragma once

#include <map>

#include "coordination/loan_rounds.h"
#include "protocol/repeat_loan_messages.h"
#include "relay/peer_connections.h"
#include "relay/relay_context.h"

namespace fulmarpoint {

/// Borrows repeats from neighbours when this daemon's own are used up, and lends to them. Used on
/// the daemon's thread.
class RetryQuotaBorrower {
 public:
  /// `context` and `connections` must outlive this.
  RetryQuotaBorrower(RelayContext& context, PeerConnections& connections)
      : m_context(context), m_connections(connections) {}

  /// Returns whether a peer has lent repeats of a service's requests; they are with the service's
  /// allowance then.
  Task<bool> Borrow(ServiceName service);
  /// Lends to a peer.
  RepeatLoanReply Lend(const RepeatLoanRequest& request);

 private:
  Task<int> RequestQuota(const PeerRecord& lender, const ServiceName& service);

  RelayContext& m_context;
  PeerConnections& m_connections;
  std::map<ServiceName, LoanRounds> m_lender_selections;
};

}  // namespace fulmarpoint
