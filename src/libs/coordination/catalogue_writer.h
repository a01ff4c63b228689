#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "coordination/catalogue_replica.h"
#include "coordination/membership.h"
#include "protocol/catalogue_diff.h"
#include "protocol/catalogue_item.h"
#include "protocol/table_messages.h"
#include "utils/enum_names.h"
#include "utils/random.h"

namespace fulmarpoint {

enum class ApplyStatus {
  /// In effect at so many voters that every daemon has it, or rejects new work, within 12 s.
  kAccepted,
  /// Nothing in the catalogue differs from the request.
  kUnchanged,
  /// Written, but too few voters confirmed it: daemons without the table service may still use the
  /// previous revision.
  kCommittedNotAccepted,
  /// Another change was committed first. Nothing was written.
  kConflict,
  /// This daemon does not reach enough voters. Nothing was written.
  kNoMajority,
  /// Another change of this daemon is in progress, or this daemon's replica did not catch up in
  /// time. Nothing was written.
  kBusy,
  /// The table service did not answer; the write may or may not have taken effect.
  kOutcomeUnknown,
};

inline constexpr std::array<EnumName<ApplyStatus>, 7> kApplyStatusNames = {{
    {ApplyStatus::kAccepted, "accepted"},
    {ApplyStatus::kUnchanged, "unchanged"},
    {ApplyStatus::kCommittedNotAccepted, "committed_not_accepted"},
    {ApplyStatus::kConflict, "conflict"},
    {ApplyStatus::kNoMajority, "no_majority"},
    {ApplyStatus::kBusy, "busy"},
    {ApplyStatus::kOutcomeUnknown, "outcome_unknown"},
}};

/// The answer to an operator's change.
struct ApplyReport {
  ApplyStatus status = ApplyStatus::kBusy;
  std::uint64_t revision = 0;
  /// Daemons that reported the revision, or a later one, to be in effect.
  std::vector<InstanceId> in_effect;
  /// Daemons that reported that they reject new work and do not have the revision yet.
  std::vector<InstanceId> fenced;
  /// Known daemons that did not answer, or answered with an older revision. If the status is
  /// `kAccepted`, each has the revision or rejects new work 10 s after the answer, except for
  /// entries with `when_stale = "serve"`.
  std::vector<InstanceId> unknown;
  /// `kConflict`: the differences between the catalogue and the request.
  std::vector<FieldDifference> differences;
};

/// Writes catalogue changes. One transaction compares the head row and writes the changed items, a
/// history record and the new head. If the answer is lost, the history record is read back. A
/// change is accepted when the voters that do not have it are too few to form a majority of the
/// current set of voters and of the previous set; voters that are certainly gone count as having
/// it. A daemon that relies on a majority then always receives the change from one of them.
///
/// The set of voters is itself an item of the catalogue. It is changed only when the previous
/// revision is accepted, so that two consecutive sets always overlap as required. This makes the
/// majority rule safe although daemons have different views of the membership. Not thread-safe.
class CatalogueWriter {
 public:
  struct Options {
    Duration write_timeout = std::chrono::seconds(10);
    Duration confirm_timeout = std::chrono::seconds(12);
    /// Time for which a report waits for daemons that appear unreachable.
    Duration unreachable_wait = std::chrono::seconds(3);
    Duration retry_interval = std::chrono::milliseconds(500);
    Duration voter_check_interval = std::chrono::seconds(10);
    /// Fault injection for tests: each switch breaks one rule.
    bool mutate_accept_without_majority = false;
    bool mutate_report_all_in_effect = false;
    bool mutate_trust_lost_answer = false;
    bool mutate_change_voters_before_accepted = false;
  };

  struct Apply {
    std::uint64_t id = 0;
    std::vector<CatalogueEntry> entries;
    std::vector<ServiceName> removed;
    /// Revision on which the operator based the change; the daemon's own if absent.
    std::optional<std::uint64_t> expected_revision;
    std::string author;
    UnixMillis at = 0;
  };
  struct TimerFired {};
  struct WriteResult {
    std::uint64_t token = 0;
    TableOutcome outcome = TableOutcome::kUnknown;
  };
  /// Result of `ReadHistory`. `row` is absent if the row does not exist.
  struct HistoryRead {
    std::uint64_t token = 0;
    bool ok = false;
    std::optional<TableRow> row;
  };
  /// A peer reported its head, which holds the latest revision that it has.
  struct PeerHead {
    InstanceId peer;
    CatalogueHead head;
  };
  using Event = std::variant<Apply, TimerFired, WriteResult, HistoryRead, PeerHead>;

