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

/// Returns the age at which a peer's proof of the configuration shows that the peer is in trouble.
/// More of the validity has passed than while all is well, and enough is left to look elsewhere.
/// Thread-safe.
inline Duration OldProofAge(Duration validity) {
  constexpr double kShare = 0.55;
  return Duration(static_cast<Duration::rep>(static_cast<double>(validity.count()) * kShare));
}

/// What a daemon does with requests once the proof of its configuration has expired.
enum class ExpiredConfigurationPolicy {
  /// It refuses what a removed key could have sent.
  kRefuse,
  /// It goes on with the configuration that it has: a daemon that has lost the store keeps serving,
  /// and keys that were removed meanwhile work there until it has the store again.
  kServe,
};

/// How long this daemon may rely on its configuration. A reply of the store proves that the
/// configuration was current when the call began, whatever happened to the daemon since. All
/// instants are of a clock that counts suspension. Not thread-safe.
class ConfigurationFreshness {
 public:
  /// `validity` is the time after a key's removal from which no request may run with it.
  explicit ConfigurationFreshness(Duration validity, ExpiredConfigurationPolicy when_expired =
                                                         ExpiredConfigurationPolicy::kRefuse)
      : m_validity(validity), m_when_expired(when_expired) {}

  /// A call that began at `started` returned the current configuration.
  void Confirm(TimePoint started) {
    if (!m_confirmed || started > *m_confirmed) m_confirmed = started;
  }

  /// Returns whether the configuration was proven within the validity before `arrival`. A request
  /// that arrived then was sent before, so a key that it bears was not removed longer ago.
  bool IsConfirmed(TimePoint arrival) const {
    return m_confirmed && arrival - *m_confirmed < m_validity;
  }

  /// Returns whether a request that arrived at `arrival` may run with a key, now or later.
  bool Permits(TimePoint arrival) const {
    const bool serves_expired = m_when_expired == ExpiredConfigurationPolicy::kServe && m_confirmed;
    return serves_expired || IsConfirmed(arrival);
  }

  /// Returns the age of the proof, or nothing if there is none.
  std::optional<Duration> Age(TimePoint now) const {
    if (!m_confirmed) return std::nullopt;
    return now - *m_confirmed;
  }

 private:
  Duration m_validity;
  ExpiredConfigurationPolicy m_when_expired;
  std::optional<TimePoint> m_confirmed;
};

}  // namespace fulmarpoint
