#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "coordination/rollout_controller.h"
#include "coordination/rollout_participant.h"
#include "utils/random.h"

using namespace fulmarpoint;

namespace {

// Required bounds.
constexpr double kExposureShare = 0.1;
constexpr int kExposureSlack = 50;
constexpr Duration kRollbackTime = std::chrono::seconds(5);
constexpr int kBadAnswersUntilDetected = 50;

constexpr Duration kStep = std::chrono::milliseconds(50);
constexpr Duration kTakeoverTime = std::chrono::seconds(5);
constexpr int kEndpointsPerVersion = 12;
constexpr Duration kShortLatency = std::chrono::milliseconds(55);
constexpr Duration kLongLatency = std::chrono::seconds(1);

/// What a version adds to the behaviour of a request.
struct VersionAnswer {
  bool error = false;
  double latency_factor = 1.0;
};
/// `elapsed` is the time since the start of the rollout, `share` the new version's share of all
/// requests.
using Behaviour =
    std::function<VersionAnswer(Duration elapsed, double share, int route, Random& random)>;

struct Scenario {
  const char* name;
  int daemons = 195;
  double requests_per_second = 150.0;
  Duration within = std::chrono::seconds(30);
  Behaviour behaviour;
  /// When the controller is lost. Another takes over after `kTakeoverTime`.
  std::optional<Duration> controller_lost = std::nullopt;
  Duration median_latency = kShortLatency;
};

struct Result {
  RolloutPhase phase = RolloutPhase::kCanary;
  std::string reason;
  std::optional<Duration> ended;
  int requests = 0;
  int exposed = 0;
  /// Requests to the new version more than `kRollbackTime` after its 50th bad answer.
  int late = 0;
};

/// Simulates, in virtual time, daemons with their requests and a controller with a working store.
class RolloutFleet {
 public:
  RolloutFleet(const Scenario& scenario, std::uint64_t seed);
  Result Run();

 private:
  struct Attempt {
    RolloutParticipant* daemon = nullptr;
    VersionOutcome outcome;
    bool is_bad = false;
  };

  void SendRequest();
  void EndAttempts();
  void Handle(const RolloutController::Event& event);
  void TickDaemons();
  void StartController(std::uint64_t token);
  void MaintainController();
  double BaseErrorRate(int route) const { return route == 0 ? 0.14 : 0.004; }

