#include "rollout_simulation.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <random>
#include <utility>

#include "utils/overloaded.h"

namespace fulmarpoint {

namespace {

constexpr Duration kFaultDelay = std::chrono::minutes(4);
constexpr Duration kBrownOutStart = std::chrono::seconds(30);
constexpr Duration kBrownOutLength = std::chrono::seconds(90);
constexpr Duration kMaxReactionTime = std::chrono::seconds(3);
constexpr Duration kWatchPeriod = std::chrono::minutes(5);
constexpr double kLoadThreshold = 0.4;
constexpr double kMedianLatencyUs = 250'000;
constexpr double kLatencySigma = 0.35;
constexpr std::uint32_t kFullSharePpm = 1'000'000;
constexpr std::array<std::uint32_t, 4> kFixedStepSharesPpm = {50'000, 250'000, 500'000,
                                                              kFullSharePpm};
constexpr double kFixedErrorThreshold = 0.05;
constexpr std::uint64_t kFixedMinRequests = 20;

class Simulation {
 public:
  explicit Simulation(const RolloutScenario& scenario)
      : m_scenario(scenario),
        m_random(scenario.seed),
        m_controller({"controller", 1}, "assistant", kRollout, 1, TimePoint(scenario.deadline),
                     ControllerSettings()) {
    for (int i = 0; i < scenario.daemons; ++i) {
      m_daemons.push_back(std::make_unique<RolloutParticipant>(
          InstanceId{"daemon-" + std::to_string(i), 1}, "assistant", kRollout));
    }
  }

  RolloutOutcome Run() {
    ToController(RolloutController::CapacityChanged{m_scenario.endpoints, kFullSharePpm});
    for (std::size_t i = 0; i < m_daemons.size(); ++i) TickDaemon(i);
    TickController();
    ScheduleRequest();
    const TimePoint end(m_scenario.deadline + kWatchPeriod);
    while (!m_events.empty() && m_now < end) {
      const Scheduled event = m_events.top();
      m_events.pop();
      m_now = event.at;
      event.run();
    }
    return m_outcome;
  }

 private:
  struct Scheduled {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Scheduled& other) const {
      return std::tie(other.at, other.order) < std::tie(at, order);
    }
  };

  static inline const RolloutRequest kRollout{"move-1", "v1", "v2", 0};

  static RolloutController::Settings ControllerSettings() {
    RolloutController::Settings settings;
    settings.watch = kWatchPeriod;
    return settings;
  }

  void After(Duration delay, std::function<void()> run) {
    m_events.push(Scheduled{m_now + delay, m_order++, std::move(run)});
  }

  double Uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

  void ScheduleRequest() {
    const double wait =
        std::exponential_distribution<double>(m_scenario.requests_per_second)(m_random);
    After(Duration(static_cast<Duration::rep>(wait * 1e6)), [this] {
      Arrive();
      ScheduleRequest();
    });
  }

  void Arrive() {
    const std::size_t daemon = m_random() % m_daemons.size();
    const bool new_version = UsesNewVersion(daemon);
    VersionOutcome outcome;
    outcome.new_version = new_version;
    outcome.route = Uniform() < 0.2 ? "rare" : "common";
    const int endpoint = PickEndpoint(daemon, new_version);
    outcome.endpoint = "engine-" + std::to_string(endpoint);
    outcome.failure_domain = "domain-" + std::to_string(endpoint % 4);
    CountRequest(new_version);
    const bool harmed = new_version && IsAffectedByFault(outcome.route, endpoint);
    const bool slow = harmed && m_scenario.fault == VersionFault::kSlowAtOnce;
    double error_rate = m_scenario.base_error_rate;
    if (harmed && !slow) error_rate = m_scenario.bad_error_rate;
    if (m_scenario.fault == VersionFault::kBrownOut && IsInBrownOut()) error_rate = 0.2;
    if (m_scenario.fault == VersionFault::kBadEndpoint && new_version && endpoint == 0) {
      error_rate = 0.8;
    }
    outcome.error = Uniform() < error_rate;
    const double factor = slow ? m_scenario.slow_factor : 1.0;
    const double latency = std::lognormal_distribution<double>(std::log(kMedianLatencyUs * factor),
                                                               kLatencySigma)(m_random);
    outcome.latency = Duration(static_cast<Duration::rep>(latency));
    if (harmed && (slow || outcome.error)) ++m_outcome.harmed_requests;
    After(outcome.latency, [this, daemon, outcome] { Finish(daemon, outcome); });
  }

