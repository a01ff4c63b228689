#pragma once

#include <mutex>
#include <vector>

#include "coordination/crash_suspects.h"

namespace fulmarpoint {

/// Fingerprints that this daemon suspects of crashing endpoints, shared by the worker threads.
/// Thread-safe; its mutex is `suspects` in the lock order of docs/design.md, and no other lock is
/// acquired while it is held. The caller must not hold a lock while it executes the returned
/// actions.
class SuspectTable {
 public:
  explicit SuspectTable(CrashSuspectsSettings settings = {}) : m_suspects(settings) {}

  std::vector<CrashSuspectsAction> Handle(const CrashSuspectsEvent& event, TimePoint now);
  SuspicionState State(Fingerprint fingerprint) const;
  bool MayRunAt(Fingerprint fingerprint, const EndpointId& endpoint, bool owned, Duration waited,
                TimePoint now) const;
  /// Checks the endpoint and starts the attempt under one lock, so that two suspects never start at
  /// one endpoint. Returns false, and starts nothing, if the attempt may not be sent there.
  bool TryStart(const AttemptStarted& attempt, bool owned, Duration waited, TimePoint now,
                std::vector<CrashSuspectsAction>& actions);

 private:
  mutable std::mutex m_mutex;
  CrashSuspects m_suspects;
};

}  // namespace fulmarpoint
