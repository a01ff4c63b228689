#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "protocol/crash_messages.h"
#include "utils/time.h"

namespace fulmarpoint {

/// The quarantines of poison requests that this daemon knows, those of its own and those that other
/// daemons have sent. Expired and ended ones are kept for some time: the first, because the next
/// crash leads to a quarantine at once; the second, so that a daemon that has missed the end does
/// not bring the quarantine back. Daemons compare digests and send each other what differs. Not
/// thread-safe.
class QuarantineTable {
 public:
  struct Options {
    /// How long a quarantine is kept after it has expired.
    Duration lifetime = std::chrono::minutes(10);
    std::size_t max_entries = 1024;
  };

  enum class Change {
    /// The same or a later quarantine of the fingerprint is known.
    kKnown,
    /// The quarantine is new, or replaces one.
    kChanged,
    /// The quarantine has ended since it began, and its sender does not know it.
    kHasEnded,
  };

  QuarantineTable() = default;
  explicit QuarantineTable(Options options) : m_options(options) {}

  /// Adds what another daemon knows. Precondition: the quarantine was not cleared.
  Change Put(const QuarantineRecord& record, TimePoint now);
  /// Returns the record of a quarantine that its owner has just published.
  QuarantineRecord RecordOf(const QuarantineUpdate& update, TimePoint now) const;
  /// Ends a quarantine that was cleared `age` ago. Returns false if none is known, or a later one.
  bool End(Fingerprint fingerprint, Duration age, TimePoint now);
  /// Returns whether requests with the fingerprint and all of `parts` are in quarantine.
  bool Covers(Fingerprint fingerprint, const std::vector<Fingerprint>& parts, TimePoint now) const;
  bool IsInForce(Fingerprint fingerprint, TimePoint now) const;
  /// Returns the same value for all tables with the same quarantines.
  std::uint64_t Digest() const;
  /// Returns all that is known, for a daemon whose digest differs.
  std::vector<QuarantineRecord> Records(TimePoint now) const;
  /// Drops what has been kept for long enough.
  void Forget(TimePoint now);
  std::size_t Size() const { return m_entries.size(); }

 private:
  struct Entry {
    TimePoint began{};
    TimePoint until{};
    /// Number of quarantines of the fingerprint, this one included.
    std::uint32_t count = 0;
    /// The parts that a request must have too.
    std::vector<Fingerprint> companions;
    bool has_ended = false;
    TimePoint ended{};
  };

  bool MakeRoom(TimePoint now);

  Options m_options;
  std::map<Fingerprint, Entry> m_entries;
};

}  // namespace fulmarpoint
