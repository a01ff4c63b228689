#include "coordination/rollout_host.h"

#include <utility>
#include <variant>

namespace fulmarpoint {

RolloutHost::RolloutHost(const InstanceId& self, ServiceName service, RolloutRequest rollout,
                         Options options, std::uint64_t seed)
    : m_self(self),
      m_service(std::move(service)),
      m_rollout(std::move(rollout)),
      m_controller_settings(options.controller),
      m_lease("rollout/" + m_rollout.id, self, options.lease, seed) {}

void RolloutHost::Tick(TimePoint now, UnixMillis wall_now, Actions& actions) {
  if (!m_started) {
    m_started = true;
    HandleLease(Lease::CandidateChanged{true}, now, wall_now, actions);
    HandleLease(Lease::Start{}, now, wall_now, actions);
  }
  if (m_lease_timer && now >= *m_lease_timer) {
    m_lease_timer.reset();
    HandleLease(Lease::TimerFired{}, now, wall_now, actions);
  }
  HandleController(RolloutController::Tick{}, now, actions);
}

void RolloutHost::HandleLease(const Lease::Event& event, TimePoint now, UnixMillis wall_now,
                              Actions& actions) {
  std::vector<Lease::Action> emitted;
  m_lease.Handle(event, now, emitted);
  for (Lease::Action& action : emitted) {
    if (const Lease::SetTimer* timer = std::get_if<Lease::SetTimer>(&action)) {
      m_lease_timer = timer->at;
    } else if (const Lease::Acquired* acquired = std::get_if<Lease::Acquired>(&action)) {
      const TimePoint deadline = now + std::chrono::milliseconds(m_rollout.deadline - wall_now);
      m_controller.emplace(m_self, m_service, m_rollout, acquired->fencing_token, deadline,
                           m_controller_settings);
    } else if (std::holds_alternative<Lease::Lost>(action)) {
      m_controller.reset();
    } else {
      actions.lease.push_back(std::move(action));
    }
  }
}

void RolloutHost::HandleController(const RolloutController::Event& event, TimePoint now,
                                   Actions& actions) {
  if (m_controller && MaySend(now)) m_controller->Handle(event, now, actions.controller);
}

std::optional<RolloutDirective> RolloutHost::Answer(const RolloutReport& report, TimePoint now,
                                                    Actions& actions) {
  HandleController(RolloutController::ReportReceived{report}, now, actions);
  std::optional<RolloutDirective> directive;
  for (const RolloutController::Action& action : actions.controller) {
    const auto* send = std::get_if<RolloutController::SendDirective>(&action);
    if (send != nullptr) directive = send->directive;
  }
  return directive;
}

}  // namespace fulmarpoint
