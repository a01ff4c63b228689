#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "coordination/credit_holder.h"
#include "coordination/credit_owner.h"
#include "utils/random.h"
#include "virtual_time.h"

namespace fulmarpoint {

/// How daemons limit the requests at an endpoint to its slots.
enum class LimitMode { kCredits, kFixedShares, kAdaptiveOnly };

inline constexpr std::array<EnumName<LimitMode>, 3> kLimitModeNames = {{
    {LimitMode::kCredits, "credits"},
    {LimitMode::kFixedShares, "baseline: fixed shares"},
    {LimitMode::kAdaptiveOnly, "baseline: adaptive limit only"},
}};

/// Fault injected 40 s after the start.
enum class CreditFault {
  kNone,
  kLoadDoubles,
  kDaemonJoin,
  kDaemonCrash,
  kDaemonPause,
  kPartition,
  kLoadSkew,
  kMessageLoss,
  kLoadDoublesAndPartition
};

inline constexpr std::array<EnumName<CreditFault>, 9> kCreditFaultNames = {{
    {CreditFault::kNone, "none"},
    {CreditFault::kLoadDoubles, "load doubles"},
    {CreditFault::kDaemonJoin, "a daemon joins"},
    {CreditFault::kDaemonCrash, "a daemon dies"},
    {CreditFault::kDaemonPause, "a daemon pauses for 20 s"},
    {CreditFault::kPartition, "daemons partitioned for 30 s"},
    {CreditFault::kLoadSkew, "half of the load moves to one daemon"},
    {CreditFault::kMessageLoss, "a fifth of the messages is lost"},
    {CreditFault::kLoadDoublesAndPartition, "load doubles and daemons partitioned"},
}};

struct CreditScenario {
  std::uint64_t seed = 1;
  LimitMode mode = LimitMode::kCredits;
  CreditFault fault = CreditFault::kNone;
  int daemons = 8;
  int endpoints = 20;
  int slots = 16;
  /// Offered load as a fraction of all slots.
  double load = 0.7;
  /// Age of the load that endpoints report.
  Duration report_age = std::chrono::seconds(1);
};

struct CreditResult {
  /// Largest number of requests in excess of the slots of an endpoint.
  int max_overshoot = 0;
  /// Fraction of endpoint time with more requests than slots.
  double overshoot_time_share = 0.0;
  /// Mean fraction of all slots that is in use in the last 30 s.
  double utilization = 0.0;
  int arrived = 0;
  int rejected = 0;
  /// Messages and bytes that a daemon sends per second: mean over the daemons, and maximum.
  double messages_per_second = 0.0;
  double bytes_per_second = 0.0;
  double max_bytes_per_second = 0.0;
};

/// Simulates a fleet under virtual time, in which each daemon has a real `CreditHolder` and
/// `CreditOwner` or follows a baseline. Not thread-safe.
class CreditSimulation {
 public:
  explicit CreditSimulation(const CreditScenario& scenario);
  CreditResult Run();

 private:
  struct Daemon {
    explicit Daemon(const InstanceId& self) : id(self), holder(self), owner(self) {}
    InstanceId id;
    CreditHolder holder;
    CreditOwner owner;
    bool up = true;
    bool paused = false;
    /// Events that arrived during a pause and are handled after it.
    std::vector<std::function<void()>> deferred_events;
    std::vector<bool> visible_daemons;
    std::vector<bool> known_daemons;
    std::vector<int> subset;
    std::deque<TimePoint> queued;
    /// For the baselines: active requests and limit, per endpoint.
    std::vector<int> active_requests;
    std::vector<double> limit;
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
  };
  struct Endpoint {
    EndpointId id;
    int active = 0;
    TimePoint changed{};
    /// Earlier values of `active`, from which delayed load reports are made.
    std::deque<std::pair<TimePoint, int>> history;
  };

  void AddDaemon();
  void UpdateView(int daemon);
  void RunOrDefer(int daemon, const std::function<void()>& action);
  void Send(int from, int to, std::size_t bytes, std::function<void()> action);
  void OnHolder(int daemon, const CreditHolderEvent& event);
  void OnOwner(int daemon, const CreditOwnerEvent& event);
  void Arrive(int daemon);
  void Dispatch(int daemon);
  int FindEndpoint(int daemon);
  bool HasCapacity(int daemon, int endpoint);
  void Start(int daemon, int endpoint);
  void End(int daemon, int endpoint);
  void ReportLoad(int daemon);
  void InjectFault();
  void Partition();
  void Join();
  void Pause();
  void SetVisible(int observer, int subject, bool visible, Duration delay);
  void ChangeActive(Endpoint& endpoint, int difference);
  void SampleLoad();
  int ReportedActive(const Endpoint& endpoint) const;
  Duration Exponential(Duration mean);
  Duration Uniform(Duration low, Duration high);

  CreditScenario m_scenario;
  Random m_random;
  VirtualTime m_time;
  std::deque<Daemon> m_daemons;
  std::vector<Endpoint> m_endpoints;
  bool m_partitioned = false;
  bool m_load_skewed = false;
  bool m_messages_lost = false;
  double m_load = 0.0;
  double m_overload_seconds = 0.0;
  double m_busy_seconds = 0.0;
  CreditResult m_result;
};

}  // namespace fulmarpoint
