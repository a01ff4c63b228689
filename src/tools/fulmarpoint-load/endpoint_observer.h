#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "run_context.h"

namespace fulmarpoint::load {

/// Polls the events and counters of simulated endpoints through `/control` and adds the events to
/// the history. Used by one thread.
class EndpointObserver {
 public:
  /// `endpoints` maps names to addresses.
  EndpointObserver(RunContext& context, const std::map<std::string, std::string>& endpoints);

  /// Reads the events that are new since the previous poll.
  Task<void> Poll();
  /// Reads the counters of all endpoints.
  Task<void> ReadCounters();

  /// Sum of a counter over all endpoints.
  std::uint64_t Counter(const std::string& name) const;
  /// Times at which endpoints resumed or reconnected a request.
  const std::multimap<RequestName, TimePoint>& Resumptions() const { return m_resumptions; }

 private:
  struct Observed {
    std::string address;
    std::uint64_t sequence = 0;
    std::map<std::string, std::uint64_t> counters;
  };

  Task<void> PollEndpoint(const std::string& name, Observed& observed);
  void AddToHistory(const std::string& endpoint, const std::string& event_text);

  RunContext& m_context;
  std::map<std::string, Observed> m_endpoints;
  std::multimap<RequestName, TimePoint> m_resumptions;
};

}  // namespace fulmarpoint::load
