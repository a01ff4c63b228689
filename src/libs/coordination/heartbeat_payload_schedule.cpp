#include "coordination/heartbeat_payload_schedule.h"

namespace fulmarpoint {

bool HeartbeatPayloadSchedule::MarkSentIfDue(const HeartbeatPayload& news, TimePoint now) {
  const bool has_changed = !m_sent || *m_sent != news;
  if (has_changed) {
    m_sent = news;
    m_times_sent = 0;
  }
  const bool is_due =
      m_times_sent < m_options.times_sent || now - m_sent_at >= m_options.repeat_interval;
  if (!is_due) return false;
  ++m_times_sent;
  m_sent_at = now;
  return true;
}

}  // namespace fulmarpoint
