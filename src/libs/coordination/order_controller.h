#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "coordination/lease.h"
#include "protocol/catalogue.h"
#include "protocol/identifiers.h"
#include "utils/enum_names.h"
#include "utils/time.h"

namespace fulmarpoint {

enum class OrderAction { kLoad, kUnload };

inline constexpr std::array<EnumName<OrderAction>, 2> kOrderActionNames = {{
    {OrderAction::kLoad, "load"},
    {OrderAction::kUnload, "unload"},
}};

/// Reason for an order.
enum class OrderCause { kMissing, kCapacityLost, kNotWanted };

inline constexpr std::array<EnumName<OrderCause>, 3> kOrderCauseNames = {{
    {OrderCause::kMissing, "missing"},
    {OrderCause::kCapacityLost, "capacity_lost"},
    {OrderCause::kNotWanted, "not_wanted"},
}};

enum class OrderEventKind {
  kLeaseAcquired,
  kLeaseLost,
  kSent,
  kAnswered,
  kRejected,
  kCompleted,
  kTimedOut,
  kEngineRestarted,
  kNoEngine,
};

inline constexpr std::array<EnumName<OrderEventKind>, 9> kOrderEventKindNames = {{
    {OrderEventKind::kLeaseAcquired, "lease_acquired"},
    {OrderEventKind::kLeaseLost, "lease_lost"},
    {OrderEventKind::kSent, "sent"},
    {OrderEventKind::kAnswered, "answered"},
    {OrderEventKind::kRejected, "rejected"},
    {OrderEventKind::kCompleted, "completed"},
    {OrderEventKind::kTimedOut, "timed_out"},
    {OrderEventKind::kEngineRestarted, "engine_restarted"},
    {OrderEventKind::kNoEngine, "no_engine"},
}};

/// A model in one version.
struct ModelVersion {
  std::string model;
  VersionName version;

  bool operator==(const ModelVersion&) const = default;
  bool operator<(const ModelVersion& other) const {
    return std::tie(model, version) < std::tie(other.model, other.version);
  }
};

/// What the catalogue requires for one version of a model service.
struct ModelDemand {
  ServiceName service;
  ModelVersion model;
  /// Number of engines that must have it loaded; 0 if it is to be unloaded.
  std::size_t wanted = 0;
  /// Engines on which the catalogue allows it.
  std::set<EndpointId> allowed;
  FencingSupport fencing = FencingSupport::kIgnored;
};

/// A step in the handling of orders and its cause, for `/v1/admin` and for tests.
struct OrderEvent {
  TimePoint at;
  OrderEventKind kind = OrderEventKind::kSent;
  EndpointId endpoint;
  OrderAction action = OrderAction::kLoad;
  ModelVersion model;
  OrderCause cause = OrderCause::kMissing;
  std::uint64_t fencing_token = 0;
};

/// Brings engines to the state that the catalogue requires by sending idempotent orders, which name
/// the desired result. Runs on the holder of the lease for a shard of engines. At most one order
/// per engine is open, and at most 10% of a service's endpoints, but at least one, change at once.
/// Loads are limited to the rate of the weight store; the service that lacks the largest share
/// comes first. A new holder sends no order to an engine that ignores fencing tokens until every
/// order of its predecessor has arrived or failed and the engine has reported since then. Not
/// thread-safe.
class OrderController {
 public:
  struct Options {
    /// Longer than any order can be in transit.
    Duration successor_wait = std::chrono::seconds(15);
    Duration order_timeout = std::chrono::minutes(2);
    Duration backoff_start = std::chrono::seconds(5);
    Duration backoff_limit = std::chrono::minutes(5);
    /// Interval between two loads from the weight store.
    Duration load_interval = std::chrono::seconds(2);
    /// The state of an engine counts as unknown if its last report is older than this.
    Duration report_limit = std::chrono::seconds(10);
    std::size_t max_change_percent = 10;
    std::size_t max_events = 1000;
    /// Fault injection for tests: each switch breaks one rule.
    bool mutate_skip_successor_wait = false;
    bool mutate_ignore_open_orders = false;
    bool mutate_ignore_change_limit = false;
  };

