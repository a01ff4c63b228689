#include "coordination/heartbeat_payload_schedule.h"

namespace fulmarpoint {

bool HeartbeatPayloadSchedule::MarkSentIfDue(const HeartbeatPayload& payload, TimePoint now) {
  const bool has_changed = !m_sent || *m_sent != payload;
  if (has_changed) {
    m_sent = payload;
    m_times_sent = 0;
  }
  const bool is_due =
      m_times_sent < m_options.sends_per_change || now - m_sent_at >= m_options.resend_interval;
  if (!is_due) return false;
  ++m_times_sent;
  m_sent_at = now;
  return true;
}

}  // namespace fulmarpoint
