#include "protocol/crash_messages.h"

#include <algorithm>
#include <limits>

namespace fulmarpoint {

QuarantineUpdate QuarantineUpdate::WithDuration(Fingerprint fingerprint, Duration time) {
  constexpr std::int64_t kMaxQuarantineMs = std::numeric_limits<std::uint32_t>::max();
  const std::int64_t count = std::chrono::ceil<std::chrono::milliseconds>(time).count();
  QuarantineUpdate update;
  update.fingerprint = fingerprint;
  update.quarantine_ms =
      static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, kMaxQuarantineMs));
  return update;
}

}  // namespace fulmarpoint