  const Scenario& m_scenario;
  Random m_random;
  TimePoint m_start{std::chrono::hours(1)};
  TimePoint m_now = m_start;
  RolloutRequest m_rollout{"orders/v2/1", "", "v2", 0};
  std::vector<std::unique_ptr<RolloutParticipant>> m_daemons;
  /// Null between the loss of the controller and the takeover.
  std::unique_ptr<RolloutController> m_controller;
  std::optional<RolloutRow> m_row;
  std::uint64_t m_row_version = 0;
  std::vector<RolloutDirective> m_directives;
  /// Requests in progress, by the time at which they end.
  std::multimap<TimePoint, Attempt> m_attempts;
  std::optional<TimePoint> m_bad_since;
  int m_bad_answers = 0;
  Result m_result;
};

RolloutController::Settings Settings() {
  RolloutController::Settings settings;
  settings.canary_share = kExposureShare / 2;
  settings.canary_slack = kExposureSlack / 2;
  settings.exposure_limit = kExposureShare * 0.8;
  settings.min_step = std::chrono::seconds(2);
  settings.watch = Duration::zero();
  return settings;
}

RolloutFleet::RolloutFleet(const Scenario& scenario, std::uint64_t seed)
    : m_scenario(scenario), m_random(seed) {
  StartController(1);
  for (int index = 0; index < scenario.daemons; ++index) {
    const InstanceId self{"daemon-" + std::to_string(index), 1};
    m_daemons.push_back(std::make_unique<RolloutParticipant>(self, "orders", m_rollout));
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

void RolloutFleet::SendRequest() {
  RolloutParticipant& daemon = *m_daemons[m_random() % m_daemons.size()];
  ++m_result.requests;
  VersionOutcome outcome;
  outcome.new_version = daemon.ChooseNewVersion(kEndpointsPerVersion, m_now);
  const int route = static_cast<int>(m_random() % 2);
  const int endpoint = static_cast<int>(m_random() % kEndpointsPerVersion);
  outcome.route = route == 0 ? "look" : "place";
  outcome.endpoint = (outcome.new_version ? "new-" : "old-") + std::to_string(endpoint);
  outcome.failure_domain = std::to_string(endpoint % 6);
  VersionAnswer answer;
  if (outcome.new_version) {
    const double share = m_controller ? m_controller->SharePpm() / 1e6 : 0.0;
    answer = m_scenario.behaviour(m_now - m_start, share, route, m_random);
    ++m_result.exposed;
    if (m_bad_since && m_now > *m_bad_since + kRollbackTime) ++m_result.late;
  }
  outcome.error = answer.error || std::bernoulli_distribution(BaseErrorRate(route))(m_random);
  const double median_us = static_cast<double>(m_scenario.median_latency.count());
  const double work = std::lognormal_distribution<double>(std::log(median_us), 0.5)(m_random) *
                      answer.latency_factor;
  outcome.latency = Duration(static_cast<Duration::rep>(work));
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

constexpr int kSeeds = 20;

void Print(const Scenario& scenario, std::uint64_t seed, const Result& result) {
  std::printf("%s, seed %llu: %s (%s), %d of %d exposed, %d late\n", scenario.name,
              static_cast<unsigned long long>(seed),
              std::string(NameOf(kRolloutPhaseNames, result.phase)).c_str(), result.reason.c_str(),
              result.exposed, result.requests, result.late);
}

}  // namespace

// Guards against a bad version that gets more requests than allowed, or that is accepted as good.
Test(rollout_exposure, bad_versions_are_rolled_back_within_their_exposure) {
  const std::vector<Scenario> scenarios = {
      {"fails", 195, 150, std::chrono::seconds(30), FailsFrom(Duration::zero(), 0.3)},
      {"fails, small fleet", 8, 40, std::chrono::seconds(25), FailsFrom(Duration::zero(), 0.3)},
      {"fails late", 195, 150, std::chrono::seconds(30), FailsFrom(std::chrono::seconds(12), 0.4)},
      {"slow", 195, 150, std::chrono::seconds(30), SlowFrom(Duration::zero(), 4.0)},
      {"slow late", 195, 150, std::chrono::seconds(30), SlowFrom(std::chrono::seconds(12), 4.0)},
      {"one route", 195, 150, std::chrono::seconds(30), FailsOnOneRoute(0.4)},
      {"one route, small fleet", 8, 40, std::chrono::seconds(25), FailsOnOneRoute(0.4)},
      {"under load", 195, 150, std::chrono::seconds(30), FailsUnderLoad(0.2, 0.4)},
      {"fails late, controller lost", 195, 150, std::chrono::seconds(30),
       FailsFrom(std::chrono::seconds(16), 0.4), std::chrono::seconds(10)},
      {"peak load", 350, 3000, std::chrono::seconds(60), FailsFrom(Duration::zero(), 0.2)},
  };
  for (const Scenario& scenario : scenarios) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      RolloutFleet fleet(scenario, seed);
      const Result result = fleet.Run();
      const double allowed = kExposureShare * result.requests + kExposureSlack;
      const bool holds = result.phase == RolloutPhase::kRolledBack && result.exposed <= allowed &&
                         result.late == 0;
      if (!holds || seed == 1) Print(scenario, seed, result);
      cr_expect(holds, "%s, seed %llu", scenario.name, static_cast<unsigned long long>(seed));
    }
  }
}

// Guards against a good version that is not done by the deadline. The comparison allows one false
// alarm in a hundred.
Test(rollout_exposure, good_versions_are_done_in_time) {
  const std::vector<Scenario> scenarios = {
      {"large fleet", 195, 150, std::chrono::seconds(30), Good()},
      {"small fleet", 8, 40, std::chrono::seconds(25), Good()},
      {"little traffic", 3, 12, std::chrono::seconds(40), Good()},
      {"controller lost in the canary", 195, 150, std::chrono::seconds(25), Good(),
       std::chrono::seconds(7)},
      {"controller lost in the ramp", 195, 150, std::chrono::seconds(25), Good(),
       std::chrono::seconds(14)},
  };
  int unfinished = 0;
  for (const Scenario& scenario : scenarios) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      RolloutFleet fleet(scenario, seed);
      const Result result = fleet.Run();
      const bool is_done = result.phase == RolloutPhase::kDone;
      if (!is_done || seed == 1) Print(scenario, seed, result);
      if (!is_done) ++unfinished;
    }
  }
  const int runs = kSeeds * static_cast<int>(scenarios.size());
  cr_assert_leq(unfinished, 2, "%d of %d", unfinished, runs);
}

