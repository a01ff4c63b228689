#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/rollout_controller.h"
#include "coordination/rollout_participant.h"
#include "utils/random.h"

namespace fulmarpoint {

// Required bounds.
inline constexpr double kExposureShare = 0.1;
inline constexpr int kExposureSlack = 50;
inline constexpr Duration kRollbackTime = std::chrono::seconds(5);
inline constexpr int kBadAnswersUntilDetected = 50;

inline constexpr Duration kStep = std::chrono::milliseconds(50);
inline constexpr Duration kTakeoverTime = std::chrono::seconds(5);
inline constexpr int kEndpointsPerVersion = 12;
inline constexpr Duration kShortLatency = std::chrono::milliseconds(55);
inline constexpr Duration kLongLatency = std::chrono::seconds(1);
inline constexpr Duration kNewService = Duration::zero();
inline constexpr Duration kRunningService = std::chrono::seconds(60);

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
  /// How long the service has had its requests when the order comes.
  Duration before = Duration::zero();
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

  RecentLatencies LatenciesBefore();
  VersionOutcome MakeOutcome(int route, const VersionAnswer& answer);
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

Behaviour Good();
Behaviour FailsFrom(Duration from, double rate);
Behaviour SlowFrom(Duration from, double factor);
Behaviour FailsOnOneRoute(double rate);
Behaviour FailsUnderLoad(double from_share, double rate);

}  // namespace fulmarpoint
