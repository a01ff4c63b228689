#include "rollout_fleet.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace fulmarpoint {

namespace {

RolloutController::Settings Settings() {
  RolloutController::Settings settings;
  settings.canary_share = kExposureShare / 2;
  settings.canary_slack = kExposureSlack / 2;
  settings.exposure_limit = kExposureShare * 0.8;
  settings.min_step = std::chrono::seconds(2);
  settings.watch = Duration::zero();
  return settings;
}

}  // namespace

RolloutFleet::RolloutFleet(const Scenario& scenario, std::uint64_t seed)
    : m_scenario(scenario), m_random(seed) {
  StartController(1);
  for (int index = 0; index < scenario.daemons; ++index) {
    const InstanceId self{"daemon-" + std::to_string(index), 1};
    m_daemons.push_back(
        std::make_unique<RolloutParticipant>(self, "orders", m_rollout, LatenciesBefore()));
  }
}

void RolloutFleet::StartController(std::uint64_t token) {
  m_controller =
      std::make_unique<RolloutController>(InstanceId{"controller", token}, "orders", m_rollout,
                                          token, m_start + m_scenario.within, Settings());
  Handle(RolloutController::CapacityChanged{kEndpointsPerVersion, 1'000'000});
}

void RolloutFleet::MaintainController() {
  if (!m_scenario.controller_lost) return;
  const TimePoint lost = m_start + *m_scenario.controller_lost;
  const bool is_lost = m_now >= lost && m_now < lost + kTakeoverTime;
  if (is_lost) m_controller.reset();
  if (!is_lost && !m_controller) StartController(2);
}

void RolloutFleet::Handle(const RolloutController::Event& event) {
  if (!m_controller) return;
  std::vector<RolloutController::Action> actions;
  m_controller->Handle(event, m_now, actions);
  for (const RolloutController::Action& action : actions) {
    if (std::holds_alternative<RolloutController::ReadRow>(action)) {
      Handle(RolloutController::RowRead{m_row_version, m_row});
    } else if (const auto* write = std::get_if<RolloutController::WriteRow>(&action)) {
      m_row = write->row;
      Handle(RolloutController::RowWritten{++m_row_version});
    } else if (const auto* send = std::get_if<RolloutController::SendDirective>(&action)) {
      m_directives.push_back(send->directive);
    } else if (const auto* notice = std::get_if<RolloutController::PublishGossip>(&action)) {
      for (const std::unique_ptr<RolloutParticipant>& daemon : m_daemons) {
        std::vector<RolloutParticipant::Action> ignored;
        daemon->Handle(RolloutParticipant::GossipReceived{notice->notice}, m_now, ignored);
      }
    }
  }
}

void RolloutFleet::TickDaemons() {
  for (const std::unique_ptr<RolloutParticipant>& daemon : m_daemons) {
    std::vector<RolloutParticipant::Action> actions;
    daemon->Handle(RolloutParticipant::Tick{}, m_now, actions);
    for (const RolloutParticipant::Action& action : actions) {
      const auto* send = std::get_if<RolloutParticipant::SendReport>(&action);
      if (send == nullptr) continue;
      m_directives.clear();
      Handle(RolloutController::ReportReceived{send->report});
      std::vector<RolloutParticipant::Action> ignored;
      for (const RolloutDirective& directive : m_directives) {
        daemon->Handle(RolloutParticipant::DirectiveReceived{directive}, m_now, ignored);
      }
    }
  }
}

/// Returns the latencies that a daemon kept from its requests before the order.
RecentLatencies RolloutFleet::LatenciesBefore() {
  RecentLatencies latencies;
  const double seconds = std::chrono::duration<double>(m_scenario.before).count();
  const double mean =
      seconds * m_scenario.requests_per_second / static_cast<double>(m_scenario.daemons);
  if (mean <= 0) return latencies;
  const std::size_t requests = std::poisson_distribution<std::size_t>(mean)(m_random);
  const std::size_t kept = std::min(requests, RolloutParticipant::kMaxLatenciesPerReport);
  while (latencies.size() < kept) {
    const int route = static_cast<int>(m_random() % 2);
    const std::optional<RouteLatency> latency =
        RolloutParticipant::LatencyOf(MakeOutcome(route, VersionAnswer()));
    if (latency) latencies.push_back(*latency);
  }
  return latencies;
}

