#pragma once

#include <memory>

#include "protocol/peer_messages.h"
#include "server/services.h"

namespace fulmarpoint {

class AdmissionTable;
class CreditTable;
class PeerService;

/// Exchanges credits for endpoints with the other daemons, see `CreditHolder` and `CreditOwner`:
/// one request to each owner in each round, over the peer service. Thread-safe.
class CreditDriver {
 public:
  CreditDriver(Services& services, CreditTable& credits, AdmissionTable& admission,
               PeerService& peers);
  ~CreditDriver();
  CreditDriver(const CreditDriver&) = delete;
  CreditDriver& operator=(const CreditDriver&) = delete;

  /// Registers the handler of credit requests. Call before the peer service starts.
  void Register();
  void Start();
  void Stop();
  /// Applies a change of a member.
  void OnMember(const MemberUpdate& member);

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
