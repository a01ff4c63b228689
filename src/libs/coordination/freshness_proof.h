#pragma once

#include <algorithm>
#include <optional>

#include "utils/time.h"

namespace fulmarpoint {

/// Part of a proof's validity that may have passed when the store is lost; the rest is left to
/// serve requests without it.
inline constexpr double kProofShareUsed = 0.4;

/// Returns how long a watch of the configuration may wait for a change. When the store is lost, the
/// watch in progress proves nothing and the one before it began up to two such waits ago; a daemon
/// that follows another's copy is another `follow_delay` behind. Thread-safe.
inline Duration ProofWatchTime(Duration validity, Duration follow_delay) {
  constexpr Duration kShortest = std::chrono::milliseconds(200);
  constexpr Duration kLongest = std::chrono::seconds(5);
  const Duration used(
      static_cast<Duration::rep>(static_cast<double>(validity.count()) * kProofShareUsed));
  return std::clamp((used - follow_delay) / 2, kShortest, kLongest);
}

/// How long this daemon may rely on its configuration. A reply of the store proves that the
/// configuration was current when the call began, whatever happened to the daemon since. All
/// instants are of a clock that counts suspension. Not thread-safe.
class FreshnessProof {
 public:
  /// `validity` is the time after a key's removal from which no request may run with it.
  explicit FreshnessProof(Duration validity) : m_validity(validity) {}

  /// A call that began at `started` returned the current configuration.
  void Confirm(TimePoint started) {
    if (!m_confirmed || started > *m_confirmed) m_confirmed = started;
  }

  /// Returns whether a request that arrived at `arrival` may run with a key, now or later: its
  /// caller sent it before the arrival, so within the validity of the proof.
  bool Holds(TimePoint arrival) const { return m_confirmed && arrival - *m_confirmed < m_validity; }

  /// Returns the age of the proof, or nothing if there is none.
  std::optional<Duration> Age(TimePoint now) const {
    if (!m_confirmed) return std::nullopt;
    return now - *m_confirmed;
  }

 private:
  Duration m_validity;
  std::optional<TimePoint> m_confirmed;
};

}  // namespace fulmarpoint
