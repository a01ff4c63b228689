#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "run_context.h"

namespace fulmarpoint::load {

/// Polls the daemons' metrics and admin API, and applies catalogue changes. The catalogue is only
/// observed with an operator key. Used by one thread.
class DaemonObserver {
 public:
  /// `daemons` maps names to addresses. `memory_metric` is the gauge whose peak is recorded.
  DaemonObserver(RunContext& context, const std::map<std::string, std::string>& daemons,
                 std::string operator_key, std::string memory_metric);

  Task<void> Poll();
  /// Sends a catalogue file to the first daemon that can be reached, and records the revision if it
  /// is accepted.
  Task<void> Apply(std::string catalogue);

  /// Highest sum of the memory metric over the daemons.
  double PeakMemory() const { return m_peak_memory; }

 private:
  struct Observed {
    std::string address;
    bool seen = false;
    bool accepts_work = true;
    std::uint64_t revision = 0;
  };

  Task<double> ReadMemory(std::string address);
  Task<void> ReadCatalogue(std::string name);
  void RecordCatalogue(const std::string& name, const std::string& body);

  RunContext& m_context;
  std::map<std::string, Observed> m_daemons;
  std::string m_operator_key;
  std::string m_memory_metric;
  double m_peak_memory = 0;
};

}  // namespace fulmarpoint::load
