#include "support/request_simulation.h"

#include <algorithm>
#include <utility>

#include "support/simulated_daemon.h"
#include "verification/token_function.h"

namespace fulmarpoint {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kSimulatedTime = std::chrono::minutes(3);
/// Time for which a draining daemon still accepts requests of callers with an outdated lookup
/// answer.
constexpr Duration kDrainGracePeriod = milliseconds(200);

}  // namespace

RequestSimulation::RequestSimulation(RequestPlan plan)
    : queue(plan.seed),
      network(queue, milliseconds(1)),
      store(network, queue),
      m_plan(std::move(plan)),
      m_injected(m_plan.faults.size(), false) {
  for (const char* name : {"e0", "e1", "e2", "e3"}) {
    const bool first =
        m_plan.kind == ScenarioKind::kGenerationVersionGone ? name < "e2" : name < "e3";
    SimulatedEngineConfig config{name, kModel, first ? "v1" : "v2"};
    engines.emplace(name, SimulatedEngine(config, queue));
  }
  for (const char* name : {"d0", "d1", "d2"}) {
    daemons[name] = std::make_unique<SimulatedDaemon>(*this, InstanceId{name, 1});
  }
}

RequestSimulation::~RequestSimulation() = default;

RequestSimulationResult RequestSimulation::Run() {
  for (int i = 0; i < 2; ++i) {
    Caller caller;
    caller.name = "r" + std::to_string(i);
    caller.seed = 100 + static_cast<std::uint64_t>(i);
    caller.key = "key-" + std::to_string(i);
    caller.sends_tokens_back = queue.Draw(5) != 0;
    m_callers.push_back(caller);
  }
  for (Caller& caller : m_callers) {
    queue.After(milliseconds(queue.Draw(20)), [this, &caller] { Lookup(caller); });
  }
  queue.RunUntil(TimePoint(kSimulatedTime));
  RequestSimulationResult run;
  run.violations = CheckHistory(m_history);
  for (std::size_t i = 0; i < m_history.size(); ++i) {
    const auto* answer = std::get_if<AnswerReceived>(&m_history[i].event);
    if (answer == nullptr || !IsGeneration(m_plan.kind) || answer->total == kTokens) continue;
    run.violations.push_back({Guarantee::kP4, answer->request + ": answer is cut short", {i}});
  }
  const auto has = [this](Fault fault) {
    return std::any_of(m_plan.faults.begin(), m_plan.faults.end(),
                       [fault](const PlannedFault& planned) { return planned.fault == fault; });
  };
  if (has(Fault::kDaemonDrain) && has(Fault::kDaemonCrash)) {
    // The history does not distinguish a crash during the drain from the drain itself, and P8 does
    // not cover crashes.
    std::erase_if(run.violations,
                  [](const Violation& violation) { return violation.guarantee == Guarantee::kP8; });
  }
  run.history = std::move(m_history);
  run.result = m_callers[0].result;
  run.injected = m_injected;
  run.longest_gap = m_callers[0].longest_gap;
  return run;
}

void RequestSimulation::InjectFaultsAt(Step step, const RequestName& request) {
  if (request != "r0") return;
  for (std::size_t i = 0; i < m_plan.faults.size(); ++i) {
    if (m_injected[i] || m_plan.faults[i].step != step) continue;
    m_injected[i] = true;
    InjectFault(m_plan.faults[i].fault);
  }
}

void RequestSimulation::RunAtStep(Step step, const RequestName& request, const std::string& node,
                                  std::function<void()> next) {
  InjectFaultsAt(step, request);
  network.Post(node, queue.Now(), std::move(next));
}

void RequestSimulation::InjectFaultsAtToken(std::uint64_t position, const RequestName& request) {
  std::optional<Step> step;
  if (position == 0) step = Step::kFirstToken;
  if (position == kTokens / 2) step = Step::kMidStream;
  if (position == kTokens - 1) step = Step::kLastToken;
  if (!step || request != "r0") return;
  for (std::size_t i = 0; i < m_plan.faults.size(); ++i) {
    const Fault fault = m_plan.faults[i].fault;
    if (m_injected[i] || m_plan.faults[i].step != *step) continue;
    m_injected[i] = true;
    const bool of_message = fault >= Fault::kAnswerLost && fault <= Fault::kAnswerDuplicated;
    if (of_message) {
      InjectFault(fault);
    } else {
      // The engine is calling its sink, so its state must not change before it returns.
      queue.After(Duration::zero(), [this, fault] { InjectFault(fault); });
    }
  }
}

