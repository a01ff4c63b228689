#include "coordination/restored_configuration.h"

namespace fulmarpoint {

void RestoredConfigurationCheck::OnRow(std::int64_t version, std::uint64_t row_version,
                                       bool restored, TimePoint now) {
  // The copy keeps the versions of its rows, and all of them up to `m_complete_version` were known.
  const bool may_be_of_copy =
      restored && (row_version == m_latest_row_version || row_version > m_complete_version);
  const bool is_older = version < m_latest_version;
  if (restored) m_is_outdated = is_older;
  if (restored && (is_older || may_be_of_copy)) m_unwritten_until = now + kRewriteTime;
  if (is_older) return;
  if (!may_be_of_copy) m_unwritten_until.reset();
  m_is_outdated = false;
  m_latest_version = version;
  m_latest_row_version = row_version;
}

bool RestoredConfigurationCheck::IsCurrent(TimePoint now) const {
  const bool may_be_unwritten = m_unwritten_until && now < *m_unwritten_until;
  return !m_is_outdated && !may_be_unwritten;
}

}  // namespace fulmarpoint