  bool UsesNewVersion(std::size_t daemon) {
    if (m_scenario.policy == RolloutPolicy::kFulmarpoint) {
      return m_daemons[daemon]->ChooseNewVersion(m_scenario.endpoints, m_now);
    }
    if (m_fixed_rolled_back) return false;
    return m_random() % kFullSharePpm < m_fixed_share_ppm;
  }

  int PickEndpoint(std::size_t daemon, bool new_version) {
    for (int attempt = 0; attempt < 20; ++attempt) {
      const int endpoint = static_cast<int>(m_random() % m_scenario.endpoints);
      if (!new_version || m_scenario.policy != RolloutPolicy::kFulmarpoint) return endpoint;
      if (m_daemons[daemon]->MayUse("engine-" + std::to_string(endpoint))) return endpoint;
    }
    return 0;
  }

  void CountRequest(bool new_version) {
    ++m_outcome.requests;
    m_recent_new_version_share = 0.98 * m_recent_new_version_share + (new_version ? 0.02 : 0.0);
    const bool in_canary_phase =
        m_scenario.policy == RolloutPolicy::kFulmarpoint
            ? m_controller.Phase() == RolloutPhase::kCanary
            : m_fixed_share_ppm < kFixedStepSharesPpm[1] || m_fixed_requests < 20;
    if (in_canary_phase) ++m_outcome.canary_phase_requests;
    if (!new_version) return;
    ++m_outcome.new_version_requests;
    if (in_canary_phase) ++m_outcome.canary_phase_new_requests;
    if (m_detected_at && m_now > *m_detected_at + kMaxReactionTime) ++m_outcome.late_requests;
  }

  bool IsInBrownOut() const {
    return m_now >= TimePoint(kBrownOutStart) &&
           m_now < TimePoint(kBrownOutStart + kBrownOutLength);
  }

  bool IsAffectedByFault(const std::string& route, int endpoint) const {
    switch (m_scenario.fault) {
      case VersionFault::kFailsAtOnce:
      case VersionFault::kSlowAtOnce:
        return true;
      case VersionFault::kFailsLater:
        return m_now >= TimePoint(kFaultDelay);
      case VersionFault::kFailsUnderLoad:
        return m_recent_new_version_share > kLoadThreshold;
      case VersionFault::kFailsOnOneRoute:
        return route == "rare";
      case VersionFault::kFailsOnTwoEndpoints:
        return endpoint < 2;
      case VersionFault::kNone:
      case VersionFault::kBadEndpoint:
      case VersionFault::kBrownOut:
        return false;
    }
    return false;
  }

  void Finish(std::size_t daemon, const VersionOutcome& outcome) {
    if (m_scenario.policy == RolloutPolicy::kFulmarpoint) {
      ToDaemon(daemon, RolloutParticipant::OutcomeSeen{outcome});
      return;
    }
    if (!outcome.new_version || m_fixed_rolled_back) return;
    ++m_fixed_requests;
    if (outcome.error) ++m_fixed_errors;
    const double rate = static_cast<double>(m_fixed_errors) / static_cast<double>(m_fixed_requests);
    if (m_fixed_requests >= kFixedMinRequests && rate > kFixedErrorThreshold) {
      m_fixed_rolled_back = true;
      RecordDetection();
      End(false);
    }
  }

  void RecordDetection() {
    if (!m_detected_at) m_detected_at = m_now;
  }

  void End(bool done) {
    if (m_outcome.done || m_outcome.rolled_back) {
      if (!done) m_outcome.rolled_back = true;
      return;
    }
    m_outcome.done = done;
    m_outcome.rolled_back = !done;
    m_outcome.ended_after = m_now - TimePoint{};
  }

  void TickDaemon(std::size_t daemon) {
    if (m_scenario.policy != RolloutPolicy::kFulmarpoint) return;
    ToDaemon(daemon, RolloutParticipant::Tick{});
    After(std::chrono::milliseconds(100 + m_random() % 20), [this, daemon] { TickDaemon(daemon); });
  }

