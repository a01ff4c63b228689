#include "protocol/crash_messages.h"

#include <algorithm>
#include <limits>

namespace fulmarpoint {

namespace {

/// Rounds up.
std::uint32_t ToMillis(Duration time) {
  constexpr std::int64_t kMaxMillis = std::numeric_limits<std::uint32_t>::max();
  const std::int64_t millis = std::chrono::ceil<std::chrono::milliseconds>(time).count();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(millis, 0, kMaxMillis));
}

}  // namespace

QuarantineUpdate QuarantineUpdate::WithDuration(Fingerprint fingerprint, Duration time) {
  QuarantineUpdate update;
  update.fingerprint = fingerprint;
  update.quarantine_ms = ToMillis(time);
  return update;
}

QuarantineRecord QuarantineRecord::Of(Fingerprint fingerprint, std::uint32_t count, Duration time,
                                      Duration age) {
  QuarantineRecord record;
  record.fingerprint = fingerprint;
  record.count = count;
  record.quarantine_ms = ToMillis(time);
  record.age_ms = ToMillis(age);
  return record;
}

QuarantineRecord QuarantineRecord::Cleared(Fingerprint fingerprint, Duration age) {
  return Of(fingerprint, 0, Duration::zero(), age);
}

}  // namespace fulmarpoint
