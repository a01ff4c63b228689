#pragma once

#include <cstdint>
#include <vector>

#include "protocol/suspect_messages.h"
#include "utils/time.h"

namespace fulmarpoint {

/// An attempt that ended without an answer.
struct LostAttempt {
  Fingerprint fingerprint = 0;
  EndpointId endpoint;
  TimePoint started{};
  TimePoint ended{};
};

/// Attempts that lost their connection while it is not yet known whether the endpoint's process
/// crashed. Not thread-safe.
class LostAttempts {
 public:
  /// A poison request crashes its endpoint soon after its start. If an attempt that ran for longer
  /// is lost, the cause is another.
  static constexpr Duration kMaxCrashingAttemptDuration = std::chrono::seconds(5);
  /// The store lists a crashed endpoint for a few more heartbeats. A loss that is detected later
  /// does not confirm that the endpoint crashed.
  static constexpr Duration kCrashConfirmationTime = std::chrono::seconds(15);
  static constexpr std::size_t kMaxAttempts = 4096;

  /// Returns false if the attempt cannot have crashed its endpoint or `kMaxAttempts` are kept.
  bool Add(LostAttempt attempt);
  /// Removes and returns the attempts at an endpoint whose process was lost.
  std::vector<LostAttempt> TakeCrashed(const EndpointId& endpoint);
  /// Drops the attempts at an endpoint whose process still answers: only connections were lost.
  void OnAlive(const EndpointId& endpoint);
  /// Returns the endpoints of the kept attempts, each once.
  std::vector<EndpointId> Endpoints() const;
  /// Drops attempts whose endpoint was not found to have crashed in time.
  void Forget(TimePoint now);

 private:
  std::vector<LostAttempt> m_attempts;
};

}  // namespace fulmarpoint
