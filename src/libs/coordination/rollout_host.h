#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coordination/lease.h"
#include "coordination/rollout_controller.h"
#include "protocol/catalogue.h"

namespace fulmarpoint {

/// Combines the lease and the controller of one rollout at a daemon that is a candidate for the
/// lease. The controller exists while the lease is held. The caller performs the actions. Not
/// thread-safe.
class RolloutHost {
 public:
  struct Options {
    Lease::Options lease;
    RolloutController::Settings controller;
  };
  struct Actions {
    std::vector<Lease::Action> lease;
    std::vector<RolloutController::Action> controller;
  };

  RolloutHost(const InstanceId& self, ServiceName service, RolloutRequest rollout, Options options,
              std::uint64_t seed);

  /// Call regularly. `wall_now` is used for the deadline, which is a wall-clock time.
  void Tick(TimePoint now, UnixMillis wall_now, Actions& actions);
  void HandleLease(const Lease::Event& event, TimePoint now, UnixMillis wall_now, Actions& actions);
  /// Ignored while this daemon does not hold the lease.
  void HandleController(const RolloutController::Event& event, TimePoint now, Actions& actions);

  /// Passes a daemon's report to the controller and returns its directive; nothing while this
  /// daemon does not hold the lease.
  std::optional<RolloutDirective> Answer(const RolloutReport& report, TimePoint now,
                                         Actions& actions);

  /// Returns the latest epoch of the store that is known; a controller exists in no earlier one.
  std::uint64_t Epoch() const { return m_lease.Epoch(); }
  bool MaySend(TimePoint now) const { return m_lease.MaySend(now); }
  /// Returns the controller; null while this daemon does not hold the lease.
  const RolloutController* Controller() const { return m_controller ? &*m_controller : nullptr; }
  const ServiceName& Service() const { return m_service; }
  const RolloutRequest& Rollout() const { return m_rollout; }
  /// Returns why the deadline is at risk, as set by `SetRisk`; empty if it is not.
  const std::string& Risk() const { return m_risk; }
  void SetRisk(std::string risk) { m_risk = std::move(risk); }

 private:
  InstanceId m_self;
  ServiceName m_service;
  RolloutRequest m_rollout;
  RolloutController::Settings m_controller_settings;
  Lease m_lease;
  std::optional<TimePoint> m_lease_timer;
  std::optional<RolloutController> m_controller;
  std::string m_risk;
  bool m_started = false;
};

}  // namespace fulmarpoint
