#include "state/burn_table.h"

namespace fulmarpoint {

void BurnTable::Add(const FinishedRequest& request, const ServiceObjectives& objectives,
                    TimePoint now) {
  const std::lock_guard lock(m_mutex);
  m_counters.Add(request, objectives, now);
}

void BurnTable::AddAction(const std::string& what) {
  const std::lock_guard lock(m_mutex);
  m_counters.AddAction(what);
}

BurnReport BurnTable::Report(const std::string& daemon, TimePoint now) const {
  const std::lock_guard lock(m_mutex);
  return m_counters.Report(daemon, now);
}

}  // namespace fulmarpoint