  struct WriteTransaction {
    std::uint64_t token = 0;
    std::vector<TableOperation> operations;
  };
  struct ReadHistory {
    std::uint64_t token = 0;
    std::string key;
  };
  struct PingMember {
    InstanceId member;
  };
  /// The change was committed; the replica must read the new revision.
  struct Committed {
    std::uint64_t revision = 0;
  };
  /// The replica must read the head.
  struct RefreshReplica {};
  struct ApplyFinished {
    std::uint64_t id = 0;
    ApplyReport report;
  };
  using Action = std::variant<WriteTransaction, ReadHistory, PingMember, Committed, RefreshReplica,
                              ApplyFinished>;

  /// `replica` and `membership` are those of the same daemon and must outlive the writer.
  CatalogueWriter(const CatalogueReplica& replica, const Membership& membership, Options options,
                  std::uint64_t seed);

  void Handle(const Event& event, TimePoint now, std::vector<Action>& actions);

  /// Interval at which `TimerFired` is expected.
  static constexpr Duration kTimerInterval = std::chrono::milliseconds(250);

 private:
  enum class Phase { kIdle, kWaitForAcceptedBase, kWrite, kReadBack, kCatchUp, kConfirm };
  using Actions = std::vector<Action>;

  /// The change in progress: an operator's, or a change of the set of voters if `request` is
  /// absent.
  struct Change {
    std::optional<Apply> request;
    std::vector<InstanceId> new_voters;
    std::uint64_t base = 0;
    /// Random number that identifies the write in the history.
    std::uint64_t write_id = 0;
    /// Random number that identifies the latest call to the table service.
    std::uint64_t call_id = 0;
    std::uint64_t revision = 0;
    /// An earlier attempt got no answer and may have taken effect.
    bool uncertain = false;
    std::vector<TableOperation> operations;
    TimePoint deadline{};
    TimePoint retry_at{};
  };

  void On(const Apply& event, TimePoint now, Actions& actions);
  void On(const TimerFired& event, TimePoint now, Actions& actions);
  void On(const WriteResult& event, TimePoint now, Actions& actions);
  void On(const HistoryRead& event, TimePoint now, Actions& actions);
  void On(const PeerHead& event, TimePoint now, Actions& actions);

  void Begin(const Apply& event, TimePoint now, Actions& actions);
  void UpdateVoters(TimePoint now, Actions& actions);
  std::vector<InstanceId> DesiredVoters() const;
  bool IsElectedToChangeVoters() const;

  /// Prepares the transaction on the replica's revision and sends it, or finishes the change.
  void StartWrite(TimePoint now, Actions& actions);
  std::map<std::string, std::string> ChangedItems() const;
  void AddItem(std::vector<TableOperation>& operations, const std::string& key,
               const std::string& value) const;
  void SendWrite(TimePoint now, Actions& actions);
  void ReadBack(TimePoint now, Actions& actions);
  void OnCommitted(TimePoint now, Actions& actions);
  void OnConflict(TimePoint now, Actions& actions);
  void ContinueCatchUp(TimePoint now, Actions& actions);
  void ContinueConfirm(TimePoint now, Actions& actions);
  bool IsComplete(TimePoint now) const;
  void PingMembersWithoutRevision(std::uint64_t revision, TimePoint now, Actions& actions);
  bool EntriesChangedSince(std::uint64_t revision) const;
  std::vector<FieldDifference> Differences() const;

  bool HasRevision(const InstanceId& id, std::uint64_t revision) const;
  bool IsAccepted(std::uint64_t revision) const;
  bool ReachesEnoughVoters() const;
  ApplyReport Report(ApplyStatus status) const;
  void Finish(ApplyStatus status, Actions& actions);

  const CatalogueReplica& m_replica;
  const Membership& m_membership;
  Options m_options;
  Random m_random;
  Phase m_phase = Phase::kIdle;
  Change m_change;
  /// An operator's change that waits until a change of the set of voters has finished.
  std::optional<Apply> m_waiting_change;
  /// Latest head that each daemon reported; kept only while a change is in progress.
  std::map<InstanceId, CatalogueHead> m_heads;
  std::size_t m_next_ping = 0;
  TimePoint m_next_voter_check{};
};

}  // namespace fulmarpoint
