#include <criterion/criterion.h>

#include <algorithm>
#include <cstdio>
#include <functional>
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

// The users' bounds.
constexpr double kExposureShare = 0.1;
constexpr int kExposureSlack = 50;
constexpr Duration kRollbackTime = std::chrono::seconds(5);
constexpr int kMostBadAnswers = 50;

constexpr Duration kStep = std::chrono::milliseconds(50);
constexpr Duration kTakeOverTime = std::chrono::seconds(5);
constexpr int kEndpointsPerVersion = 12;

/// What a version does to a request at `elapsed` since the order while it gets `share` of all.
struct Answer {
  bool error = false;
  double slowness = 1.0;
};
using Behaviour = std::function<Answer(Duration elapsed, double share, int route, Random& random)>;

struct Case {
  const char* name;
  int daemons = 195;
  double requests_per_second = 150.0;
  Duration within = std::chrono::seconds(30);
  Behaviour behaviour;
  /// When the controller is lost; another has the lease after `kTakeOverTime`.
  std::optional<Duration> controller_lost = std::nullopt;
};

struct Result {
  RolloutPhase phase = RolloutPhase::kCanary;
  std::string reason;
  std::optional<Duration> ended;
  int requests = 0;
  int exposed = 0;
  /// Requests of the new version later than the bound after its 50th bad answer.
  int late = 0;
};

/// Daemons, each with its requests, and a controller beside a store that works, in virtual time.
class RolloutFleet {
 public:
  RolloutFleet(const Case& played, std::uint64_t seed);
  Result Play();

 private:
  void SendRequest();
  void Handle(const RolloutController::Event& event);
  void TickDaemons();
  void StartController(std::uint64_t token);
  void MaintainController();
  double BaseErrorRate(int route) const { return route == 0 ? 0.14 : 0.004; }

  const Case& m_case;
  Random m_random;
  TimePoint m_start{std::chrono::hours(1)};
  TimePoint m_now = m_start;
  RolloutRequest m_rollout{"orders/v2/1", "", "v2", 0};
  std::vector<std::unique_ptr<RolloutParticipant>> m_daemons;
  /// Null while the lease is taken over.
  std::unique_ptr<RolloutController> m_controller;
  std::optional<RolloutRow> m_row;
  std::uint64_t m_row_version = 0;
  std::vector<RolloutDirective> m_directives;
  std::optional<TimePoint> m_proved_bad;
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

RolloutFleet::RolloutFleet(const Case& played, std::uint64_t seed)
    : m_case(played), m_random(seed) {
  StartController(1);
  for (int index = 0; index < played.daemons; ++index) {
    const InstanceId self{"daemon-" + std::to_string(index), 1};
    m_daemons.push_back(std::make_unique<RolloutParticipant>(self, "orders", m_rollout));
  }
}

void RolloutFleet::StartController(std::uint64_t token) {
  m_controller =
      std::make_unique<RolloutController>(InstanceId{"controller", token}, "orders", m_rollout,
                                          token, m_start + m_case.within, Settings());
  Handle(RolloutController::CapacityChanged{kEndpointsPerVersion, 1'000'000});
}

void RolloutFleet::MaintainController() {
  if (!m_case.controller_lost) return;
  const TimePoint lost = m_start + *m_case.controller_lost;
  const bool is_lost = m_now >= lost && m_now < lost + kTakeOverTime;
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
  Answer answer;
  if (outcome.new_version) {
    const double share = m_controller ? m_controller->SharePpm() / 1e6 : 0.0;
    answer = m_case.behaviour(m_now - m_start, share, route, m_random);
    ++m_result.exposed;
    if (m_proved_bad && m_now > *m_proved_bad + kRollbackTime) ++m_result.late;
  }
  const bool is_bad = answer.error || answer.slowness > 2.0;
  if (is_bad && ++m_bad_answers == kMostBadAnswers) m_proved_bad = m_now;
  outcome.error = answer.error || std::bernoulli_distribution(BaseErrorRate(route))(m_random);
  const double work = std::lognormal_distribution<double>(4.0, 0.5)(m_random) * answer.slowness;
  outcome.latency = std::chrono::microseconds(static_cast<std::int64_t>(work * 1000));
  std::vector<RolloutParticipant::Action> actions;
  daemon.Handle(RolloutParticipant::OutcomeSeen{outcome}, m_now, actions);
  for (const RolloutParticipant::Action& action : actions) {
    const auto* notice = std::get_if<RolloutParticipant::PublishGossip>(&action);
    if (notice != nullptr) Handle(RolloutController::GossipReceived{notice->notice});
  }
}

Result RolloutFleet::Play() {
  const double per_step = m_case.requests_per_second * std::chrono::duration<double>(kStep).count();
  for (; m_now < m_start + m_case.within; m_now += kStep) {
    const int count = std::poisson_distribution<int>(per_step)(m_random);
    const bool was_running = !m_result.ended;
    for (int index = 0; index < count; ++index) SendRequest();
    MaintainController();
    TickDaemons();
    Handle(RolloutController::Tick{});
    m_result.phase = m_row ? m_row->phase : RolloutPhase::kCanary;
    m_result.reason = m_row ? m_row->reason : "";
    const bool has_ended =
        m_result.phase == RolloutPhase::kDone || m_result.phase == RolloutPhase::kRolledBack;
    if (was_running && has_ended) m_result.ended = m_now - m_start;
    // The old version's endpoints stop, so that what follows is no exposure.
    if (m_result.phase == RolloutPhase::kDone) break;
  }
  return m_result;
}

Behaviour Good() {
  return [](Duration, double, int, Random&) { return Answer(); };
}

Behaviour FailsFrom(Duration from, double rate) {
  return [=](Duration elapsed, double, int, Random& random) {
    return Answer{elapsed >= from && std::bernoulli_distribution(rate)(random), 1.0};
  };
}

Behaviour SlowFrom(Duration from, double times) {
  return [=](Duration elapsed, double, int, Random&) {
    return Answer{false, elapsed >= from ? times : 1.0};
  };
}

Behaviour FailsOnOneRoute(double rate) {
  return [=](Duration, double, int route, Random& random) {
    return Answer{route == 1 && std::bernoulli_distribution(rate)(random), 1.0};
  };
}

Behaviour FailsUnderLoad(double from_share, double rate) {
  return [=](Duration, double share, int, Random& random) {
    return Answer{share >= from_share && std::bernoulli_distribution(rate)(random), 1.0};
  };
}

constexpr int kSeeds = 20;

void Print(const Case& played, std::uint64_t seed, const Result& result) {
  std::printf("%s, seed %llu: %s (%s), %d of %d exposed, %d late\n", played.name,
              static_cast<unsigned long long>(seed),
              std::string(NameOf(kRolloutPhaseNames, result.phase)).c_str(), result.reason.c_str(),
              result.exposed, result.requests, result.late);
}

}  // namespace

