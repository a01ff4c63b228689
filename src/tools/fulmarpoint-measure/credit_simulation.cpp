#include "credit_simulation.h"

#include <algorithm>

namespace fulmarpoint {

namespace {

constexpr Duration kFaultTime = std::chrono::seconds(40);
constexpr Duration kDuration = std::chrono::seconds(120);
constexpr Duration kUtilizationStart = kDuration - std::chrono::seconds(30);
constexpr Duration kMeanServiceTime = std::chrono::seconds(4);
constexpr Duration kMaxQueueTime = std::chrono::seconds(3);
constexpr Duration kReportInterval = std::chrono::seconds(1);
// Mean time until the other daemons detect that a daemon failed, or that it returned or joined.
constexpr Duration kFailureDetection = std::chrono::seconds(5);
constexpr Duration kReturnDetection = std::chrono::seconds(1);
constexpr Duration kListConfirmation = std::chrono::seconds(30);
// UDP and IP headers (28), authentication code (32) and name of the sender (24) in each datagram.
constexpr std::size_t kDatagramOverhead = 28 + 32 + 24;

double Seconds(Duration duration) { return static_cast<double>(duration.count()) / 1e6; }

}  // namespace

CreditSimulation::CreditSimulation(const CreditScenario& scenario)
    : m_scenario(scenario), m_random(scenario.seed), m_load(scenario.load) {
  for (int index = 0; index < scenario.endpoints; ++index) {
    Endpoint endpoint;
    endpoint.id = "engine-" + std::to_string(index);
    m_endpoints.push_back(std::move(endpoint));
  }
  for (int index = 0; index < scenario.daemons; ++index) AddDaemon();
  for (Daemon& daemon : m_daemons) {
    daemon.visible_daemons.assign(m_daemons.size(), true);
    daemon.known_daemons.assign(m_daemons.size(), true);
  }
  for (int index = 0; index < scenario.daemons; ++index) UpdateView(index);
}

CreditResult CreditSimulation::Run() {
  for (int index = 0; index < m_scenario.daemons; ++index) {
    // Spreads the starts of the daemons, so that their timers do not coincide.
    m_time.At(TimePoint(Uniform(Duration(1), std::chrono::seconds(2))), [this, index] {
      ReportLoad(index);
      UpdateView(index);
      Arrive(index);
    });
  }
  m_time.At(TimePoint(kFaultTime), [this] { InjectFault(); });
  SampleLoad();
  m_time.RunUntil(TimePoint(kDuration));
  const double slots = static_cast<double>(m_scenario.endpoints) * m_scenario.slots;
  m_result.overshoot_time_share = m_overload_seconds / (Seconds(kDuration) * m_scenario.endpoints);
  m_result.utilization = m_busy_seconds / (slots * Seconds(kDuration - kUtilizationStart));
  for (const Daemon& daemon : m_daemons) {
    const double bytes = static_cast<double>(daemon.bytes) / Seconds(kDuration);
    m_result.messages_per_second += static_cast<double>(daemon.messages) / Seconds(kDuration);
    m_result.bytes_per_second += bytes;
    m_result.max_bytes_per_second = std::max(m_result.max_bytes_per_second, bytes);
  }
  m_result.messages_per_second /= static_cast<double>(m_daemons.size());
  m_result.bytes_per_second /= static_cast<double>(m_daemons.size());
  return m_result;
}

void CreditSimulation::AddDaemon() {
  const std::size_t number = m_daemons.size();
  m_daemons.emplace_back(InstanceId{"daemon-" + std::to_string(number), 1});
  Daemon& daemon = m_daemons.back();
  daemon.active_requests.assign(m_endpoints.size(), 0);
  const int share = std::max(1, m_scenario.slots / m_scenario.daemons);
  const double first = m_scenario.mode == LimitMode::kFixedShares ? share : 1.0;
  daemon.limit.assign(m_endpoints.size(), first);
}

void CreditSimulation::UpdateView(int index) {
  Daemon& daemon = m_daemons[index];
  std::vector<InstanceId> members;
  VisibleDaemonsChanged seen{0, 0};
  for (std::size_t other = 0; other < daemon.visible_daemons.size(); ++other) {
    if (daemon.visible_daemons[other]) members.push_back(m_daemons[other].id);
    if (daemon.known_daemons[other]) ++seen.known;
  }
  seen.visible = static_cast<int>(members.size());
  std::vector<EndpointId> ids;
  OwnedEndpointsChanged owned;
  for (const Endpoint& endpoint : m_endpoints) {
    ids.push_back(endpoint.id);
    if (CreditOwnerOf(endpoint.id, members) == daemon.id) {
      owned.endpoints.push_back(StableHash(endpoint.id));
    }
  }
  SubsetChanged subset;
  subset.endpoints = CreditSubset(daemon.id, members, "drafts", ids, 1);
  daemon.subset.clear();
  if (m_scenario.mode == LimitMode::kCredits) {
    for (const SubsetEndpoint& member : subset.endpoints) {
      daemon.subset.push_back(std::stoi(member.endpoint.substr(member.endpoint.find('-') + 1)));
    }
  } else {
    for (int endpoint = 0; endpoint < m_scenario.endpoints; ++endpoint) {
      daemon.subset.push_back(endpoint);
    }
  }
  if (m_scenario.mode != LimitMode::kCredits) return;
  OnOwner(index, seen);
  OnOwner(index, owned);
  if (m_time.Now() > TimePoint{}) OnHolder(index, subset);
}

void CreditSimulation::RunOrDefer(int index, const std::function<void()>& action) {
  Daemon& daemon = m_daemons[index];
  if (!daemon.up) return;
  if (daemon.paused) {
    daemon.deferred_events.push_back(action);
    return;
  }
  action();
}

void CreditSimulation::Send(int from, int to, std::size_t bytes, std::function<void()> action) {
  if (from != to) {
    ++m_daemons[from].messages;
    m_daemons[from].bytes += bytes + kDatagramOverhead;
  }
  if (m_partitioned && (from + to) % 2 == 1) return;
  const bool lost = m_messages_lost && std::uniform_int_distribution<int>(0, 4)(m_random) == 0;
  if (lost && from != to) return;
  m_time.After(Uniform(std::chrono::microseconds(200), std::chrono::milliseconds(2)),
               [this, to, action = std::move(action)] { RunOrDefer(to, action); });
}

void CreditSimulation::OnHolder(int index, const CreditHolderEvent& event) {
  std::vector<CreditHolderAction> actions;
  m_daemons[index].holder.Handle(event, m_time.Now(), actions);
  for (const CreditHolderAction& action : actions) {
    if (const auto* send = std::get_if<SendCreditRequest>(&action)) {
      const int owner = std::stoi(send->to.name.substr(send->to.name.find('-') + 1));
      const std::size_t bytes = EncodeCreditRequest(send->request).size();
      Send(index, owner, bytes, [this, owner, request = send->request] {
        OnOwner(owner, CreditRequestReceived{request});
      });
    } else if (const auto* timer = std::get_if<SetCreditTimer>(&action)) {
      m_time.At(timer->at, [this, index] {
        RunOrDefer(index, [this, index] { OnHolder(index, CreditTimerFired{}); });
      });
    } else {
      m_time.After(Duration(1),
                   [this, index] { RunOrDefer(index, [this, index] { Dispatch(index); }); });
    }
  }
}

void CreditSimulation::OnOwner(int index, const CreditOwnerEvent& event) {
  std::vector<CreditOwnerAction> actions;
  m_daemons[index].owner.Handle(event, m_time.Now(), actions);
  for (const CreditOwnerAction& action : actions) {
    const SendCreditGrant& send = std::get<SendCreditGrant>(action);
    const int holder = std::stoi(send.to.name.substr(send.to.name.find('-') + 1));
    const std::size_t bytes = EncodeCreditGrant(send.grant).size();
    Send(index, holder, bytes,
         [this, holder, grant = send.grant] { OnHolder(holder, CreditGrantReceived{grant}); });
  }
}

void CreditSimulation::Arrive(int index) {
  if (!m_daemons[index].up) return;
  const double slots = static_cast<double>(m_scenario.endpoints) * m_scenario.slots;
  double share = 1.0 / m_scenario.daemons;
  if (m_load_skewed) share = index == 0 ? 0.5 : 0.5 / (m_scenario.daemons - 1);
  const double rate = m_load * slots * share / Seconds(kMeanServiceTime);
  m_time.After(Exponential(Duration(static_cast<Duration::rep>(1e6 / rate))), [this, index] {
    if (m_daemons[index].up) {
      ++m_result.arrived;
      m_daemons[index].queued.push_back(m_time.Now());
      RunOrDefer(index, [this, index] { Dispatch(index); });
    }
    Arrive(index);
  });
}

void CreditSimulation::Dispatch(int index) {
  Daemon& daemon = m_daemons[index];
  while (!daemon.queued.empty()) {
    if (m_time.Now() - daemon.queued.front() > kMaxQueueTime) {
      ++m_result.rejected;
      daemon.queued.pop_front();
      continue;
    }
    const int endpoint = FindEndpoint(index);
    if (endpoint < 0) break;
    daemon.queued.pop_front();
    Start(index, endpoint);
  }
  if (m_scenario.mode != LimitMode::kCredits) return;
  const int queued = static_cast<int>(daemon.queued.size());
  OnHolder(index, CreditDemandChanged{"drafts", queued});
}

int CreditSimulation::FindEndpoint(int index) {
  const std::vector<int>& subset = m_daemons[index].subset;
  std::vector<int> usable;
  for (int endpoint : subset) {
    if (HasCapacity(index, endpoint)) usable.push_back(endpoint);
  }
  if (usable.empty()) return -1;
  std::uniform_int_distribution<std::size_t> draw(0, usable.size() - 1);
  return usable[draw(m_random)];
}

bool CreditSimulation::HasCapacity(int index, int endpoint) {
  Daemon& daemon = m_daemons[index];
  if (m_scenario.mode == LimitMode::kCredits) {
    return daemon.holder.Free(m_endpoints[endpoint].id, m_time.Now()) > 0;
  }
  return daemon.active_requests[endpoint] < static_cast<int>(daemon.limit[endpoint]);
}

void CreditSimulation::Start(int index, int endpoint) {
  Daemon& daemon = m_daemons[index];
  if (m_scenario.mode == LimitMode::kCredits) {
    daemon.holder.Take(m_endpoints[endpoint].id, m_time.Now());
  }
  ++daemon.active_requests[endpoint];
  ChangeActive(m_endpoints[endpoint], 1);
  m_time.After(Exponential(kMeanServiceTime), [this, index, endpoint] {
    // The engine completes the request even if the daemon has failed or is paused.
    ChangeActive(m_endpoints[endpoint], -1);
    RunOrDefer(index, [this, index, endpoint] { End(index, endpoint); });
  });
}

void CreditSimulation::End(int index, int endpoint) {
  Daemon& daemon = m_daemons[index];
  --daemon.active_requests[endpoint];
  if (m_scenario.mode == LimitMode::kCredits) daemon.holder.Return(m_endpoints[endpoint].id);
  if (m_scenario.mode == LimitMode::kAdaptiveOnly) daemon.limit[endpoint] += 0.2;
  Dispatch(index);
}

void CreditSimulation::ReportLoad(int index) {
  RunOrDefer(index, [this, index] {
    for (std::size_t number = 0; number < m_endpoints.size(); ++number) {
      Endpoint& endpoint = m_endpoints[number];
      const int reported = ReportedActive(endpoint);
      if (m_scenario.mode == LimitMode::kCredits) {
        OnOwner(index, OwnedLoadReported{StableHash(endpoint.id), m_scenario.slots,
                                         std::min(reported, m_scenario.slots),
                                         std::max(0, reported - m_scenario.slots)});
      } else if (m_scenario.mode == LimitMode::kAdaptiveOnly && reported > m_scenario.slots) {
        double& limit = m_daemons[index].limit[number];
        limit = std::max(1.0, limit * 0.7);
      }
    }
    Dispatch(index);
  });
  m_time.After(kReportInterval, [this, index] { ReportLoad(index); });
}

void CreditSimulation::InjectFault() {
  switch (m_scenario.fault) {
    case CreditFault::kNone:
      return;
    case CreditFault::kLoadDoubles:
      m_load *= 2;
      return;
    case CreditFault::kLoadSkew:
      m_load_skewed = true;
      return;
    case CreditFault::kMessageLoss:
      m_messages_lost = true;
      return;
    case CreditFault::kLoadDoublesAndPartition:
      m_load *= 2;
      Partition();
      return;
    case CreditFault::kPartition:
      Partition();
      return;
    case CreditFault::kDaemonJoin:
      Join();
      return;
    case CreditFault::kDaemonPause:
      Pause();
      return;
    case CreditFault::kDaemonCrash:
      m_daemons[0].up = false;
      for (int index = 1; index < m_scenario.daemons; ++index) {
        SetVisible(index, 0, false, kFailureDetection);
        m_time.After(kListConfirmation, [this, index] {
          m_daemons[index].known_daemons[0] = false;
          UpdateView(index);
        });
      }
      return;
  }
}

void CreditSimulation::Join() {
  AddDaemon();
  const int count = m_scenario.daemons;
  for (Daemon& daemon : m_daemons) {
    daemon.visible_daemons.resize(m_daemons.size(), false);
    daemon.known_daemons.resize(m_daemons.size(), false);
  }
  for (int index = 0; index < count; ++index) {
    SetVisible(index, count, true, kReturnDetection);
    SetVisible(count, index, true, kReturnDetection / 2);
  }
  m_daemons.back().visible_daemons[count] = m_daemons.back().known_daemons[count] = true;
  ReportLoad(count);
  UpdateView(count);
  Arrive(count);
}

void CreditSimulation::Pause() {
  const int count = m_scenario.daemons;
  m_daemons[0].paused = true;
  for (int index = 1; index < count; ++index) SetVisible(index, 0, false, kFailureDetection);
  m_time.After(std::chrono::seconds(20), [this, count] {
    m_daemons[0].paused = false;
    for (const std::function<void()>& action : std::exchange(m_daemons[0].deferred_events, {})) {
      action();
    }
    for (int index = 1; index < count; ++index) SetVisible(index, 0, true, kReturnDetection);
  });
}

void CreditSimulation::Partition() {
  const int count = m_scenario.daemons;
  m_partitioned = true;
  for (int from = 0; from < count; ++from) {
    for (int to = 1 - from % 2; to < count; to += 2) SetVisible(from, to, false, kFailureDetection);
  }
  m_time.After(std::chrono::seconds(30), [this, count] {
    m_partitioned = false;
    for (int from = 0; from < count; ++from) {
      for (int to = 1 - from % 2; to < count; to += 2) SetVisible(from, to, true, kReturnDetection);
    }
  });
}

void CreditSimulation::SetVisible(int observer, int subject, bool visible, Duration delay) {
  m_time.After(Uniform(delay / 2, delay * 3 / 2), [this, observer, subject, visible] {
    RunOrDefer(observer, [this, observer, subject, visible] {
      m_daemons[observer].visible_daemons[subject] = visible;
      if (visible) m_daemons[observer].known_daemons[subject] = true;
      UpdateView(observer);
    });
  });
}

void CreditSimulation::ChangeActive(Endpoint& endpoint, int difference) {
  const TimePoint now = m_time.Now();
  const double elapsed = Seconds(now - endpoint.changed);
  if (endpoint.active > m_scenario.slots) m_overload_seconds += elapsed;
  const TimePoint late = std::max(endpoint.changed, TimePoint(kUtilizationStart));
  if (now > late) {
    m_busy_seconds += Seconds(now - late) * std::min(endpoint.active, m_scenario.slots);
  }
  endpoint.changed = now;
  endpoint.active += difference;
  m_result.max_overshoot = std::max(m_result.max_overshoot, endpoint.active - m_scenario.slots);
}

void CreditSimulation::SampleLoad() {
  for (Endpoint& endpoint : m_endpoints) {
    ChangeActive(endpoint, 0);
    endpoint.history.emplace_back(m_time.Now(), endpoint.active);
    if (endpoint.history.size() > 64) endpoint.history.pop_front();
  }
  m_time.After(std::chrono::milliseconds(250), [this] { SampleLoad(); });
}

int CreditSimulation::ReportedActive(const Endpoint& endpoint) const {
  int active = 0;
  for (const auto& [at, value] : endpoint.history) {
    if (at <= m_time.Now() - m_scenario.report_age) active = value;
  }
  return active;
}

Duration CreditSimulation::Exponential(Duration mean) {
  std::exponential_distribution<double> draw(1.0 / static_cast<double>(mean.count()));
  return Duration(static_cast<Duration::rep>(draw(m_random)) + 1);
}

Duration CreditSimulation::Uniform(Duration low, Duration high) {
  std::uniform_int_distribution<Duration::rep> draw(low.count(), high.count());
  return Duration(draw(m_random));
}

}  // namespace fulmarpoint
