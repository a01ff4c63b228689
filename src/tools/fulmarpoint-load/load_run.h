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
  std::map<std::string, std::string> control_addresses;
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
  EndpointObserver& Endpoints() { return m_endpoint_observer; }
  const DaemonObserver& Daemons() const { return m_daemon_observer; }
  /// Number of requests without a final outcome.
  std::uint64_t UnfinishedRequests() const { return m_context.active; }
  const Experiment& Settings() const { return m_experiment; }

 private:
  Task<void> StartGenerations(std::size_t index);
  Task<void> StartCalls(std::size_t index);
  Task<void> InjectFaults();
  Task<void> Inject(Fault fault);
  void SendSignal(const Fault& fault);
  Task<void> Observe();
  Duration NextInterarrivalTime(std::int64_t rate_per_minute);

  Experiment m_experiment;
  Targets m_targets;
  RunContext m_context;
  EndpointObserver m_endpoint_observer;
  DaemonObserver m_daemon_observer;
  TimePoint m_arrivals_end;
  int m_active_arrivals = 0;
  bool m_stop_observing = false;
  bool m_observing = true;
};

}  // namespace fulmarpoint::load
