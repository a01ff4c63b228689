#pragma once

#include <functional>
#include <memory>

#include "protocol/rollout_messages.h"
#include "server/services.h"
#include "transport/http_message.h"
#include "transport/task.h"

namespace fulmarpoint {

class ControlPlaneDriver;
class PeerService;

/// Runs the rollouts of this daemon: sends the reports of this participant to the controllers, and
/// runs the controllers whose lease this daemon holds. The two members that rank first for a
/// rollout are candidates for its lease, so that the cost of a rollout does not grow with the
/// fleet. Thread-safe.
class RolloutDriver {
 public:
  using BadVersionPublisher = std::function<void(const BadVersionNotice&)>;

  RolloutDriver(Services& services, PeerService& peers, ControlPlaneDriver& control,
                BadVersionPublisher publish);
  ~RolloutDriver();
  RolloutDriver(const RolloutDriver&) = delete;
  RolloutDriver& operator=(const RolloutDriver&) = delete;

  /// Connects the driver to the peer service. Call once, before the peer service starts.
  void Connect();
  void Start();
  void Stop();
  /// Answers GET /v1/admin/rollouts with the rows of the table service and, for rollouts that this
  /// daemon controls, with the current share of the traffic and the reason why its deadline is at
  /// risk.
  Task<HttpReply> AnswerRollouts();

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