  void TickController() {
    if (m_scenario.policy == RolloutPolicy::kFulmarpoint) {
      ToController(RolloutController::Tick{});
      After(std::chrono::milliseconds(250), [this] { TickController(); });
      return;
    }
    const std::size_t steps =
        m_scenario.policy == RolloutPolicy::kAllAtOnce ? 1 : kFixedStepSharesPpm.size();
    if (m_fixed_step < steps && !m_fixed_rolled_back) {
      m_fixed_share_ppm = steps == 1 ? kFullSharePpm : kFixedStepSharesPpm[m_fixed_step];
      ++m_fixed_step;
    } else if (m_fixed_step == steps && !m_fixed_rolled_back) {
      ++m_fixed_step;
      End(true);
    }
    After(m_scenario.deadline / 5, [this] { TickController(); });
  }

  void ToDaemon(std::size_t daemon, const RolloutParticipant::Event& event) {
    std::vector<RolloutParticipant::Action> actions;
    m_daemons[daemon]->Handle(event, m_now, actions);
    for (const RolloutParticipant::Action& action : actions) {
      std::visit(Overloaded{[&](const RolloutParticipant::SendReport& send) {
                              After(m_scenario.message_delay, [this, send] {
                                ToController(RolloutController::ReportReceived{send.report});
                              });
                            },
                            [&](const RolloutParticipant::PublishGossip& publish) {
                              GossipBadVersion(publish.notice);
                            }},
                 action);
    }
  }

  void GossipBadVersion(const BadVersionNotice& notice) {
    if (m_published) return;
    m_published = true;
    RecordDetection();
    After(m_scenario.gossip_delay,
          [this, notice] { ToController(RolloutController::GossipReceived{notice}); });
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
      const double mean_us = static_cast<double>(m_scenario.gossip_delay.count());
      const Duration delay(static_cast<Duration::rep>(Uniform() * 2 * mean_us));
      After(delay, [this, i, notice] { ToDaemon(i, RolloutParticipant::GossipReceived{notice}); });
    }
  }

  void ToController(const RolloutController::Event& event) {
    std::vector<RolloutController::Action> actions;
    m_controller.Handle(event, m_now, actions);
    for (const RolloutController::Action& action : actions) {
      std::visit(
          Overloaded{[&](const RolloutController::ReadRow&) {
                       After(m_scenario.message_delay, [this] {
                         ToController(RolloutController::RowRead{m_row_version, m_row});
                       });
                     },
                     [&](const RolloutController::WriteRow& write) { Write(write); },
                     [&](const RolloutController::SendDirective& send) { DeliverDirective(send); },
                     [&](const RolloutController::PublishGossip& publish) {
                       GossipBadVersion(publish.notice);
                     },
                     [&](const RolloutController::ReportEnd& end) {
                       End(end.row.phase == RolloutPhase::kDone);
                     },
                     [](const RolloutController::ReportAtRisk&) {}},
          action);
    }
  }

  void Write(const RolloutController::WriteRow& write) {
    After(m_scenario.message_delay, [this, write] {
      m_row = write.row;
      ++m_row_version;
      if (write.row.regressed_after_done) End(false);
      ToController(RolloutController::RowWritten{m_row_version});
    });
  }

  void DeliverDirective(const RolloutController::SendDirective& send) {
    const std::size_t daemon = std::stoul(send.to.name.substr(send.to.name.find('-') + 1));
    After(m_scenario.message_delay, [this, daemon, send] {
      ToDaemon(daemon, RolloutParticipant::DirectiveReceived{send.directive});
    });
  }

  RolloutScenario m_scenario;
  Random m_random;
  TimePoint m_now{};
  std::uint64_t m_order = 0;
  std::priority_queue<Scheduled> m_events;
  std::vector<std::unique_ptr<RolloutParticipant>> m_daemons;
  RolloutController m_controller;
  std::optional<RolloutRow> m_row;
  std::uint64_t m_row_version = 0;
  RolloutOutcome m_outcome;
  std::optional<TimePoint> m_detected_at;
  bool m_published = false;
  double m_recent_new_version_share = 0;

  std::uint32_t m_fixed_share_ppm = 0;
  std::size_t m_fixed_step = 0;
  std::uint64_t m_fixed_requests = 0;
  std::uint64_t m_fixed_errors = 0;
  bool m_fixed_rolled_back = false;
};

}  // namespace

RolloutOutcome SimulateRollout(const RolloutScenario& scenario) {
  return Simulation(scenario).Run();
}

}  // namespace fulmarpoint