void RequestSimulation::SetCurrentEndpoint(const RequestName& request, const EndpointId& endpoint) {
  if (request == "r0") current_endpoint = endpoint;
}

std::string RequestSimulation::CurrentEndpoint() const {
  if (!current_endpoint.empty()) return current_endpoint;
  return IsGeneration(m_plan.kind) ? "e0" : "a0";
}

void RequestSimulation::ActivateFor(Fault fault, Duration duration) {
  m_active.insert(fault);
  queue.After(duration, [this, fault] { m_active.erase(fault); });
}

void RequestSimulation::InjectFault(Fault fault) {
  const std::string endpoint = CurrentEndpoint();
  const auto engine = engines.find(endpoint);
  const bool model = engine != engines.end();
  switch (fault) {
    case Fault::kEndpointCrash:
      network.Crash(endpoint);
      Record(EndpointCrashed{endpoint});
      if (model) engine->second.Crash();
      queue.After(seconds(5), [this, endpoint] {
        network.Restart(endpoint);
        const auto restarted = engines.find(endpoint);
        if (restarted != engines.end()) restarted->second.Restart();
      });
      return;
    case Fault::kEndpointPause:
      network.Pause(endpoint);
      if (model) engine->second.Pause();
      queue.After(seconds(4), [this, endpoint] {
        const auto paused = engines.find(endpoint);
        if (paused != engines.end()) paused->second.Unpause();
        network.Unpause(endpoint);
      });
      return;
    case Fault::kEndpointSlow:
      slow.insert(endpoint);
      if (model) engine->second.SetSlowFactor(40);
      queue.After(seconds(4), [this, endpoint] {
        slow.erase(endpoint);
        const auto slowed = engines.find(endpoint);
        if (slowed != engines.end()) slowed->second.SetSlowFactor(1);
      });
      return;
    case Fault::kEndpointRefuses:
      refusing.insert(endpoint);
      if (model) engine->second.SetRefusing(true);
      queue.After(seconds(3), [this, endpoint] {
        refusing.erase(endpoint);
        const auto refused = engines.find(endpoint);
        if (refused != engines.end()) refused->second.SetRefusing(false);
      });
      return;
    case Fault::kBlackholedConnection:
      return network.BlackholeConnections(endpoint);
    case Fault::kPartitionEndpoint:
      network.Partition(current_daemon, endpoint);
      queue.After(seconds(5),
                  [this, daemon = current_daemon, endpoint] { network.Heal(daemon, endpoint); });
      return;
    case Fault::kStoreDown:
      return InjectStoreFault(FakeTableService::Mode::kDown);
    case Fault::kStoreSlow:
      return InjectStoreFault(FakeTableService::Mode::kSlow);
    case Fault::kStoreResponseLost:
      return InjectStoreFault(FakeTableService::Mode::kResponseLost);
    case Fault::kStoreDelayedWrite:
      return InjectStoreFault(FakeTableService::Mode::kDelayedWrite);
    case Fault::kAnswerLate:
      m_late_endpoint = endpoint;
      m_late_until = queue.Now() + milliseconds(500 + queue.Draw(4000));
      return ActivateFor(fault, seconds(3));
    case Fault::kAnswerLost:
    case Fault::kAnswersSwapped:
    case Fault::kAnswerDuplicated:
    case Fault::kWrongList:
      return ActivateFor(fault, seconds(3));
    case Fault::kStaleList:
      return MakeEndpointListStale();
    case Fault::kCallerGone:
    case Fault::kCallerSlow:
    case Fault::kCallerSwitchesDaemon:
      return InjectCallerFault(fault);
    case Fault::kDaemonCrash:
    case Fault::kDaemonPause:
    case Fault::kDaemonDrain:
    case Fault::kPartitionDaemons:
    case Fault::kPartitionStore:
      return InjectDaemonFault(fault);
  }
}

