#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "daemon_observer.h"
#include "endpoint_observer.h"
#include "experiment.h"
#include "run_context.h"

namespace fulmarpoint::load {

/// Addresses and ids of the processes of an experiment, by name.
struct Targets {
  std::map<std::string, std::string> daemons;
  std::map<std::string, std::string> endpoints;
  /// Other simulated services that faults may address.
  std::map<std::string, std::string> controls;
  std::map<std::string, int> process_ids;
  /// Empty if the catalogue is not observed.
  std::string operator_key;
};

/// Runs one experiment: creates the load, injects the faults and observes the processes. Used by
/// one thread.
class LoadRun {
 public:
  LoadRun(const Executor& executor, Experiment experiment, Targets targets);

  /// Completes when all requests have ended or `Experiment::finish_limit` has passed.
  Task<void> Run();

  RunContext& Context() { return m_context; }
  EndpointObserver& Observer() { return m_observer; }
  const DaemonObserver& Daemons() const { return m_daemon_observer; }
  /// Number of requests without a final outcome.
  std::uint64_t Unfinished() const { return m_context.active; }
  const Experiment& Settings() const { return m_experiment; }

 private:
  Task<void> ArriveGenerations(std::size_t index);
  Task<void> ArriveCalls(std::size_t index);
  Task<void> InjectFaults();
  Task<void> Inject(Fault fault);
  void SendSignal(const Fault& fault);
  Task<void> Observe();
  Duration NextGap(std::int64_t rate_per_minute);

  Experiment m_experiment;
  Targets m_targets;
  RunContext m_context;
  EndpointObserver m_observer;
  DaemonObserver m_daemon_observer;
  TimePoint m_end;
  int m_arriving = 0;
  bool m_stopped = false;
  bool m_observing = true;
};

}  // namespace fulmarpoint::load
