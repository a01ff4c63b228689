#pragma once

#include <algorithm>
#include <optional>

#include "utils/time.h"

namespace fulmarpoint {

/// Largest share of a confirmation's validity that may have passed when the store becomes
/// unreachable; the rest remains for serving requests without it.
inline constexpr double kMaxUsedValidityShare = 0.4;

/// Returns how long a watch of the configuration may wait for a change. When the store becomes
/// unreachable, the watch in progress confirms nothing, and the previous one began up to two such
/// waits ago. A daemon that replicates from a peer lags by another `replication_delay`.
/// Thread-safe.
inline Duration ConfigurationWatchWait(Duration validity, Duration replication_delay) {
  constexpr Duration kShortest = std::chrono::milliseconds(200);
  constexpr Duration kLongest = std::chrono::seconds(5);
  const Duration used(
      static_cast<Duration::rep>(static_cast<double>(validity.count()) * kMaxUsedValidityShare));
  return std::clamp((used - replication_delay) / 2, kShortest, kLongest);
}

/// Returns the age from which a peer's confirmation of the configuration counts as stale. It is
/// more than a healthy peer reaches, and leaves enough of the validity to switch to another source.
/// Thread-safe.
inline Duration StaleConfirmationAge(Duration validity) {
  constexpr double kStaleValidityShare = 0.55;
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(validity.count()) * kStaleValidityShare));
}

/// How a daemon treats requests once the confirmation of its configuration has expired.
enum class ExpiredConfigurationPolicy {
  /// Reject requests that could have been sent with a removed key.
  kReject,
  /// Continue with the last configuration. A daemon that cannot reach the store keeps serving, and
  /// keys that were removed meanwhile keep working there until it reaches the store again.
  kServe,
};

/// Tracks until when this daemon may rely on its configuration. A reply of the store confirms that
/// the configuration was current when the call began, even if the process was paused since. All
/// times are on a clock that includes suspension. Not thread-safe.
class ConfigurationFreshness {
 public:
  /// `validity` is the time after the removal of a key from which no request may run with it.
  explicit ConfigurationFreshness(Duration validity, ExpiredConfigurationPolicy when_expired =
                                                         ExpiredConfigurationPolicy::kReject)
      : m_validity(validity), m_when_expired(when_expired) {}

  /// Replaces what the constructor was given; confirmations stay, and are judged by it at once.
  void SetLimits(Duration validity, ExpiredConfigurationPolicy when_expired) {
    m_validity = validity;
    m_when_expired = when_expired;
  }

  /// Records that a call that began at `started` returned the current configuration.
  void Confirm(TimePoint started) {
    if (!m_confirmed || started > *m_confirmed) m_confirmed = started;
  }

  /// Returns whether the configuration was confirmed within the validity before `arrival`. A
  /// request that arrived at that time was sent earlier, so its key was not removed longer ago than
  /// that.
  bool IsConfirmed(TimePoint arrival) const {
    return m_confirmed && arrival - *m_confirmed < m_validity;
  }

  /// Returns whether a request that arrived at `arrival` may run with a key, now or later.
  bool Permits(TimePoint arrival) const {
    const bool serves_expired = m_when_expired == ExpiredConfigurationPolicy::kServe && m_confirmed;
    return serves_expired || IsConfirmed(arrival);
  }

  /// Returns the age of the confirmation, or nothing if there is none.
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
