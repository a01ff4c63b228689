#pragma once

#include <optional>

#include "protocol/relay_heartbeat.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Decides which heartbeats carry a payload. Most heartbeats carry none. The payload is sent when
/// it has changed, once more in case that datagram was lost, and at intervals for peers that missed
/// both or are new. Not thread-safe.
class HeartbeatPayloadSchedule {
 public:
  struct Options {
    int sends_per_change = 2;
    /// Interval at which an unchanged payload is sent again.
    Duration resend_interval = std::chrono::seconds(1);
  };

  HeartbeatPayloadSchedule() = default;
  explicit HeartbeatPayloadSchedule(Options options) : m_options(options) {}

  /// Returns whether the heartbeat sent at `now` carries `payload`; if so, records that it was
  /// sent.
  bool MarkSentIfDue(const HeartbeatPayload& payload, TimePoint now);

 private:
  Options m_options;
  std::optional<HeartbeatPayload> m_sent;
  TimePoint m_sent_at{};
  int m_times_sent = 0;
};

}  // namespace fulmarpoint
