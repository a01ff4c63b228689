#pragma once

#include <deque>
#include <map>
#include <queue>
#include <string>
#include <vector>

#include "coordination/engine_scaling.h"
#include "utils/random.h"

namespace fulmarpoint {

/// A queue model of a service's engines: a request waits for a slot, its prompt for the engine's
/// prompts before it, and its stream holds the slot. Times are in seconds.
class EngineModel {
 public:
  struct Totals {
    double first_events = 0.0;
    double late_first_events = 0.0;
    double engine_seconds = 0.0;
  };

  EngineModel(EngineScaling::Limits limits, int engines_per_domain, std::uint64_t seed);

  /// Moves to `now`; requests arrive at `rate` per second meanwhile.
  void Advance(double now, double rate);
  /// Engines that are added serve after the boot time; those that are removed finish their streams.
  void Order(const std::string& domain, int desired);
  /// Removes the engines of the failure domain, whose requests start again, and ignores orders for
  /// it until it is restored.
  void LoseDomain(const std::string& domain);
  void RestoreDomain() { m_lost_domain.clear(); }

  /// Returns the engines that serve, by failure domain.
  std::map<std::string, int> Listed() const;
  /// Returns the load since the last call.
  EngineScaling::Demand TakeDemand();
  Totals Sums() const { return m_sums; }

 private:
  struct Engine {
    std::string domain;
    double serves_at = 0.0;
    double prompts_until = 0.0;
    int running = 0;
    bool is_leaving = false;
    bool is_gone = false;
  };
  struct Stream {
    double end = 0.0;
    std::size_t engine = 0;
    bool operator<(const Stream& other) const { return end > other.end; }
  };

  Engine* BestEngine();
  void StartWaiting();

  EngineScaling::Limits m_limits;
  Random m_random;
  double m_now = 0.0;
  std::string m_lost_domain;
  std::vector<Engine> m_engines;
  std::priority_queue<Stream> m_streams;
  /// Arrival times of the requests that wait for a slot.
  std::deque<double> m_waiting;
  Totals m_sums;
  Totals m_sums_before;
  double m_prompt_tokens = 0.0;
  double m_demand_at = 0.0;
};

}  // namespace fulmarpoint
