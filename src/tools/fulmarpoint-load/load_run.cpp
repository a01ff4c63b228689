#include "load_run.h"

#include <csignal>
#include <cstdio>
#include <random>
#include <utility>

#include "call_caller.h"
#include "generation_caller.h"

namespace fulmarpoint::load {

namespace {

constexpr Duration kObserveInterval = std::chrono::milliseconds(500);
constexpr Duration kEndPollInterval = std::chrono::milliseconds(50);

std::vector<std::string> AddressesOf(const std::map<std::string, std::string>& daemons) {
  std::vector<std::string> addresses;
  addresses.reserve(daemons.size());
  for (const auto& [name, address] : daemons) addresses.push_back(address);
  return addresses;
}

std::map<std::string, std::string> NamesByAddress(
    const std::map<std::string, std::string>& daemons) {
  std::map<std::string, std::string> names;
  for (const auto& [name, address] : daemons) names[address] = name;
  return names;
}

}  // namespace

LoadRun::LoadRun(const Executor& executor, Experiment experiment, Targets targets)
    : m_experiment(std::move(experiment)),
      m_targets(std::move(targets)),
      m_context(executor, m_experiment.seed, AddressesOf(m_targets.daemons),
                NamesByAddress(m_targets.daemons)),
      m_endpoint_observer(m_context, m_targets.endpoints),
      m_daemon_observer(m_context, m_targets.daemons, m_targets.operator_key,
                        m_experiment.memory_metric) {}

Duration LoadRun::NextInterarrivalTime(std::int64_t rate_per_minute) {
  std::exponential_distribution<double> gap(static_cast<double>(rate_per_minute) / 60.0);
  return Duration(static_cast<Duration::rep>(gap(m_context.random) * 1e6));
}

Task<void> LoadRun::StartGenerations(std::size_t index) {
  const GenerationLoad& load = m_experiment.generations[index];
  while (true) {
    co_await Sleep(NextInterarrivalTime(load.rate_per_minute));
    if (SteadyNow() >= m_arrivals_end) break;
    const std::string name = "g" + std::to_string(m_context.requests++);
    const auto caller = std::make_shared<GenerationCaller>(m_context, load, name);
    ++m_context.active;
    Spawn(m_context.executor, [this, caller]() -> Task<void> {
      co_await caller->Run();
      --m_context.active;
    });
  }
  --m_active_arrivals;
}

Task<void> LoadRun::StartCalls(std::size_t index) {
  const CallLoad& load = m_experiment.calls[index];
  while (true) {
    co_await Sleep(NextInterarrivalTime(load.rate_per_minute));
    if (SteadyNow() >= m_arrivals_end) break;
    const std::string name = "c" + std::to_string(m_context.requests++);
    const auto caller = std::make_shared<CallCaller>(m_context, load, name);
    ++m_context.active;
    Spawn(m_context.executor, [this, caller]() -> Task<void> {
      co_await caller->Run();
      --m_context.active;
    });
  }
  --m_active_arrivals;
}

void LoadRun::SendSignal(const Fault& fault) {
  const auto found = m_targets.process_ids.find(fault.target);
  if (found == m_targets.process_ids.end()) {
    std::fprintf(stderr, "fault: no --pid for %s\n", fault.target.c_str());
    return;
  }
  int number = SIGCONT;
  if (fault.signal == "stop") {
    number = SIGSTOP;
    m_context.Record(DaemonPaused{fault.target});
  } else if (fault.signal == "term") {
    number = SIGTERM;
    m_context.Record(DrainStarted{fault.target});
  } else if (fault.signal == "kill") {
    number = SIGKILL;
    m_context.Record(DaemonStopped{fault.target});
  } else {
    m_context.Record(DaemonUnpaused{fault.target});
  }
  if (kill(found->second, number) != 0) std::perror(fault.target.c_str());
}

Task<void> LoadRun::Inject(Fault fault) {
  if (!fault.signal.empty()) {
    SendSignal(fault);
    co_return;
  }
  if (!fault.apply.empty()) {
    co_await m_daemon_observer.Apply(fault.apply);
    co_return;
  }
  HttpClientRequest request;
  request.address = m_targets.endpoints[fault.target];
  if (request.address.empty()) request.address = m_targets.control_addresses[fault.target];
  if (request.address.empty()) {
    std::fprintf(stderr, "fault: no address for %s\n", fault.target.c_str());
    co_return;
  }
  request.method = "POST";
  request.target = "/control";
  request.body = fault.control;
  request.new_connection = true;
  const HttpResult result = co_await m_context.client.Send(std::move(request));
  if (!result.error && result.reply.status != 200) {
    std::fprintf(stderr, "fault: %s: %s\n", fault.target.c_str(), result.reply.body.c_str());
  }
}

Task<void> LoadRun::InjectFaults() {
  const TimePoint start = SteadyNow();
  for (const Fault& fault : m_experiment.faults) {
    co_await Sleep(std::max(start + fault.at - SteadyNow(), Duration::zero()));
    co_await Inject(fault);
  }
}

Task<void> LoadRun::Observe() {
  while (!m_stop_observing) {
    co_await m_endpoint_observer.Poll();
    co_await m_daemon_observer.Poll();
    co_await Sleep(kObserveInterval);
  }
  m_observing = false;
}

Task<void> LoadRun::Run() {
  m_arrivals_end = SteadyNow() + m_experiment.duration;
  const Executor& executor = m_context.executor;
  for (std::size_t i = 0; i < m_experiment.generations.size(); ++i, ++m_active_arrivals) {
    Spawn(executor, [this, i]() { return StartGenerations(i); });
  }
  for (std::size_t i = 0; i < m_experiment.calls.size(); ++i, ++m_active_arrivals) {
    Spawn(executor, [this, i]() { return StartCalls(i); });
  }
  Spawn(executor, [this]() { return InjectFaults(); });
  Spawn(executor, [this]() { return Observe(); });
  const TimePoint limit = m_arrivals_end + m_experiment.finish_limit;
  while (SteadyNow() < limit && (m_active_arrivals > 0 || m_context.active > 0)) {
    co_await Sleep(kEndPollInterval);
  }
  m_stop_observing = true;
  // Waits for a poll of `Observe` in progress, which must not interleave with the final poll.
  while (m_observing) co_await Sleep(kEndPollInterval);
  co_await m_endpoint_observer.Poll();
  co_await m_endpoint_observer.ReadCounters();
}

}  // namespace fulmarpoint::load
