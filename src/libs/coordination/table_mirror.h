#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "coordination/table_follower.h"
#include "protocol/mirror_messages.h"
#include "utils/time.h"

namespace fulmarpoint {

/// The copy of one table that this daemon offers to its peers, with a short history of changes. Not
/// thread-safe.
class TableMirror {
 public:
  static constexpr std::size_t kHistoryLength = 512;

  /// Cursors begin above `start`, which must differ between the processes of one address, so that a
  /// cursor of an earlier process is not taken for one of this.
  explicit TableMirror(std::uint64_t start) : m_cursor(start), m_horizon(start) {}

  /// Takes what a follower reported.
  void Apply(const TableFollower::Change& change);
  /// The copy is complete up to the store's version `version` and was current at `at`, on the clock
  /// `BootNow()`.
  void Confirm(std::uint64_t version, TimePoint at);

  /// Returns the reply to a request; nothing if there is no change yet and the request may wait.
  std::optional<MirrorReply> Answer(const MirrorRequest& request, bool may_wait,
                                    TimePoint boot_now) const;

 private:
  void AddRow(const StoreRow& row, MirrorReply& reply) const;

  std::map<std::string, StoreRow> m_rows;
  /// Keys in the order of their changes, with the cursor of each.
  std::deque<std::pair<std::uint64_t, StoreRow>> m_history;
  std::uint64_t m_cursor;
  /// The history holds all changes after this cursor.
  std::uint64_t m_horizon;
  std::uint64_t m_version = 0;
  std::optional<TimePoint> m_confirmed;
};

}  // namespace fulmarpoint