VersionOutcome RolloutFleet::MakeOutcome(int route, const VersionAnswer& answer) {
  VersionOutcome outcome;
  outcome.route = route == 0 ? "look" : "place";
  outcome.error = answer.error || std::bernoulli_distribution(BaseErrorRate(route))(m_random);
  const double median_us = static_cast<double>(m_scenario.median_latency.count());
  const double work = std::lognormal_distribution<double>(std::log(median_us), 0.5)(m_random) *
                      answer.latency_factor;
  outcome.latency = Duration(static_cast<Duration::rep>(work));
  return outcome;
}

void RolloutFleet::SendRequest() {
  RolloutParticipant& daemon = *m_daemons[m_random() % m_daemons.size()];
  ++m_result.requests;
  const bool new_version = daemon.ChooseNewVersion(kEndpointsPerVersion, m_now);
  const int route = static_cast<int>(m_random() % 2);
  const int endpoint = static_cast<int>(m_random() % kEndpointsPerVersion);
  VersionAnswer answer;
  if (new_version) {
    const double share = m_controller ? m_controller->SharePpm() / 1e6 : 0.0;
    answer = m_scenario.behaviour(m_now - m_start, share, route, m_random);
    ++m_result.exposed;
    if (m_bad_since && m_now > *m_bad_since + kRollbackTime) ++m_result.late;
  }
  VersionOutcome outcome = MakeOutcome(route, answer);
  outcome.new_version = new_version;
  outcome.endpoint = (new_version ? "new-" : "old-") + std::to_string(endpoint);
  outcome.failure_domain = std::to_string(endpoint % 6);
  const bool is_bad = answer.error || answer.latency_factor > 2.0;
  m_attempts.emplace(m_now + outcome.latency, Attempt{&daemon, outcome, is_bad});
}

void RolloutFleet::EndAttempts() {
  while (!m_attempts.empty() && m_attempts.begin()->first <= m_now) {
    const Attempt attempt = m_attempts.extract(m_attempts.begin()).mapped();
    if (attempt.is_bad && ++m_bad_answers == kBadAnswersUntilDetected) m_bad_since = m_now;
    std::vector<RolloutParticipant::Action> actions;
    attempt.daemon->Handle(RolloutParticipant::OutcomeSeen{attempt.outcome}, m_now, actions);
    for (const RolloutParticipant::Action& action : actions) {
      const auto* notice = std::get_if<RolloutParticipant::PublishGossip>(&action);
      if (notice != nullptr) Handle(RolloutController::GossipReceived{notice->notice});
    }
  }
}

Result RolloutFleet::Run() {
  const double per_step =
      m_scenario.requests_per_second * std::chrono::duration<double>(kStep).count();
  for (; m_now < m_start + m_scenario.within; m_now += kStep) {
    const int count = std::poisson_distribution<int>(per_step)(m_random);
    const bool was_running = !m_result.ended;
    for (int index = 0; index < count; ++index) SendRequest();
    EndAttempts();
    MaintainController();
    TickDaemons();
    Handle(RolloutController::Tick{});
    m_result.phase = m_row ? m_row->phase : RolloutPhase::kCanary;
    m_result.reason = m_row ? m_row->reason : "";
    const bool has_ended =
        m_result.phase == RolloutPhase::kDone || m_result.phase == RolloutPhase::kRolledBack;
    if (was_running && has_ended) m_result.ended = m_now - m_start;
    // The old version's endpoints stop now, so later requests do not count as exposed.
    if (m_result.phase == RolloutPhase::kDone) break;
  }
  return m_result;
}

Behaviour Good() {
  return [](Duration, double, int, Random&) { return VersionAnswer(); };
}

Behaviour FailsFrom(Duration from, double rate) {
  return [=](Duration elapsed, double, int, Random& random) {
    return VersionAnswer{elapsed >= from && std::bernoulli_distribution(rate)(random), 1.0};
  };
}

Behaviour SlowFrom(Duration from, double factor) {
  return [=](Duration elapsed, double, int, Random&) {
    return VersionAnswer{false, elapsed >= from ? factor : 1.0};
  };
}

Behaviour FailsOnOneRoute(double rate) {
  return [=](Duration, double, int route, Random& random) {
    return VersionAnswer{route == 1 && std::bernoulli_distribution(rate)(random), 1.0};
  };
}

Behaviour FailsUnderLoad(double from_share, double rate) {
  return [=](Duration, double share, int, Random& random) {
    return VersionAnswer{share >= from_share && std::bernoulli_distribution(rate)(random), 1.0};
  };
}

}  // namespace fulmarpoint
