#include "protocol/crash_messages.h"

#include <algorithm>
#include <limits>

namespace fulmarpoint {

QuarantineUpdate QuarantineUpdate::WithDuration(Fingerprint fingerprint, Duration time) {
  constexpr std::int64_t kMost = std::numeric_limits<std::uint32_t>::max();
  const std::int64_t count = std::chrono::ceil<std::chrono::milliseconds>(time).count();
  return {fingerprint, static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, kMost))};
}

}  // namespace fulmarpoint
