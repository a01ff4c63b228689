#pragma once

#include <cstdint>
#include <optional>
#include <tuple>
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
  /// Fingerprints of the parts of the request's prompt.
  std::vector<Fingerprint> parts;
  /// The endpoint's process; see `EndpointRecord`.
  std::int64_t incarnation = 0;
  /// When the first event of a stream arrived, if any did.
  std::optional<TimePoint> first_event;
};

/// One process of an endpoint, which may restart under the same identifier.
struct EndpointProcess {
  EndpointId endpoint;
  std::int64_t incarnation = 0;

  bool operator<(const EndpointProcess& other) const {
    return std::tie(endpoint, incarnation) < std::tie(other.endpoint, other.incarnation);
  }
};

/// Attempts that lost their connection while it is not yet known whether the endpoint's process
/// crashed. Not thread-safe.
class LostAttempts {
 public:
  /// A poison request crashes its endpoint soon after its start. If an attempt that ran for longer
  /// is lost, the cause is another.
  static constexpr Duration kMaxCrashingAttemptDuration = std::chrono::seconds(5);
  /// An endpoint crashes when it begins to run a poison request, which is about the time of the
  /// first event. A stream that has sent events for longer than this is known to be harmless.
  static constexpr Duration kMaxRunBeforeCrash = std::chrono::seconds(1);
  /// The store lists a crashed endpoint for a few more heartbeats. A loss that is detected later
  /// does not confirm that the endpoint crashed.
  static constexpr Duration kCrashConfirmationTime = std::chrono::seconds(15);
  static constexpr std::size_t kMaxAttempts = 4096;

  /// Returns false if the attempt cannot have crashed its endpoint or `kMaxAttempts` are kept.
  bool Add(LostAttempt attempt);
  /// Removes and returns the attempts at an endpoint whose process was lost.
  std::vector<LostAttempt> TakeCrashed(const EndpointId& endpoint);
  /// Removes and returns the attempts at one process of an endpoint.
  std::vector<LostAttempt> TakeCrashed(const EndpointProcess& process);
  /// Drops the attempts at an endpoint whose process still answers: only connections were lost.
  void OnAlive(const EndpointId& endpoint);
  /// Returns the endpoint processes of the kept attempts, each once.
  std::vector<EndpointProcess> Processes() const;
  /// Drops attempts whose endpoint was not found to have crashed in time.
  void Forget(TimePoint now);

 private:
  template <typename Predicate>
  std::vector<LostAttempt> Take(const Predicate& is_taken);

  std::vector<LostAttempt> m_attempts;
};

}  // namespace fulmarpoint
