#pragma once

#include <mutex>
#include <string>

#include "coordination/burn_counters.h"

namespace fulmarpoint {

/// Burn counters shared by the workers. Thread-safe; its mutex is `burn`, the last in the lock
/// order of docs/design.md, so that it can be used under any other lock.
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
