#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "protocol/store_messages.h"
#include "utils/random.h"
#include "utils/time.h"

namespace fulmarpoint {

/// List-and-watch client of one table of the store: reads all rows, then watches for changes, and
/// reads all rows again when the history of changes is no longer available or the store has been
/// restored from a copy. Within an epoch of the store, never replaces a row by an older version.
/// Not thread-safe.
class TableWatcher {
 public:
  struct Options {
    std::string table;
    /// Longest time that a watch waits for a change. Each empty reply is a call that is paid for,
    /// and confirms that nothing has changed.
    Duration watch_wait = std::chrono::milliseconds(1500);
    /// The same within `row_rewrite_time` after the store was restored from a copy.
    Duration watch_wait_after_restore = std::chrono::milliseconds(1500);
    /// Pause after a watch that returned changes, so that changes in quick succession share a call.
    Duration batch_delay{};
    Duration first_backoff = std::chrono::milliseconds(50);
    Duration longest_backoff = std::chrono::milliseconds(800);
    /// Rows that expire during an outage of the store are written again within this time after it,
    /// if their writer is alive.
    Duration row_rewrite_time = std::chrono::milliseconds(1700);
  };

  /// A row was added, changed or removed.
  struct Change {
    StoreRow row;
    /// The row expired during an outage of the store; it counts as removed only from `until` on.
    bool provisional = false;
    TimePoint until{};
    /// The row was read for the first time after the store was restored from a copy, so it may be
    /// older than the one that was known before.
    bool restored = false;
  };

  using Call = std::variant<StoreRead, StoreWatch>;
  struct NextCall {
    Duration delay{};
    Call call;
  };

  TableWatcher(Options options, std::uint64_t seed);

  /// Replaces the options from the next call on. Precondition: the table is the same.
  void SetOptions(Options options) { m_options = std::move(options); }

  /// Returns the call to make next and the pause before it.
  NextCall Next();
  /// The next calls go to another source. Restarts a read in progress.
  void OnSourceChanged();
  /// Processes the reply to the last call and returns the changes.
  std::vector<Change> OnReply(StoreReply reply, TimePoint now);

  /// Returns whether all rows have been read at least once.
  bool IsComplete() const { return m_complete; }
  /// Returns whether no read is in progress, so that the replica was current at the last reply.
  bool IsUpToDate() const { return m_complete && !m_reading; }
  /// Returns the store's position up to which the replica is complete.
  StorePosition Position() const { return m_position; }
  /// Returns the latest epoch of the store that a reply has shown.
  std::uint64_t Epoch() const { return m_epoch; }
  /// Returns the number of consecutive failed calls.
  int Failures() const { return m_failures; }

 private:
  void Restart();
  void BeginEpoch(std::uint64_t epoch, TimePoint now);
  void OnFailure(TimePoint now);
  void OnPage(StoreReply& reply, TimePoint now, std::vector<Change>& changes);
  void FinishRead(TimePoint now, std::vector<Change>& changes);
  void OnChanges(StoreReply& reply, TimePoint now, std::vector<Change>& changes);
  void Remove(const StoreRow& gone, TimePoint now, std::vector<Change>& changes);
  Duration WatchWait() const;
  /// Returns whether a row removed now may still be written again after an outage of the store.
  bool AreRemovalsProvisional(TimePoint now) const;

  Options m_options;
  Random m_random;
  /// Version of each existing row by key.
  std::map<std::string, std::uint64_t> m_versions;
  /// Rows read so far by the read in progress.
  std::map<std::string, StoreRow> m_pages;
  std::string m_from;
  bool m_reading = true;
  bool m_first_page = true;
  bool m_complete = false;
  std::uint64_t m_epoch = 0;
  /// The rows of the current epoch have not been read since the store was restored.
  bool m_restored = false;
  /// Time of the latest restore, and of the last reply.
  TimePoint m_restored_at = TimePoint::min();
  TimePoint m_replied_at{};
  /// The replica is complete up to this position; the watch continues after it.
  StorePosition m_position;
  /// Version of the first page of the read in progress, which is of the current epoch.
  std::uint64_t m_read_version = 0;
  int m_failures = 0;
  /// The current source has not replied yet.
  bool m_source_changed = false;
  /// The last call was a watch that returned changes.
  bool m_had_changes = false;
  /// Time of the last failed call, or of the first success after it.
  TimePoint m_last_unavailable_at = TimePoint::min();
};

}  // namespace fulmarpoint
