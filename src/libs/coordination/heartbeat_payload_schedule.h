#pragma once

#include <optional>

#include "protocol/relay_heartbeat.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Decides which heartbeats carry a daemon's news. Most say only that it lives: news are sent when
/// they have changed, once more in case that datagram was lost, and now and then for peers that
/// have missed both or are new. Not thread-safe.
class HeartbeatPayloadSchedule {
 public:
  struct Options {
    int times_sent = 2;
    /// News that have not changed are sent again after this time.
    Duration repeat_interval = std::chrono::seconds(1);
  };

  HeartbeatPayloadSchedule() = default;
  explicit HeartbeatPayloadSchedule(Options options) : m_options(options) {}

  /// Returns whether the heartbeat sent now carries `news`, and counts that.
  bool MarkSentIfDue(const HeartbeatPayload& news, TimePoint now);

 private:
  Options m_options;
  std::optional<HeartbeatPayload> m_sent;
  TimePoint m_sent_at{};
  int m_times_sent = 0;
};

}  // namespace fulmarpoint