// Guards against a bad version that gets more requests than the users allow, or that is taken for
// good.
Test(rollout_exposure, bad_versions_are_rolled_back_within_their_exposure) {
  const std::vector<Case> cases = {
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
  for (const Case& played : cases) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      RolloutFleet fleet(played, seed);
      const Result result = fleet.Play();
      const double allowed = kExposureShare * result.requests + kExposureSlack;
      const bool holds = result.phase == RolloutPhase::kRolledBack && result.exposed <= allowed &&
                         result.late == 0;
      if (!holds || seed == 1) Print(played, seed, result);
      cr_expect(holds, "%s, seed %llu", played.name, static_cast<unsigned long long>(seed));
    }
  }
}

// Guards against a good version that is not in use by the end of its time. One false alarm in a
// hundred is what the comparison is set to.
Test(rollout_exposure, good_versions_are_done_in_time) {
  const std::vector<Case> cases = {
      {"large fleet", 195, 150, std::chrono::seconds(30), Good()},
      {"small fleet", 8, 40, std::chrono::seconds(25), Good()},
      {"little traffic", 3, 12, std::chrono::seconds(40), Good()},
      {"controller lost in the canary", 195, 150, std::chrono::seconds(25), Good(),
       std::chrono::seconds(7)},
      {"controller lost in the ramp", 195, 150, std::chrono::seconds(25), Good(),
       std::chrono::seconds(14)},
  };
  int undone = 0;
  for (const Case& played : cases) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      RolloutFleet fleet(played, seed);
      const Result result = fleet.Play();
      const bool is_done = result.phase == RolloutPhase::kDone;
      if (!is_done || seed == 1) Print(played, seed, result);
      if (!is_done) ++undone;
    }
  }
  const int played = kSeeds * static_cast<int>(cases.size());
  cr_assert_leq(undone, 2, "%d of %d", undone, played);
}
