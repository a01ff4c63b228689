#pragma once

#include <deque>
#include <optional>
#include <unordered_map>

#include "protocol/suspect_messages.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Records when a request with each fingerprint was last seen, for a limited time and a limited
/// number of fingerprints. Not thread-safe.
class RecentFingerprints {
 public:
  RecentFingerprints(Duration lifetime, std::size_t capacity)
      : m_lifetime(lifetime), m_capacity(capacity) {}

  void Add(Fingerprint fingerprint, TimePoint now);
  void Remove(Fingerprint fingerprint) { m_seen.erase(fingerprint); }
  /// Returns nothing if the fingerprint was not seen within the lifetime.
  std::optional<TimePoint> LastSeen(Fingerprint fingerprint, TimePoint now) const;
  std::size_t Size() const { return m_seen.size(); }

 private:
  struct Seen {
    Fingerprint fingerprint = 0;
    TimePoint at{};
  };

  void DropOldest();

  Duration m_lifetime;
  std::size_t m_capacity;
  std::unordered_map<Fingerprint, TimePoint> m_seen;
  /// Ordered by `at`. A fingerprint that was seen several times has an entry for each time.
  std::deque<Seen> m_order;
};

}  // namespace fulmarpoint
