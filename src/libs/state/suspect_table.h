#pragma once

#include <mutex>
#include <vector>

#include "coordination/crash_suspects.h"

namespace fulmarpoint {

/// This daemon's crash suspects, shared by the workers. Thread-safe; its mutex is `suspects` in the
/// lock order of docs/design.md and no other lock is taken under it. The caller carries out the
/// returned actions without a lock.
class SuspectTable {
 public:
  explicit SuspectTable(CrashSuspectsSettings settings = {}) : m_suspects(settings) {}

  std::vector<CrashSuspectsAction> Handle(const CrashSuspectsEvent& event, TimePoint now);
  SuspicionState State(Fingerprint fingerprint) const;
  bool MayRunAt(Fingerprint fingerprint, const EndpointId& endpoint, bool owned, Duration waited,
                TimePoint now) const;
  /// Checks the endpoint and starts the run under one lock, so that two suspects are never started
  /// at one endpoint. Returns false, and starts nothing, if the run may not be sent there.
  bool TryStart(const AttemptStarted& run, bool owned, Duration waited, TimePoint now,
                std::vector<CrashSuspectsAction>& actions);

 private:
  mutable std::mutex m_mutex;
  CrashSuspects m_suspects;
};

}  // namespace fulmarpoint
