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

/// Keeps a copy of one table of the store up to date: reads all rows, then watches for changes, and
/// reads all rows again when the history is gone. It never goes back to an older row. Not
/// thread-safe.
class TableWatcher {
 public:
  struct Options {
    std::string table;
    /// How long a watch waits for a change. Each empty answer is a call that is paid for and a
    /// proof that nothing has changed.
    Duration watch_wait = std::chrono::milliseconds(1500);
    /// Pause after a watch that returned changes, so that changes that come one after the other
    /// share a call.
    Duration gather_time{};
    Duration first_backoff = std::chrono::milliseconds(50);
    Duration longest_backoff = std::chrono::milliseconds(800);
    /// Rows that the store drops while it is away come back within this time if their writer lives.
    Duration lapse_time = std::chrono::milliseconds(1700);
  };

  /// A row was added, changed or removed.
  struct Change {
    StoreRow row;
    /// The row vanished while the store was away; it counts as removed only from `until` on.
    bool provisional = false;
    TimePoint until{};
  };

  using Call = std::variant<StoreRead, StoreWatch>;
  struct NextCall {
    Duration delay{};
    Call call;
  };

  TableWatcher(Options options, std::uint64_t seed);

  /// Returns the call to make next and the pause before it.
  NextCall Next();
  /// The next calls go to another source: a read in progress begins anew there.
  void OnSourceChanged();
  /// Takes the reply to the last call and returns what has changed.
  std::vector<Change> OnReply(StoreReply reply, TimePoint now);

  /// Returns whether all rows have been read once.
  bool IsComplete() const { return m_complete; }
  /// Returns whether no read is in progress, so that the copy was current at the last reply.
  bool IsUpToDate() const { return m_complete && !m_reading; }
  /// Returns the store's version up to which the copy is complete.
  std::uint64_t Version() const { return m_version; }
  /// Returns how many calls have failed since the last that succeeded.
  int Failures() const { return m_failures; }

 private:
  void Restart();
  void OnFailure(TimePoint now);
  void OnPage(StoreReply& reply, TimePoint now, std::vector<Change>& changes);
  void FinishRead(TimePoint now, std::vector<Change>& changes);
  void OnChanges(StoreReply& reply, TimePoint now, std::vector<Change>& changes);
  void Remove(const StoreRow& gone, TimePoint now, std::vector<Change>& changes);
  bool IsProvisional(TimePoint now) const;

  Options m_options;
  Random m_random;
  /// Version of each row that exists.
  std::map<std::string, std::uint64_t> m_versions;
  /// Rows of the read in progress.
  std::map<std::string, StoreRow> m_pages;
  std::string m_from;
  bool m_reading = true;
  bool m_first_page = true;
  bool m_complete = false;
  /// The copy is complete up to here; the watch continues here.
  std::uint64_t m_version = 0;
  /// Version of the first page of the read in progress.
  std::uint64_t m_read_version = 0;
  int m_failures = 0;
  /// No reply of the current source has come yet.
  bool m_source_changed = false;
  /// The last call was a watch that returned changes.
  bool m_had_changes = false;
  /// The store was away until this time.
  TimePoint m_returned = TimePoint::min();
};

}  // namespace fulmarpoint
