#include "coordination/kv_cache_backup.h"

namespace fulmarpoint {

namespace {

// A copy is renewed at this part of its lifetime, so that one renewal may fail.
constexpr int kRenewalDivisor = 2;
// Pause after a request that could not be fulfilled.
constexpr Duration kRetryPause = std::chrono::milliseconds(500);

}  // namespace

void KvCacheBackup::OnAttemptStarted(const std::optional<EndpointRecord>& holder,
                                     const std::string& request_id) {
  m_holder = holder;
  if (holder) m_source = {holder->address, request_id};
}

bool KvCacheBackup::IsRequestDue(bool holder_intact, TimePoint now) const {
  if (m_request_in_progress) return false;
  if (m_requested_at && now - *m_requested_at < kRetryPause) return false;
  if (!m_holder || !holder_intact) return true;
  return m_is_requested && now - m_renewed_at >= m_lifetime / kRenewalDivisor;
}

void KvCacheBackup::OnRequested(const EndpointRecord& holder, const std::string& source_address,
                                TimePoint now) {
  const bool is_renewal = m_is_requested && m_holder && m_holder->id == holder.id;
  if (!is_renewal) m_source.name.clear();
  m_holder = holder;
  m_source.address = source_address;
  m_is_requested = true;
  m_request_in_progress = true;
  m_requested_at = now;
}

void KvCacheBackup::OnRequestEnded(const std::optional<std::string>& name) {
  m_request_in_progress = false;
  if (!name) return;
  m_source.name = *name;
  m_renewed_at = m_requested_at.value_or(TimePoint{});
}

bool KvCacheBackup::IsComplete(TimePoint now) const {
  if (!m_holder || m_source.name.empty()) return false;
  return !m_is_requested || now - m_renewed_at < m_lifetime;
}

}  // namespace fulmarpoint
