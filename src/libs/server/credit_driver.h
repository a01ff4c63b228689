#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/peer_messages.h"
#include "state/credit_table.h"
#include "transport/task.h"

namespace fulmarpoint {

/// An endpoint with the services that it can run and its last load report.
struct CreditEndpoint {
  EndpointId id;
  std::vector<ServiceName> services;
  int slots = 0;
  int active = 0;
  int queued = 0;
};

/// Maintains the credits of this daemon: determines its owned endpoints and its subset from members
/// and endpoints, passes load reports to the credit table, and exchanges requests and grants with
/// the owners. Thread-safe.
class CreditDriver {
 public:
  /// Inputs of the driver. All are called on any thread, without the lock on the members.
  struct Sources {
    /// Endpoints that may receive new work.
    std::function<std::vector<CreditEndpoint>()> endpoints;
    /// Names of the daemons in the platform's list that are not leaving.
    std::function<std::vector<std::string>()> listed_daemons;
    /// Requests of a service that wait for a slot.
    std::function<int(const ServiceName&)> waiting;
    /// Sends a request to the peer service of a daemon; `answer` is called with the body of the
    /// answer, or not at all.
    std::function<void(const std::string& address, std::string body,
                       std::function<void(std::string_view)> answer)>
        send_request;
    std::function<TimePoint()> now;
  };

  CreditDriver(const InstanceId& self, CreditTable& table, Sources sources);
  ~CreditDriver();
  CreditDriver(const CreditDriver&) = delete;
  CreditDriver& operator=(const CreditDriver&) = delete;

  /// Calls `Tick` every 250 ms.
  void Start(const Executor& executor);
  void Stop();

  void OnMember(const MemberUpdate& member);
  void Tick();
  /// Returns the answer to a holder's request; empty if the request is malformed or concerns no
  /// owned endpoint.
  std::string Answer(std::string_view request);

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