void RequestSimulation::InjectStoreFault(FakeTableService::Mode mode) {
  store.SetMode(mode);
  queue.After(seconds(4), [this] { store.SetMode(FakeTableService::Mode::kUp); });
}

void RequestSimulation::InjectDaemonFault(Fault fault) {
  const std::string daemon = current_daemon;
  if (fault == Fault::kDaemonCrash) {
    CrashDaemon(daemon, seconds(2));
  } else if (fault == Fault::kDaemonPause) {
    network.Pause(daemon);
    Record(DaemonPaused{daemon});
    queue.After(seconds(6), [this, daemon] {
      if (!network.IsPaused(daemon)) return;
      Record(DaemonUnpaused{daemon});
      network.Unpause(daemon);
    });
  } else if (fault == Fault::kDaemonDrain) {
    Record(DrainStarted{daemon});
    SimulatedDaemon* process = daemons.at(daemon).get();
    queue.After(kDrainGracePeriod,
                [this, daemon, process] { ExitWhenIdle(daemon, process, false); });
  } else if (fault == Fault::kPartitionDaemons) {
    for (const auto& [other, object] : daemons) {
      if (other == daemon) continue;
      network.Partition(daemon, other);
      queue.After(seconds(5), [this, daemon, other = other] { network.Heal(daemon, other); });
    }
  } else {
    network.Partition(daemon, FakeTableService::kNode);
    queue.After(seconds(5), [this, daemon] { network.Heal(daemon, FakeTableService::kNode); });
  }
}

void RequestSimulation::CrashDaemon(const std::string& daemon,
                                    std::optional<Duration> restart_after) {
  if (!network.IsRunning(daemon)) return;
  network.Crash(daemon);
  Record(DaemonStopped{daemon});
  daemons.at(daemon)->MarkEnded();
  if (!restart_after) return;
  queue.After(*restart_after, [this, daemon] {
    m_ended_daemons.push_back(std::move(daemons.at(daemon)));
    const auto process = static_cast<std::uint64_t>(queue.Now().time_since_epoch().count());
    daemons[daemon] = std::make_unique<SimulatedDaemon>(*this, InstanceId{daemon, process});
    network.Restart(daemon);
    Record(DaemonStarted{daemon});
  });
}

void RequestSimulation::ExitWhenIdle(const std::string& daemon, SimulatedDaemon* process,
                                     bool was_idle) {
  if (!network.IsRunning(daemon) || daemons.at(daemon).get() != process) return;
  bool idle = false;
  if (!network.IsPaused(daemon)) {
    network.StopListening(daemon);
    process->HandOff();
    idle = !process->HasOpenRequests();
  }
  // Between two checks, messages in flight to and from the process arrive.
  if (idle && was_idle) return CrashDaemon(daemon, std::nullopt);
  queue.After(milliseconds(500),
              [this, daemon, process, idle] { ExitWhenIdle(daemon, process, idle); });
}

void RequestSimulation::MakeEndpointListStale() {
  ActivateFor(Fault::kStaleList, seconds(3));
  for (const char* endpoint : {"e1", "a1"}) {
    network.Crash(endpoint);
    const auto engine = engines.find(endpoint);
    if (engine != engines.end()) engine->second.Crash();
  }
}

void RequestSimulation::InjectCallerFault(Fault fault) {
  Caller& caller = m_callers[0];
  if (caller.ended) return;
  const auto serial = caller.serial;
  const auto notify = [this, &caller](auto action) {
    const std::string daemon = caller.connected_to;
    if (daemon.empty() || caller.session == 0) return;
    network.SendDatagram("c-r0", daemon, [this, daemon, session = caller.session, action] {
      action(*daemons.at(daemon), session);
    });
  };
  if (fault == Fault::kCallerSlow) {
    notify([](SimulatedDaemon& daemon, std::uint64_t id) { daemon.SetCallerReading(id, false); });
    queue.After(seconds(5), [this, &caller, serial, notify] {
      if (caller.serial != serial) return;
      notify([](SimulatedDaemon& daemon, std::uint64_t id) { daemon.SetCallerReading(id, true); });
      caller.last_data = queue.Now();
    });
    caller.last_data = queue.Now() + seconds(5);
    return;
  }
  notify([](SimulatedDaemon& daemon, std::uint64_t id) { daemon.OnCallerDisconnected(id); });
  if (fault == Fault::kCallerGone) {
    Record(RequestAbandoned{caller.name});
    EndCaller(caller, "gone");
    return;
  }
  ++caller.serial;
  RetryAtNextDaemon(caller, Duration::zero());
}

