#pragma once

#include <cstdint>
#include <vector>

#include "protocol/suspect_messages.h"
#include "utils/time.h"

namespace fulmarpoint {

/// A run that ended without an answer.
struct LostAttempt {
  Fingerprint fingerprint = 0;
  EndpointId endpoint;
  TimePoint started{};
  TimePoint ended{};
};

/// Runs that were lost while it is not known whether the endpoint's process was lost too. Not
/// thread-safe.
class LostAttempts {
 public:
  /// A request that crashes endpoints does so soon after its start; a longer run has another cause.
  static constexpr Duration kLongestCrashingRun = std::chrono::seconds(5);
  /// The store lists a crashed endpoint for some heartbeats; later its loss proves nothing.
  static constexpr Duration kProofTime = std::chrono::seconds(15);
  static constexpr std::size_t kMaxRuns = 4096;

  /// Returns false if the run cannot have crashed its endpoint, or too many are kept already.
  bool Add(LostAttempt run);
  /// The endpoint's process was lost. Returns and forgets its runs.
  std::vector<LostAttempt> TakeCrashed(const EndpointId& endpoint);
  /// The endpoint's process still answers: its runs were lost with their connections.
  void OnAlive(const EndpointId& endpoint);
  /// Endpoints of the runs that are kept.
  std::vector<EndpointId> Endpoints() const;
  void Forget(TimePoint now);

 private:
  std::vector<LostAttempt> m_runs;
};

}  // namespace fulmarpoint
