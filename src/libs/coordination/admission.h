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

/// A request is complete and may be sent when it has a slot.
struct AdmissionRequested {
  std::uint64_t request = 0;
  OrganisationId organisation;
  /// Share of the organisation relative to others.
  int weight = 1;
  /// Most requests of the organisation that this daemon runs or keeps waiting.
  int max_concurrent = 64;
  Priority priority = Priority::kNormal;
  /// The request is useless if it starts later.
  TimePoint deadline{};
};

/// An admitted request ended, in any way, and freed its slot.
struct AdmissionEnded {
  std::uint64_t request = 0;
};

/// The caller of a waiting request left.
struct AdmissionAbandoned {
  std::uint64_t request = 0;
};

/// The number of requests that this daemon may run at the endpoints of the service changed.
/// `expected` is the number that it can probably have in a moment, for example because endpoints
/// report free slots for which this daemon has no credits yet: requests wait for these instead of
/// being refused. Not more than `slots` if there is no such number.
struct AdmissionSlotsChanged {
  int slots = 0;
  int expected = 0;
};

/// Raise every 100 ms while requests wait.
struct AdmissionTimerFired {};

using AdmissionEvent = std::variant<AdmissionRequested, AdmissionEnded, AdmissionAbandoned,
                                    AdmissionSlotsChanged, AdmissionTimerFired>;

struct Admit {
  std::uint64_t request = 0;
};

/// The request has not run. `retry_after` is the time after which it would probably be admitted.
struct RejectRequest {
  std::uint64_t request = 0;
  ResultCode code = ResultCode::kOverloaded;
  Duration retry_after{};
};

using AdmissionAction = std::variant<Admit, RejectRequest>;

struct AdmissionSettings {
  /// Longest predicted wait by priority.
  std::array<Duration, 3> patience = {std::chrono::seconds(3), std::chrono::seconds(3),
                                      std::chrono::seconds(10)};
  /// Assumed run time before any request has ended.
  Duration initial_run_time = std::chrono::seconds(5);
  std::size_t max_waiting = 10000;
};

/// Admission to one service at one daemon: predicts the wait, refuses at once what would wait too
/// long, and shares the slots between organisations by deficit round robin whose costs are slot
/// time. Slots that an organisation does not use go to the others and return to it as runs end.
/// Holds state only for organisations with waiting or running requests. Not thread-safe.
class Admission {
 public:
  using Actions = std::vector<AdmissionAction>;

  explicit Admission(AdmissionSettings settings = {}) : m_settings(settings) {}

  void Handle(const AdmissionEvent& event, TimePoint now, Actions& actions);

  /// Predicted wait of a further request of the organisation.
  Duration PredictWait(const OrganisationId& organisation, int weight, Priority priority) const;

  int Running() const { return static_cast<int>(m_running.size()); }
  std::size_t Waiting() const { return m_waiting.size(); }
  std::size_t ActiveOrganisations() const { return m_organisations.size(); }

 private:
  static constexpr std::size_t kPriorities = 3;
  struct Waiter {
    std::uint64_t request = 0;
    /// Refused if not admitted by then.
    TimePoint latest_start{};
  };
  struct Queue {
    std::deque<Waiter> waiters;
    /// Slot seconds that the organisation may use before the others have their turn.
    double deficit = 0.0;
  };
  struct Organisation {
    int weight = 1;
    int running = 0;
    int waiting = 0;
    /// Mean slot seconds of its runs; 0 before the first has ended.
    double run_time = 0.0;
    std::array<Queue, kPriorities> queues;
  };
  struct Position {
    OrganisationId organisation;
    std::size_t priority = 0;
  };
  struct ActiveRun {
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
  void DropIfIdle(const OrganisationId& id);

  AdmissionSettings m_settings;
  int m_slots = 0;
  /// At least `m_slots`.
  int m_expected = 0;
  std::unordered_map<OrganisationId, Organisation> m_organisations;
  /// Organisations with waiting requests, by priority, in the order of their turns.
  std::array<std::deque<OrganisationId>, kPriorities> m_turns;
  std::unordered_map<std::uint64_t, Position> m_waiting;
  std::unordered_map<std::uint64_t, ActiveRun> m_running;
  /// Ended runs and busy slot seconds, both with exponential decay. Their quotient estimates the
  /// run time without waiting for the end of long runs.
  double m_ended = 0.0;
  double m_busy_seconds = 0.0;
  TimePoint m_accounted{};
  int m_admitted_since_lowest = 0;
};

}  // namespace fulmarpoint
