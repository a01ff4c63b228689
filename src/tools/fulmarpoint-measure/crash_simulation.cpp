#include "crash_simulation.h"

#include <algorithm>

namespace fulmarpoint {

namespace {

constexpr Duration kMeanServiceTime = std::chrono::seconds(15);
constexpr double kOfferedLoad = 0.6;
constexpr Duration kRestartTime = std::chrono::seconds(30);
constexpr Duration kAdmissionPollInterval = std::chrono::milliseconds(50);
// In the baseline, a caller without a limit would retry for ever.
constexpr int kMaxAttempts = 20;

}  // namespace

CrashSimulation::CrashSimulation(const CrashScenario& scenario)
    : m_scenario(scenario),
      m_random(scenario.seed),
      m_daemons(static_cast<std::size_t>(scenario.daemons)) {
  for (int index = 0; index < scenario.endpoints; ++index) {
    Endpoint endpoint;
    endpoint.id = "engine-" + std::to_string(index);
    std::uint64_t best = 0;
    for (int daemon = 0; daemon < scenario.daemons; ++daemon) {
      const std::uint64_t weight = StableHash(endpoint.id, static_cast<std::uint64_t>(daemon));
      if (weight >= best) endpoint.owner = daemon;
      best = std::max(best, weight);
    }
    m_endpoints.push_back(endpoint);
  }
  m_result.endpoints_lost.resize(static_cast<std::size_t>(scenario.poison_requests));
}

CrashResult CrashSimulation::Run() {
  ScheduleArrival();
  for (int poison_index = 0; poison_index < m_scenario.poison_requests; ++poison_index) {
    m_time.At(TimePoint(std::chrono::seconds(20 + poison_index)),
              [this, poison_index] { AddRequest(poison_index); });
  }
  for (int endpoint = 0; endpoint < m_scenario.endpoints; ++endpoint) ScheduleCrash(endpoint);
  for (int daemon = 0; daemon < m_scenario.daemons; ++daemon) TickDaemon(daemon);
  m_time.RunUntil(TimePoint(m_scenario.duration));
  return m_result;
}

Duration CrashSimulation::Exponential(Duration mean) {
  std::exponential_distribution<double> draw(1.0 / static_cast<double>(mean.count()));
  return Duration(static_cast<Duration::rep>(draw(m_random)) + 1);
}

Duration CrashSimulation::Uniform(Duration low, Duration high) {
  std::uniform_int_distribution<Duration::rep> draw(low.count(), high.count());
  return Duration(draw(m_random));
}

void CrashSimulation::ScheduleArrival() {
  const double rate = kOfferedLoad * m_scenario.endpoints * m_scenario.slots;
  const Duration interarrival(
      static_cast<Duration::rep>(static_cast<double>(kMeanServiceTime.count()) / rate));
  m_time.After(Exponential(interarrival), [this] {
    AddRequest(-1);
    ScheduleArrival();
  });
}

void CrashSimulation::ScheduleCrash(int endpoint) {
  if (m_scenario.spontaneous_crash_interval == Duration::zero()) return;
  m_time.After(Exponential(m_scenario.spontaneous_crash_interval), [this, endpoint] {
    if (m_endpoints[endpoint].up) {
      ++m_result.spontaneous_crashes;
      CrashEndpoint(endpoint);
    }
    ScheduleCrash(endpoint);
  });
}

void CrashSimulation::AddRequest(int poison_index) {
  const std::uint64_t id = m_next_request++;
  Request& request = m_requests[id];
  request.fingerprint = StableHash("request", id);
  request.poison_index = poison_index;
  std::uniform_int_distribution<int> daemon(0, m_scenario.daemons - 1);
  request.daemon = daemon(m_random);
  request.service_time =
      Exponential(poison_index >= 0 ? m_scenario.mean_time_to_crash : kMeanServiceTime);
  request.waiting_since = m_time.Now();
  if (poison_index < 0) ++m_result.harmless_started;
  TryToStart(id);
}

std::vector<int> CrashSimulation::AllowedEndpoints(const Request& request) {
  std::vector<int> allowed;
  const Duration waited = m_time.Now() - request.waiting_since;
  const CrashSuspects& suspects = m_daemons[request.daemon];
  for (int index = 0; index < m_scenario.endpoints; ++index) {
    const Endpoint& endpoint = m_endpoints[index];
    if (!endpoint.up || endpoint.active >= m_scenario.slots) continue;
    const bool owned = endpoint.owner == request.daemon;
    const bool may_run =
        !m_scenario.suspicion ||
        suspects.MayRunAt(request.fingerprint, endpoint.id, owned, waited, m_time.Now());
    if (may_run) allowed.push_back(index);
  }
  return allowed;
}

void CrashSimulation::TryToStart(std::uint64_t id) {
  Request& request = m_requests[id];
  const SuspicionState state = m_scenario.suspicion
                                   ? m_daemons[request.daemon].State(request.fingerprint)
                                   : SuspicionState::kFree;
  if (state == SuspicionState::kQuarantined) {
    if (request.poison_index < 0) ++m_result.harmless_rejected;
    // The caller of a poison request ignores the rejection and tries other daemons.
    if (request.poison_index < 0 || ++request.attempts >= kMaxAttempts) {
      m_requests.erase(id);
      return;
    }
    std::uniform_int_distribution<int> daemon(0, m_scenario.daemons - 1);
    request.daemon = daemon(m_random);
    request.waiting_since = m_time.Now();
    m_time.After(Uniform(std::chrono::milliseconds(50), std::chrono::milliseconds(500)),
                 [this, id] { Submit(id); });
    return;
  }
  const std::vector<int> allowed = AllowedEndpoints(request);
  if (allowed.empty()) {
    m_time.After(kAdmissionPollInterval, [this, id] { TryToStart(id); });
    return;
  }
  std::uniform_int_distribution<std::size_t> draw(0, allowed.size() - 1);
  StartAt(id, allowed[draw(m_random)]);
}

void CrashSimulation::StartAt(std::uint64_t id, int endpoint) {
  Request& request = m_requests[id];
  request.endpoint = endpoint;
  request.attempt_id = m_next_attempt++;
  ++request.attempts;
  ++m_endpoints[endpoint].active;
  if (request.interrupted && request.poison_index < 0) {
    const Duration waited = m_time.Now() - request.waiting_since;
    m_result.retry_waits_ms.push_back(static_cast<double>(waited.count()) / 1000.0);
  }
  Handle(request.daemon,
         AttemptStarted{request.attempt_id, request.fingerprint, m_endpoints[endpoint].id,
                        m_endpoints[endpoint].incarnation});
  const Duration service_time =
      request.poison_index >= 0 ? Exponential(m_scenario.mean_time_to_crash) : request.service_time;
  m_time.After(service_time,
               [this, id, attempt_id = request.attempt_id] { OnAttemptEnd(id, attempt_id); });
}

void CrashSimulation::OnAttemptEnd(std::uint64_t id, std::uint64_t attempt_id) {
  const auto found = m_requests.find(id);
  if (found == m_requests.end() || found->second.attempt_id != attempt_id) return;
  Request& request = found->second;
  if (request.poison_index >= 0) {
    ++m_result.endpoints_lost[request.poison_index];
    CrashEndpoint(request.endpoint);
    return;
  }
  ++m_result.harmless_completed;
  --m_endpoints[request.endpoint].active;
  Handle(request.daemon, AttemptEnded{attempt_id, AttemptEnd::kCompleted});
  m_requests.erase(found);
}

void CrashSimulation::CrashEndpoint(int endpoint) {
  Endpoint& crashed = m_endpoints[endpoint];
  const std::uint64_t incarnation = crashed.incarnation++;
  crashed.up = false;
  crashed.active = 0;
  m_time.After(kRestartTime, [&crashed] { crashed.up = true; });
  std::vector<std::uint64_t> affected;
  for (const auto& [id, request] : m_requests) {
    if (request.attempt_id != 0 && request.endpoint == endpoint) affected.push_back(id);
  }
  for (std::uint64_t id : affected) OnLost(id, endpoint, incarnation);
  // Every daemon polls the load of the endpoint and finds that the connection is refused.
  for (int daemon = 0; daemon < m_scenario.daemons; ++daemon) {
    m_time.After(Uniform(Duration(1), std::chrono::seconds(1)),
                 [this, daemon, endpoint, incarnation] {
                   Handle(daemon, EndpointProcessLost{m_endpoints[endpoint].id, incarnation});
                 });
  }
}

void CrashSimulation::OnLost(std::uint64_t id, int endpoint, std::uint64_t incarnation) {
  Request& request = m_requests[id];
  const int daemon = request.daemon;
  Handle(daemon, AttemptEnded{request.attempt_id, AttemptEnd::kLost});
  request.attempt_id = 0;
  request.interrupted = true;
  request.waiting_since = m_time.Now();
  if (request.poison_index < 0) ++m_result.harmless_interrupted;
  m_time.After(std::chrono::milliseconds(5), [this, daemon, endpoint, incarnation] {
    Handle(daemon, EndpointProcessLost{m_endpoints[endpoint].id, incarnation});
  });
  if (request.attempts >= kMaxAttempts) {
    m_requests.erase(id);
    return;
  }
  Duration delay = std::chrono::milliseconds(10);
  if (request.poison_index >= 0 && m_scenario.caller_retries) {
    std::uniform_int_distribution<int> other(0, m_scenario.daemons - 1);
    request.daemon = other(m_random);
    delay = Uniform(std::chrono::milliseconds(50), std::chrono::milliseconds(500));
  }
  request.last_endpoint = endpoint;
  request.last_incarnation = incarnation;
  m_time.After(delay, [this, id] { Submit(id); });
}

void CrashSimulation::Submit(std::uint64_t id) {
  const Request& request = m_requests[id];
  const bool sends_event_id =
      m_scenario.event_ids && request.poison_index >= 0 && request.last_endpoint >= 0;
  if (sends_event_id && m_scenario.caller_retries) {
    Handle(request.daemon,
           PriorAttemptReported{request.fingerprint, m_endpoints[request.last_endpoint].id,
                                request.last_incarnation});
  }
  TryToStart(id);
}

void CrashSimulation::Handle(int daemon, const CrashSuspectsEvent& event) {
  if (!m_scenario.suspicion) return;
  std::vector<CrashSuspectsAction> actions;
  m_daemons[daemon].Handle(event, m_time.Now(), actions);
  for (const CrashSuspectsAction& action : actions) {
    const auto* publish = std::get_if<PublishSuspectGossip>(&action);
    if (publish == nullptr) continue;
    ++m_result.gossip_messages;
    for (int peer = 0; peer < m_scenario.daemons; ++peer) {
      const bool separated = m_scenario.partitioned && (peer + daemon) % 2 == 1;
      if (peer == daemon || separated) continue;
      m_time.After(Uniform(m_scenario.gossip_delay / 2, m_scenario.gossip_delay * 3 / 2),
                   [this, peer, message = publish->message] {
                     Handle(peer, SuspectGossipReceived{message});
                   });
    }
  }
}

void CrashSimulation::TickDaemon(int daemon) {
  m_time.After(std::chrono::seconds(1), [this, daemon] {
    Handle(daemon, SuspectTimerFired{});
    TickDaemon(daemon);
  });
}

}  // namespace fulmarpoint
