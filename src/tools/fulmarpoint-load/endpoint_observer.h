#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "run_context.h"

namespace fulmarpoint::load {

/// Reads the events and counters of stand-ins through `/control` and turns them into history
/// records. Used by one thread.
class EndpointObserver {
 public:
  /// `endpoints` maps names to addresses.
  EndpointObserver(RunContext& context, const std::map<std::string, std::string>& endpoints);

  /// Reads all events that were not read before.
  Task<void> Poll();
  /// Reads the counters of all endpoints.
  Task<void> ReadCounters();

  /// Sum of a counter over all endpoints.
  std::uint64_t Counter(const std::string& name) const;
  /// Instants at which a request began again at an endpoint, by request.
  const std::multimap<RequestName, TimePoint>& Resumptions() const { return m_resumptions; }

 private:
  struct Observed {
    std::string address;
    std::uint64_t sequence = 0;
    std::map<std::string, std::uint64_t> counters;
  };

  Task<void> PollOne(const std::string& name, Observed& observed);
  void Convert(const std::string& endpoint, const std::string& event_text);

  RunContext& m_context;
  std::map<std::string, Observed> m_endpoints;
  std::multimap<RequestName, TimePoint> m_resumptions;
};

}  // namespace fulmarpoint::load
