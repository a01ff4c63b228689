#pragma once

#include <mutex>
#include <string>

#include "coordination/burn_counters.h"

namespace fulmarpoint {

/// Error budget counters, shared by the worker threads. Thread-safe; its mutex is `burn`, the last
/// in the lock order of docs/design.md, so it can be used while any other lock is held.
class BurnTable {
 public:
  void Add(const FinishedRequest& request, const ServiceObjectives& objectives, TimePoint now);
  void AddAction(const std::string& what);
  BurnReport Report(const std::string& daemon, TimePoint now) const;

 private:
  mutable std::mutex m_mutex;
  BurnCounters m_counters;
};

}  // namespace fulmarpoint