namespace {

struct HastyOrder {
  Duration within;
  double requests_per_second;
  int daemons;
  Duration median_latency;
};

std::vector<HastyOrder> HastyOrders() {
  std::vector<HastyOrder> orders;
  for (const int seconds : {6, 10, 15, 30}) {
    for (const double rate : {1.0, 5.0, 12.0, 40.0, 150.0}) {
      for (const int daemons : {8, 195}) {
        for (const Duration latency : {kShortLatency, kLongLatency}) {
          orders.push_back({std::chrono::seconds(seconds), rate, daemons, latency});
        }
      }
    }
  }
  return orders;
}

struct HastyCounts {
  int done = 0;
  int undecided = 0;
  int judged = 0;
  int over_exposure = 0;
  int late = 0;
  int unended = 0;
};

HastyCounts PlayHastyOrder(const HastyOrder& order, const Behaviour& behaviour) {
  constexpr std::uint64_t kHastySeeds = 5;
  HastyCounts counts;
  for (std::uint64_t seed = 1; seed <= kHastySeeds; ++seed) {
    Scenario scenario{"hasty", order.daemons, order.requests_per_second, order.within, behaviour};
    scenario.median_latency = order.median_latency;
    RolloutFleet fleet(scenario, seed);
    const Result result = fleet.Run();
    const bool is_rolled_back = result.phase == RolloutPhase::kRolledBack;
    const bool is_done = result.phase == RolloutPhase::kDone;
    const bool is_undecided = is_rolled_back && result.reason.starts_with("undecided");
    counts.done += is_done ? 1 : 0;
    counts.undecided += is_undecided ? 1 : 0;
    counts.judged += is_rolled_back && !is_undecided ? 1 : 0;
    counts.unended += is_rolled_back || is_done ? 0 : 1;
    counts.over_exposure +=
        result.exposed > kExposureShare * result.requests + kExposureSlack ? 1 : 0;
    counts.late += result.late > 0 ? 1 : 0;
  }
  return counts;
}

void Print(const char* version, const HastyOrder& order, const HastyCounts& counts) {
  using Seconds = std::chrono::duration<double>;
  std::printf("%-9s %4.0f s, %5.0f/s, %3d daemons, %5.3f s: ", version,
              Seconds(order.within).count(), order.requests_per_second, order.daemons,
              Seconds(order.median_latency).count());
  std::printf("%d done, %d undecided, %d judged, %d not ended, %d over exposure, %d late\n",
              counts.done, counts.undecided, counts.judged, counts.unended, counts.over_exposure,
              counts.late);
}

void ExpectNeverAccepted(const char* version, const HastyOrder& order, const Behaviour& behaviour) {
  const HastyCounts counts = PlayHastyOrder(order, behaviour);
  Print(version, order, counts);
  cr_expect_eq(counts.done + counts.unended, 0);
  cr_expect_eq(counts.over_exposure + counts.late, 0);
}

}  // namespace

// Guards against a slow version that is accepted because the time is short: because its requests
// were not compared, or were too few.
Test(rollout_exposure, hasty_orders_never_accept_a_slow_version) {
  for (const HastyOrder& order : HastyOrders()) {
    ExpectNeverAccepted("slow", order, SlowFrom(Duration::zero(), 4.0));
  }
}

// Guards against a slow version that is accepted because it is as good as the old one at first.
Test(rollout_exposure, hasty_orders_never_accept_a_version_that_slows_down) {
  for (const HastyOrder& order : HastyOrders()) {
    if (order.median_latency != kShortLatency) continue;
    ExpectNeverAccepted("slow late", order, SlowFrom(order.within * 2 / 5, 4.0));
  }
}

// Guards against a good version that is judged bad, or that is not done although the service has
// enough requests.
Test(rollout_exposure, hasty_orders_accept_a_good_version) {
  constexpr double kEnoughRequestsPerSecond = 150.0;
  constexpr Duration kEnoughTime = std::chrono::seconds(10);
  int judged = 0;
  int unfinished = 0;
  for (const HastyOrder& order : HastyOrders()) {
    const HastyCounts counts = PlayHastyOrder(order, Good());
    Print("good", order, counts);
    judged += counts.judged;
    const bool is_enough =
        order.requests_per_second >= kEnoughRequestsPerSecond && order.within >= kEnoughTime;
    if (is_enough) unfinished += counts.undecided + counts.unended;
  }
  cr_expect_leq(judged, 4, "%d of 400", judged);
  cr_expect_eq(unfinished, 0);
}
