#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <variant>
#include <vector>

#include "coordination/router.h"
#include "protocol/identifiers.h"
#include "protocol/result_code.h"
#include "utils/time.h"

namespace fulmarpoint {

/// A request has been received completely and waits for a slot.
struct AdmissionRequested {
  std::uint64_t request = 0;
  OrganisationId organisation;
  /// Share of the organisation relative to the weights of others.
  int weight = 1;
  /// Maximum number of requests of the organisation that run or wait at this daemon.
  int max_concurrent = 64;
  Priority priority = Priority::kNormal;
  /// Latest useful start.
  TimePoint deadline{};
};

/// An admitted request ended, whatever its result, and freed its slot.
struct AdmissionEnded {
  std::uint64_t request = 0;
};

/// The caller of a waiting request disconnected.
struct AdmissionAbandoned {
  std::uint64_t request = 0;
};

/// The number of requests that this daemon may run at the endpoints of the service changed to
/// `slots`. `expected` is the number of slots that it can probably get soon, for example because
/// endpoints report free slots for which this daemon has no credits yet. Requests wait for expected
/// slots instead of being rejected. Values below `slots` have no effect.
struct AdmissionSlotsChanged {
  int slots = 0;
  int expected = 0;
};

/// Send every 100 ms while requests wait.
struct AdmissionTimerFired {};

using AdmissionEvent = std::variant<AdmissionRequested, AdmissionEnded, AdmissionAbandoned,
                                    AdmissionSlotsChanged, AdmissionTimerFired>;

struct Admit {
  std::uint64_t request = 0;
};

/// The request is rejected without having run. `retry_after` is the time after which it would
/// probably be admitted.
struct RejectRequest {
  std::uint64_t request = 0;
  ResultCode code = ResultCode::kOverloaded;
  Duration retry_after{};
};

using AdmissionAction = std::variant<Admit, RejectRequest>;

struct AdmissionSettings {
  /// Longest predicted wait with which a request is queued, by priority.
  std::array<Duration, 3> patience = {std::chrono::seconds(3), std::chrono::seconds(3),
                                      std::chrono::seconds(10)};
  /// Assumed run time before any request has ended.
  Duration initial_run_time = std::chrono::seconds(5);
  std::size_t max_waiting = 10000;
};

/// Admission control for one service at one daemon. Predicts how long a request would wait and
/// rejects it at once if that is too long. Shares the slots between organisations by deficit round
/// robin with the slot time as cost. Slots that an organisation does not use go to the others and
/// return to it as their requests end. Holds state only for organisations with waiting or running
/// requests. Not thread-safe.
class Admission {
 public:
  using Actions = std::vector<AdmissionAction>;

  explicit Admission(AdmissionSettings settings = {}) : m_settings(settings) {}

  void Handle(const AdmissionEvent& event, TimePoint now, Actions& actions);

  /// Returns the predicted wait of a further request of the organisation.
  Duration PredictWait(const OrganisationId& organisation, int weight, Priority priority) const;

  int Running() const { return static_cast<int>(m_running.size()); }
  std::size_t Waiting() const { return m_waiting.size(); }
  std::size_t ActiveOrganisations() const { return m_organisations.size(); }

 private:
  static constexpr std::size_t kPriorities = 3;
  struct Waiter {
    std::uint64_t request = 0;
    /// The request is rejected if it is not admitted by then.
    TimePoint latest_start{};
  };
  struct Queue {
    std::deque<Waiter> waiters;
    /// Deficit counter of the deficit round robin: the cost, relative to the mean of all requests,
    /// that the organisation may still spend in its turn.
    double deficit = 0.0;
  };
  struct Organisation {
    int weight = 1;
    int running = 0;
    int waiting = 0;
    /// Moving average of the run time of its requests in seconds; 0 before the first has ended.
    double run_time = 0.0;
    std::array<Queue, kPriorities> queues;
  };
  struct Position {
    OrganisationId organisation;
    std::size_t priority = 0;
  };
  struct RunningRequest {
    OrganisationId organisation;
    TimePoint started{};
  };

  void On(const AdmissionRequested& event, TimePoint now, Actions& actions);
  void On(const AdmissionEnded& event, TimePoint now, Actions& actions);
  void On(const AdmissionAbandoned& event, TimePoint now, Actions& actions);
  void On(const AdmissionSlotsChanged& event, TimePoint now, Actions& actions);
  void On(const AdmissionTimerFired& event, TimePoint now, Actions& actions);

  void AccountBusyTime(TimePoint now);
  double MeanRunTime() const;
  double CompletionsPerSecond() const;
  double CostOf(const Organisation& organisation) const;
  void FillSlots(TimePoint now, Actions& actions);
  bool AdmitOne(TimePoint now, Actions& actions);
  bool AdmitFrom(std::size_t priority, TimePoint now, Actions& actions);
  void RemoveWaiter(std::uint64_t request);
  void RemoveIfIdle(const OrganisationId& id);

  AdmissionSettings m_settings;
  int m_slots = 0;
  /// At least `m_slots`.
  int m_expected = 0;
  std::unordered_map<OrganisationId, Organisation> m_organisations;
  /// Organisations with waiting requests, by priority, in the order of the round robin.
  std::array<std::deque<OrganisationId>, kPriorities> m_round_robin;
  std::unordered_map<std::uint64_t, Position> m_waiting;
  std::unordered_map<std::uint64_t, RunningRequest> m_running;
  /// Number of ended requests and busy slot time in seconds, both with exponential decay. Their
  /// quotient estimates the run time without waiting for long requests to end.
  double m_ended_weight = 0.0;
  double m_busy_seconds = 0.0;
  TimePoint m_accounted_at{};
  int m_admitted_since_lowest = 0;
};

}  // namespace fulmarpoint
