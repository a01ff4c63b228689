#include "coordination/quarantine_table.h"

#include <algorithm>
#include <string>

#include "protocol/identifiers.h"

namespace fulmarpoint {

namespace {

// Tolerated difference between the delays of the messages by which two daemons learn of a
// quarantine and of its end.
constexpr Duration kDelayTolerance = std::chrono::milliseconds(100);

}  // namespace

QuarantineTable::Change QuarantineTable::Put(const QuarantineRecord& record, TimePoint now) {
  const TimePoint began = now - record.Age();
  const auto known = m_entries.find(record.fingerprint);
  if (known == m_entries.end()) {
    if (!MakeRoom(now)) return Change::kKnown;
  } else {
    const Entry& entry = known->second;
    if (entry.has_ended && began <= entry.ended + kDelayTolerance) return Change::kHasEnded;
    const bool is_wider =
        record.count == entry.count && record.companions.size() < entry.companions.size();
    if (!entry.has_ended && record.count <= entry.count && !is_wider) return Change::kKnown;
  }
  m_entries[record.fingerprint] = {began, now + record.QuarantineTime(), record.count,
                                   record.companions};
  return Change::kChanged;
}

QuarantineRecord QuarantineTable::RecordOf(const QuarantineUpdate& update, TimePoint now) const {
  std::uint32_t count = 1;
  const auto known = m_entries.find(update.fingerprint);
  if (known != m_entries.end() && !known->second.has_ended) {
    // The owner publishes each quarantine more than once.
    const bool is_later = now + update.QuarantineTime() > known->second.until + kDelayTolerance;
    count = known->second.count + (is_later ? 1 : 0);
  }
  QuarantineRecord record =
      QuarantineRecord::Of(update.fingerprint, count, update.QuarantineTime(), Duration::zero());
  record.companions = update.companions;
  return record;
}

bool QuarantineTable::End(Fingerprint fingerprint, Duration age, TimePoint now) {
  const auto known = m_entries.find(fingerprint);
  if (known == m_entries.end() || known->second.has_ended) return false;
  const TimePoint ended = now - age;
  if (known->second.began > ended + kDelayTolerance) return false;
  known->second.has_ended = true;
  known->second.ended = ended;
  return true;
}

bool QuarantineTable::Covers(Fingerprint fingerprint, const std::vector<Fingerprint>& parts,
                             TimePoint now) const {
  if (!IsInForce(fingerprint, now)) return false;
  const std::vector<Fingerprint>& companions = m_entries.at(fingerprint).companions;
  return std::all_of(companions.begin(), companions.end(), [&](Fingerprint companion) {
    return std::find(parts.begin(), parts.end(), companion) != parts.end();
  });
}

bool QuarantineTable::IsInForce(Fingerprint fingerprint, TimePoint now) const {
  const auto found = m_entries.find(fingerprint);
  return found != m_entries.end() && !found->second.has_ended && now < found->second.until;
}

std::uint64_t QuarantineTable::Digest() const {
  std::uint64_t digest = 0;
  for (const auto& [fingerprint, entry] : m_entries) {
    if (!entry.has_ended) digest ^= StableHash(std::to_string(entry.count), fingerprint);
  }
  return digest;
}

std::vector<QuarantineRecord> QuarantineTable::Records(TimePoint now) const {
  std::vector<QuarantineRecord> records;
  for (const auto& [fingerprint, entry] : m_entries) {
    if (entry.has_ended) {
      records.push_back(QuarantineRecord::Cleared(fingerprint, now - entry.ended));
      continue;
    }
    const Duration left = std::max(Duration::zero(), entry.until - now);
    records.push_back(QuarantineRecord::Of(fingerprint, entry.count, left, now - entry.began));
    records.back().companions = entry.companions;
  }
  return records;
}

void QuarantineTable::Forget(TimePoint now) {
  std::erase_if(m_entries,
                [&](const auto& item) { return now - item.second.until >= m_options.lifetime; });
}

/// Returns whether there is room for another entry; drops one that is not in force if necessary.
bool QuarantineTable::MakeRoom(TimePoint now) {
  if (m_entries.size() < m_options.max_entries) return true;
  const auto oldest = std::min_element(
      m_entries.begin(), m_entries.end(),
      [](const auto& a, const auto& b) { return a.second.until < b.second.until; });
  if (IsInForce(oldest->first, now)) return false;
  m_entries.erase(oldest);
  return true;
}

}  // namespace fulmarpoint
