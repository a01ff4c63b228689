#include "coordination/table_watcher.h"

#include <algorithm>
#include <random>
#include <utility>

namespace fulmarpoint {

namespace {

constexpr int kMaxBackoffDoublings = 6;

}  // namespace

TableWatcher::TableWatcher(Options options, std::uint64_t seed)
    : m_options(std::move(options)), m_random(seed) {}

TableWatcher::NextCall TableWatcher::Next() {
  NextCall next;
  if (m_failures > 0) {
    const Duration longest =
        std::min(m_options.longest_backoff,
                 m_options.first_backoff * (1 << std::min(m_failures - 1, kMaxBackoffDoublings)));
    // The jitter keeps daemons that lost the store at the same time from retrying together.
    std::uniform_int_distribution<Duration::rep> jitter(longest.count() / 2, longest.count());
    next.delay = Duration(jitter(m_random));
  } else if (m_had_changes) {
    next.delay = m_options.batch_delay;
  }
  if (m_reading) {
    next.call = StoreRead{m_options.table, "", m_from};
  } else {
    // After a failure or a change of source, an immediate reply shows how old the replica is.
    const bool is_urgent = m_failures > 0 || m_source_changed;
    const Duration wait = is_urgent ? Duration::zero() : WatchWait();
    next.call = StoreWatch{m_options.table, m_position, wait};
  }
  return next;
}

Duration TableWatcher::WatchWait() const {
  const bool was_restored = m_restored_at != TimePoint::min() &&
                            m_replied_at < m_restored_at + m_options.row_rewrite_time;
  return was_restored ? m_options.watch_wait_after_restore : m_options.watch_wait;
}

void TableWatcher::OnSourceChanged() {
  m_source_changed = true;
  if (m_reading) Restart();
}

void TableWatcher::Restart() {
  m_reading = true;
  m_first_page = true;
  m_from.clear();
  m_pages.clear();
}

std::vector<TableWatcher::Change> TableWatcher::OnReply(StoreReply reply, TimePoint now) {
  std::vector<Change> changes;
  m_replied_at = now;
  m_source_changed = false;
  const bool is_answer =
      reply.status == StoreStatus::kOk || reply.status == StoreStatus::kHistoryGone;
  // A reply of an earlier epoch says nothing about the current rows.
  if (is_answer && reply.position.epoch < m_epoch) {
    OnFailure(now);
    return changes;
  }
  if (is_answer && reply.position.epoch > m_epoch) {
    const bool begins_read = m_reading && m_first_page;
    BeginEpoch(reply.position.epoch, now);
    // A later page or a change is useless without the rows of this epoch.
    if (!begins_read) return changes;
  }
  m_had_changes = !m_reading && reply.status == StoreStatus::kOk && !reply.rows.empty();
  if (reply.status == StoreStatus::kHistoryGone) {
    Restart();
    return changes;
  }
  if (reply.status != StoreStatus::kOk) {
    OnFailure(now);
    return changes;
  }
  if (m_failures > 0) m_last_unavailable_at = now;
  m_failures = 0;
  if (m_reading) {
    OnPage(reply, now, changes);
  } else {
    OnChanges(reply, now, changes);
  }
  return changes;
}

/// The store was restored from a copy. Versions known before mean nothing in the new epoch, and
/// rows that the copy lacks will be written again soon.
void TableWatcher::BeginEpoch(std::uint64_t epoch, TimePoint now) {
  m_epoch = epoch;
  Restart();
  if (!m_complete) return;
  m_restored = true;
  m_had_changes = false;
  m_failures = 0;
  m_last_unavailable_at = now;
  m_restored_at = now;
  for (auto& [key, version] : m_versions) version = 0;
}

void TableWatcher::OnFailure(TimePoint now) {
  ++m_failures;
  m_last_unavailable_at = now;
  // An interrupted read starts again, because its pages could be of different ages.
  m_first_page = true;
  m_from.clear();
  m_pages.clear();
}

void TableWatcher::OnPage(StoreReply& reply, TimePoint now, std::vector<Change>& changes) {
  // The watch continues from the version of the first page, so that it reports changes made during
  // the later pages.
  if (std::exchange(m_first_page, false)) m_read_version = reply.position.version;
  std::string last = m_from;
  for (StoreRow& row : reply.rows) {
    last = std::max(last, row.key);
    if (!row.partition.empty() || row.removed) continue;
    const std::string key = row.key;
    m_pages[key] = std::move(row);
  }
  // A range includes its first key, so the next page begins with the last key of this one.
  if (reply.has_more && last > m_from) {
    m_from = last;
    return;
  }
  FinishRead(now, changes);
}

void TableWatcher::FinishRead(TimePoint now, std::vector<Change>& changes) {
  const StorePosition read_position{m_epoch, m_read_version};
  // A source that is behind would bring back removed rows.
  if (read_position < m_position) {
    Restart();
    return;
  }
  std::vector<std::string> missing;
  for (const auto& [key, version] : m_versions) {
    if (m_pages.count(key) == 0) missing.push_back(key);
  }
  for (const std::string& key : missing) {
    StoreRow gone;
    gone.key = key;
    gone.version = m_read_version;
    Remove(gone, now, changes);
  }
  for (auto& [key, row] : m_pages) {
    std::uint64_t& known = m_versions[key];
    if (row.version <= known) continue;
    known = row.version;
    Change change;
    change.row = std::move(row);
    change.restored = m_restored;
    changes.push_back(std::move(change));
  }
  m_pages.clear();
  m_from.clear();
  m_first_page = true;
  m_reading = false;
  m_complete = true;
  m_restored = false;
  m_position = read_position;
}

void TableWatcher::OnChanges(StoreReply& reply, TimePoint now, std::vector<Change>& changes) {
  for (StoreRow& row : reply.rows) {
    if (!row.partition.empty()) continue;
    if (row.removed) {
      Remove(row, now, changes);
      continue;
    }
    std::uint64_t& known = m_versions[row.key];
    if (row.version <= known) continue;
    known = row.version;
    changes.push_back({std::move(row)});
  }
  m_position = std::max(m_position, reply.position);
}

void TableWatcher::Remove(const StoreRow& gone, TimePoint now, std::vector<Change>& changes) {
  const auto found = m_versions.find(gone.key);
  if (found == m_versions.end()) return;
  // The row was written again after this removal.
  if (gone.version != 0 && gone.version < found->second) return;
  m_versions.erase(found);
  Change change;
  change.row.table = m_options.table;
  change.row.key = gone.key;
  change.row.version = gone.version;
  change.row.removed = true;
  change.restored = m_restored;
  const Duration own_provisional_time =
      AreRemovalsProvisional(now) ? m_last_unavailable_at + m_options.row_rewrite_time - now
                                  : Duration::zero();
  const Duration wait = std::max(own_provisional_time, gone.provisional_for);
  change.provisional = wait > Duration::zero();
  if (change.provisional) change.until = now + wait;
  changes.push_back(std::move(change));
}

bool TableWatcher::AreRemovalsProvisional(TimePoint now) const {
  return m_last_unavailable_at != TimePoint::min() &&
         now < m_last_unavailable_at + m_options.row_rewrite_time;
}

}  // namespace fulmarpoint
