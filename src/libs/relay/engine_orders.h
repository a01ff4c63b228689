#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/engine_scaling.h"
#include "coordination/fleet_demand.h"
#include "protocol/duty_messages.h"
#include "relay/duty_api.h"
#include "relay/relay_context.h"

namespace fulmarpoint {

/// Keeps the orders for engines while this daemon is the holder of the singleton duties: decides
/// them from the load of all daemons, and when each is sent. The caller sends them. Used on the
/// daemon's thread.
class EngineOrders {
 public:
  /// `context` must outlive this.
  explicit EngineOrders(RelayContext& context) : m_context(context) {}

  /// A daemon replied to a poll that was sent at `asked`.
  void OnReply(const DutyPollReply& reply, TimePoint asked) { m_demand.OnReply(reply, asked); }
  /// Notes the failure domains that have engines. Call it on every daemon from time to time: a
  /// later holder must know a domain whose engines are lost, because it orders engines there too.
  void ObserveFailureDomains();
  /// Decides what the load of `daemons`, the names of all that are listed, needs.
  void Decide(const std::set<std::string>& daemons);
  /// Returns the orders to send now. Each of their subjects is not due again before `OnSent`.
  std::vector<EngineOrder> TakeDue();
  /// The call that sent `order` ended.
  void OnSent(const EngineOrder& order, DutyCallResult result);
  /// Returns the latest orders.
  std::vector<EngineOrder> Latest() const;
  /// Another daemon may order from now on, or may have ordered until now.
  void Clear();

 private:
  /// Service and failure domain.
  using Key = std::pair<ServiceName, std::string>;
  struct Subject {
    EngineOrder order;
    bool is_in_flight = false;
    /// A call got no reply since the last accepted one.
    bool has_unanswered = false;
    /// When the order is sent; nothing if no call is needed.
    std::optional<TimePoint> due;
  };

  void DecideFor(const RelayService& service, const std::set<std::string>& daemons, TimePoint now);
  void SetOrder(const ServiceName& service, const EngineScaling::Order& order,
                const EngineScaling::Demand& demand, TimePoint now);
  std::map<std::string, int> EnginesOf(const ServiceName& service, TimePoint now) const;

  RelayContext& m_context;
  FleetDemand m_demand;
  std::map<ServiceName, EngineScaling> m_scalings;
  std::map<Key, Subject> m_subjects;
  /// Failure domains that have or had engines of the service.
  std::map<ServiceName, std::set<std::string>> m_failure_domains;
};

}  // namespace fulmarpoint
