#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "coordination/crash_suspects.h"
#include "utils/random.h"
#include "virtual_time.h"

namespace fulmarpoint {

struct CrashScenario {
  std::uint64_t seed = 1;
  int daemons = 6;
  int endpoints = 20;
  int slots = 16;
  /// False for the baseline, in which every lost request is retried at once.
  bool suspicion = true;
  /// Number of poison requests, which crash every endpoint that runs them. The first arrives after
  /// 20 s, the others at intervals of 1 s.
  int poison_requests = 1;
  Duration mean_time_to_crash = std::chrono::seconds(2);
  /// Whether the caller retries a lost poison request at another daemon; otherwise its
  /// daemon resumes it.
  bool caller_retries = false;
  /// Whether a caller that retries sends the event id of its interrupted generation.
  bool event_ids = false;
  /// Mean time between crashes of one endpoint that no request causes; zero for none.
  Duration spontaneous_crash_interval{};
  /// Mean delay of a gossip message from one daemon to another.
  Duration gossip_delay = std::chrono::milliseconds(100);
  /// Whether gossip between even-numbered and odd-numbered daemons is lost.
  bool partitioned = false;
  Duration duration = std::chrono::minutes(3);
};

struct CrashResult {
  /// Number of endpoints crashed by each poison request.
  std::vector<int> endpoints_lost;
  int spontaneous_crashes = 0;
  int harmless_started = 0;
  int harmless_interrupted = 0;
  int harmless_completed = 0;
  int harmless_rejected = 0;
  /// Times from the interruption of a harmless request to its next attempt, in milliseconds.
  std::vector<double> retry_waits_ms;
  int gossip_messages = 0;
};

/// Simulates a fleet under virtual time, in which each daemon has a real `CrashSuspects`. Not
/// thread-safe.
class CrashSimulation {
 public:
  explicit CrashSimulation(const CrashScenario& scenario);
  CrashResult Run();

 private:
  struct Endpoint {
    EndpointId id;
    std::uint64_t incarnation = 1;
    bool up = true;
    int active = 0;
    int owner = 0;
  };
  struct Request {
    Fingerprint fingerprint = 0;
    int poison_index = -1;
    int daemon = 0;
    int endpoint = -1;
    int last_endpoint = -1;
    std::uint64_t last_incarnation = 0;
    std::uint64_t attempt_id = 0;
    int attempts = 0;
    bool interrupted = false;
    Duration service_time{};
    TimePoint waiting_since{};
  };

  Duration Exponential(Duration mean);
  Duration Uniform(Duration low, Duration high);
  void AddRequest(int poison_index);
  void ScheduleArrival();
  void ScheduleCrash(int endpoint);
  void Submit(std::uint64_t id);
  void TryToStart(std::uint64_t id);
  std::vector<int> AllowedEndpoints(const Request& request);
  void StartAt(std::uint64_t id, int endpoint);
  void OnAttemptEnd(std::uint64_t id, std::uint64_t attempt_id);
  void CrashEndpoint(int endpoint);
  void OnLost(std::uint64_t id, int endpoint, std::uint64_t incarnation);
  void Handle(int daemon, const CrashSuspectsEvent& event);
  void TickDaemon(int daemon);

  CrashScenario m_scenario;
  Random m_random;
  VirtualTime m_time;
  std::vector<CrashSuspects> m_daemons;
  std::vector<Endpoint> m_endpoints;
  std::map<std::uint64_t, Request> m_requests;
  std::uint64_t m_next_request = 1;
  std::uint64_t m_next_attempt = 1;
  CrashResult m_result;
};

}  // namespace fulmarpoint
