#include "coordination/restored_configuration.h"

namespace fulmarpoint {

void RestoredConfigurationCheck::OnRow(std::int64_t version, std::uint64_t row_version,
                                       bool restored, TimePoint now) {
  // The copy keeps the versions of its rows, so the row has another one if it was written since.
  const bool is_row_of_copy = version == m_latest_version && row_version == m_latest_row_version;
  const bool is_older = version < m_latest_version;
  if (restored) m_is_outdated = is_older;
  if (restored && (is_older || is_row_of_copy)) m_unwritten_until = now + kRewriteTime;
  if (is_older) return;
  if (!is_row_of_copy) m_unwritten_until.reset();
  m_is_outdated = false;
  m_latest_version = version;
  m_latest_row_version = row_version;
}

bool RestoredConfigurationCheck::IsCurrent(TimePoint now) const {
  const bool may_be_unwritten = m_unwritten_until && now < *m_unwritten_until;
  return !m_is_outdated && !may_be_unwritten;
}

}  // namespace fulmarpoint
