#include "state/suspect_table.h"

namespace fulmarpoint {

std::vector<CrashSuspectsAction> SuspectTable::Handle(const CrashSuspectsEvent& event,
                                                      TimePoint now) {
  std::vector<CrashSuspectsAction> actions;
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_suspects.Handle(event, now, actions);
  return actions;
}

SuspicionState SuspectTable::State(Fingerprint fingerprint) const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_suspects.State(fingerprint);
}

bool SuspectTable::MayRunAt(Fingerprint fingerprint, const EndpointId& endpoint, bool owned,
                            Duration waited, TimePoint now) const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_suspects.MayRunAt(fingerprint, endpoint, owned, waited, now);
}

bool SuspectTable::TryStart(const AttemptStarted& run, bool owned, Duration waited, TimePoint now,
                            std::vector<CrashSuspectsAction>& actions) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (!m_suspects.MayRunAt(run.fingerprint, run.endpoint, owned, waited, now)) return false;
  m_suspects.Handle(run, now, actions);
  return true;
}

}  // namespace fulmarpoint