void RequestSimulation::SendAnswer(VirtualNetwork::ConnectionId connection,
                                   const std::string& endpoint, const std::string& daemon,
                                   const std::function<void()>& deliver,
                                   const std::function<void()>& lost) {
  const bool late = IsActive(Fault::kAnswerLate) && queue.Now() < m_late_until;
  if (late && endpoint == m_late_endpoint) {
    // Posted at the daemon, so that closing the connection does not drop the message.
    m_late_until += Duration(1);
    return network.Post(daemon, m_late_until, deliver);
  }
  if (endpoint != CurrentEndpoint()) return network.Send(connection, false, deliver);
  if (IsActive(Fault::kAnswerLost)) {
    network.Close(connection);
    return network.Post(daemon, queue.Now() + milliseconds(1), lost);
  }
  if (IsActive(Fault::kAnswersSwapped) && IsGeneration(m_plan.kind)) {
    if (!m_delayed_message) {
      m_delayed_message = [this, connection, deliver] { network.Send(connection, false, deliver); };
      queue.After(milliseconds(100), [this] {
        if (m_delayed_message) std::exchange(m_delayed_message, nullptr)();
      });
      return;
    }
    network.Send(connection, false, deliver);
    return std::exchange(m_delayed_message, nullptr)();
  }
  network.Send(connection, false, deliver);
  if (IsActive(Fault::kAnswerDuplicated)) network.Send(connection, false, deliver);
}

void RequestSimulation::OpenStream(SimulatedEngine& engine,
                                   const SimulatedEngine::StreamRequest& stream,
                                   const SimulatedEngine::Sink& sink, const RequestName& request,
                                   bool is_resumption) {
  const EndpointId endpoint = engine.Config().endpoint;
  if (!refusing.contains(endpoint)) {
    Record(RequestStarted{request, endpoint, kService, engine.Config().version,
                          is_resumption ? WorkKind::kResumed : WorkKind::kNew});
  }
  engine.Open(stream, sink);
  version_gone = m_plan.kind == ScenarioKind::kGenerationVersionGone;
}

void RequestSimulation::ServeCall(const std::string& endpoint, const RequestName& request,
                                  const std::string& body,
                                  const std::function<void(int, std::string, RequestName)>& reply) {
  if (refusing.contains(endpoint) || IsActive(Fault::kWrongList)) return reply(503, "", request);
  Record(RequestStarted{request, endpoint, kService, "v1"});
  const Duration work = milliseconds(100) * (slow.contains(endpoint) ? 20 : 1);
  network.Post(endpoint, queue.Now() + work, [this, endpoint, request, body, reply] {
    Record(EffectApplied{request, endpoint});
    const std::string answer = AnswerTo("POST", "/order", body);
    if (!IsActive(Fault::kAnswersSwapped)) return reply(200, answer, request);
    if (m_delayed_answer && m_delayed_answer->request != request) {
      const DelayedAnswer delayed = *std::exchange(m_delayed_answer, std::nullopt);
      delayed.reply(200, answer, request);
      return reply(200, delayed.body, delayed.request);
    }
    m_delayed_answer = DelayedAnswer{answer, request, reply};
    queue.After(seconds(1), [this, request] {
      if (!m_delayed_answer || m_delayed_answer->request != request) return;
      const DelayedAnswer delayed = *std::exchange(m_delayed_answer, std::nullopt);
      delayed.reply(200, delayed.body, delayed.request);
    });
  });
}

}  // namespace fulmarpoint