  struct LeaseAcquired {
    std::uint64_t fencing_token = 0;
  };
  struct LeaseLost {};
  struct DemandChanged {
    std::vector<ModelDemand> demands;
  };
  struct EngineReport {
    EndpointId endpoint;
    std::uint64_t incarnation = 0;
    bool leaving = false;
    std::set<ModelVersion> loaded;
  };
  struct EngineFailed {
    EndpointId endpoint;
  };
  enum class Answer { kAccepted, kRejected, kStaleToken, kUnknown };
  struct OrderAnswered {
    std::uint64_t order = 0;
    Answer answer = Answer::kUnknown;
  };
  struct TimerFired {};
  using Event = std::variant<LeaseAcquired, LeaseLost, DemandChanged, EngineReport, EngineFailed,
                             OrderAnswered, TimerFired>;

  /// The driver sends the order only before `send_before`, and only while `Lease::MaySend` holds.
  struct SendOrder {
    std::uint64_t order = 0;
    EndpointId endpoint;
    std::uint64_t fencing_token = 0;
    OrderAction action = OrderAction::kLoad;
    ModelVersion model;
    TimePoint send_before;
  };
  struct SetTimer {
    TimePoint at;
  };
  using Action = std::variant<SendOrder, SetTimer>;

  /// `lease` must outlive the controller.
  OrderController(const Lease& lease, Options options) : m_lease(lease), m_options(options) {}

  void Handle(const Event& event, TimePoint now, std::vector<Action>& actions);

  /// Returns the latest events, oldest first.
  const std::deque<OrderEvent>& Events() const { return m_events; }
  std::size_t OpenOrders() const;

 private:
  using Actions = std::vector<Action>;
  struct OpenOrder {
    std::uint64_t id = 0;
    OrderAction action = OrderAction::kLoad;
    ModelVersion model;
    ServiceName service;
    OrderCause cause = OrderCause::kMissing;
    TimePoint sent{};
    /// The engine answered, so the order is no longer in transit.
    bool answered = false;
  };
  struct Backoff {
    Duration delay{};
    TimePoint until{};
  };
  struct Engine {
    std::uint64_t incarnation = 0;
    bool leaving = false;
    bool failed = false;
    std::set<ModelVersion> loaded;
    std::optional<TimePoint> reported;
    std::optional<OpenOrder> order;
    std::map<ModelVersion, Backoff> backoff;
  };
  /// A demand and the number of engines that satisfy it.
  struct Gap {
    const ModelDemand* demand = nullptr;
    std::size_t supply = 0;
    bool capacity_lost = false;
  };

  void On(const LeaseAcquired& event, TimePoint now, Actions& actions);
  void On(const LeaseLost& event, TimePoint now, Actions& actions);
  void On(const DemandChanged& event, TimePoint now, Actions& actions);
  void On(const EngineReport& event, TimePoint now, Actions& actions);
  void On(const EngineFailed& event, TimePoint now, Actions& actions);
  void On(const OrderAnswered& event, TimePoint now, Actions& actions);
  void On(const TimerFired& event, TimePoint now, Actions& actions);

  void Plan(TimePoint now, Actions& actions);
  std::vector<Gap> Gaps(TimePoint now) const;
  void PlanLoad(const Gap& gap, TimePoint now, Actions& actions);
  void PlanUnload(const ModelDemand& demand, TimePoint now, Actions& actions);
  bool MayOrder(const Engine& engine, const ModelDemand& demand, TimePoint now) const;
  bool IsWithinChangeLimit(const EndpointId& endpoint, const ModelDemand& demand,
                           TimePoint now) const;
  bool IsCurrent(const Engine& engine, TimePoint now) const;
  bool Serves(const Engine& engine, const ServiceName& service) const;
  void Send(const EndpointId& endpoint, OrderAction action, const ModelDemand& demand,
            OrderCause cause, TimePoint now, Actions& actions);
  void Close(const EndpointId& endpoint, Engine& engine, OrderEventKind kind, TimePoint now);
  void Record(OrderEvent event);

  const Lease& m_lease;
  Options m_options;
  bool m_active = false;
  std::uint64_t m_fencing_token = 0;
  TimePoint m_acquired_at{};
  std::uint64_t m_next_order = 1;
  TimePoint m_next_load{};
  bool m_timer_set = false;
  std::vector<ModelDemand> m_demands;
  std::map<EndpointId, Engine> m_engines;
  std::deque<OrderEvent> m_events;
  std::set<ModelVersion> m_no_engine;
};

}  // namespace fulmarpoint
