#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "protocol/identifiers.h"
#include "protocol/store_messages.h"
#include "protocol/table_messages.h"
#include "utils/random.h"
#include "utils/time.h"

namespace fulmarpoint {

inline constexpr char kLeaseTable[] = "leases";

/// A lease that is stored in a row of the table service. Clocks of different daemons are never
/// compared: a candidate takes over when it has seen the same row version for the lease time plus a
/// margin on its own clock, and the holder stops earlier, counted from the start of its last
/// successful write. If the answer to a write is lost, the row is read back. When the store was
/// restored from a copy, the holder stops and competes again. Not thread-safe.
class Lease {
 public:
  struct Options {
    Duration lease_time = std::chrono::seconds(10);
    /// Allows for the difference between the rates of two clocks.
    Duration drift_margin = std::chrono::seconds(2);
    Duration renew_interval = std::chrono::seconds(3);
    Duration read_interval = std::chrono::seconds(2);
    /// The holder stops sending this long before the end of the lease.
    Duration send_margin = std::chrono::seconds(2);
    /// Fault injection for tests: each switch breaks one rule.
    bool mutate_take_over_early = false;
    bool mutate_skip_send_check = false;
    bool mutate_count_from_answer = false;
  };

  struct Start {};
  struct TimerFired {};
  /// Only candidates read and acquire the lease, so that the cost does not grow with the fleet.
  struct CandidateChanged {
    bool candidate = false;
  };
  struct RowRead {
    std::uint64_t token = 0;
    bool ok = false;
    std::optional<TableRow> row;
    /// Epoch of the store, if `ok`; 0 for a table service without epochs.
    std::uint64_t epoch = 0;
  };
  struct WriteDone {
    std::uint64_t token = 0;
    TableOutcome outcome = TableOutcome::kUnknown;
    /// Version of the row after `kDone`.
    std::uint64_t version = 0;
    /// Epoch of the store, unless the outcome is `kUnknown`; 0 for a table service without epochs.
    std::uint64_t epoch = 0;
  };
  /// Releases the lease, so that a successor need not wait for its end.
  struct Release {};
  /// A reply of the store for any row shows that it is in `epoch`.
  struct EpochSeen {
    std::uint64_t epoch = 0;
  };
  using Event =
      std::variant<Start, TimerFired, CandidateChanged, RowRead, WriteDone, Release, EpochSeen>;

  struct SetTimer {
    TimePoint at;
  };
  struct ReadRow {
    std::uint64_t token = 0;
    std::string key;
  };
  struct WriteRow {
    std::uint64_t token = 0;
    TableOperation operation;
  };
  struct Acquired {
    std::uint64_t fencing_token = 0;
  };
  struct Lost {};
  using Action = std::variant<SetTimer, ReadRow, WriteRow, Acquired, Lost>;

  Lease(std::string key, InstanceId self, Options options, std::uint64_t seed);

  void Handle(const Event& event, TimePoint now, std::vector<Action>& actions);

  /// Returns whether the holder may send at `now`. Call it before each send: the process may have
  /// been paused since the last event.
  bool MaySend(TimePoint now) const;
  /// Returns the time until which `MaySend` holds without another renewal.
  TimePoint SendLimit() const {
    return m_renewed_at + m_options.lease_time - m_options.send_margin;
  }
  bool IsHeld() const { return m_held; }
  /// Returns the latest epoch of the store that is known; 0 without epochs.
  std::uint64_t Epoch() const { return m_epoch; }
  /// Returns the token of the write with which the lease was acquired; it is higher than that of
  /// every earlier holder, also if the store was restored from a copy in between. Without epochs it
  /// is the row version.
  std::uint64_t FencingToken() const { return m_fencing_token; }

 private:
  using Actions = std::vector<Action>;
  struct Write {
    std::uint64_t token = 0;
    std::string value;
    TimePoint started{};
    bool is_release = false;
    /// At least one attempt got no answer.
    bool was_unanswered = false;
  };

  void On(const Start& event, TimePoint now, Actions& actions);
  void On(const TimerFired& event, TimePoint now, Actions& actions);
  void On(const CandidateChanged& event, TimePoint now, Actions& actions);
  void On(const RowRead& event, TimePoint now, Actions& actions);
  void On(const WriteDone& event, TimePoint now, Actions& actions);
  void On(const Release& event, TimePoint now, Actions& actions);
  void On(const EpochSeen& event, TimePoint now, Actions& actions);

  void BeginEpoch(std::uint64_t epoch, TimePoint now, Actions& actions);
  void ObserveVersion(std::uint64_t version, TimePoint now);
  void TryTakeOver(const std::optional<TableRow>& row, TimePoint now, Actions& actions);
  void StartWrite(std::uint64_t expect, bool is_release, TimePoint now, Actions& actions);
  void SendWrite(std::uint64_t expect, TimePoint now, Actions& actions);
  void ResolveWrite(const RowRead& event, TimePoint now, Actions& actions);
  void StartRead(TimePoint now, Actions& actions);
  void OnWritten(StorePosition position, TimePoint now, Actions& actions);
  void LoseLease(Actions& actions);

  std::string m_key;
  InstanceId m_self;
  Options m_options;
  Random m_random;
  bool m_candidate = false;
  bool m_held = false;
  std::uint64_t m_fencing_token = 0;
  /// Latest epoch of the store that is known; the lease is held in no earlier one.
  std::uint64_t m_epoch = 0;
  /// Version of the row as last read or written, and the time since which it has been unchanged.
  std::uint64_t m_version = 0;
  std::optional<TimePoint> m_version_since;
  TimePoint m_renewed_at{};
  std::optional<Write> m_write;
  /// The write in progress got no answer.
  bool m_write_uncertain = false;
  std::uint64_t m_read_token = 0;
  TimePoint m_next_action{};
};

}  // namespace fulmarpoint
