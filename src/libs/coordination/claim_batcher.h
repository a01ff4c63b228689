#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "protocol/claim_record.h"
#include "utils/time.h"

namespace fulmarpoint {

enum class ClaimResult {
  /// The row has the requested value, or is deleted for `Release`.
  kWritten,
  /// Another claim holds the key; `existing` is its record.
  kExists,
  /// Not written before the deadline. A claim may still be applied later; it is then released.
  kUnavailable,
  /// The row is no longer that of this claim.
  kLost,
};

namespace claim_batcher {

// Events. `id` is chosen by the requester and unique per batcher.

struct ClaimRequested {
  std::uint64_t id = 0;
  std::string key;
  ClaimRecord record;
  TimePoint deadline;
};
/// Replaces the record of a claim by its outcome.
struct OutcomeRequested {
  std::uint64_t id = 0;
  std::string key;
  std::uint64_t version = 0;
  ClaimRecord record;
  TimePoint deadline;
};
/// Deletes a claim of which no byte was sent. `version` is 0 if it is not known.
struct ReleaseRequested {
  std::uint64_t id = 0;
  std::string key;
  std::uint64_t version = 0;
  std::string claim_token;
  TimePoint deadline;
};
struct Committed {
  std::uint64_t transaction = 0;
  std::uint64_t version = 0;
};
struct ConflictRow {
  std::string key;
  std::uint64_t version = 0;
  /// Nothing if the row does not exist.
  std::optional<std::string> value;
};
struct Conflicted {
  std::uint64_t transaction = 0;
  std::vector<ConflictRow> rows;
};
/// The transaction failed, or its response was lost and it may have been applied.
struct ResponseLost {
  std::uint64_t transaction = 0;
};
struct TimerFired {
  std::uint32_t id = 0;
};

using Event = std::variant<ClaimRequested, OutcomeRequested, ReleaseRequested, Committed,
                           Conflicted, ResponseLost, TimerFired>;

// Actions.

struct RowOperation {
  std::string key;
  /// Required version of the row; 0 if it must not exist.
  std::uint64_t expect = 0;
  /// Nothing to delete the row.
  std::optional<std::string> value;
};
struct WriteTransaction {
  std::uint64_t transaction = 0;
  std::vector<RowOperation> operations;
};
struct Resolved {
  std::uint64_t id = 0;
  ClaimResult result = ClaimResult::kUnavailable;
  /// Version of the row after the write.
  std::uint64_t version = 0;
  ClaimRecord existing;
};
struct SetTimer {
  std::uint32_t id = 0;
  TimePoint at;
};

using Action = std::variant<WriteTransaction, Resolved, SetTimer>;

}  // namespace claim_batcher

struct ClaimBatcherConfig {
  std::size_t max_operations = 64;
  /// Writes gather while this many transactions are in flight.
  std::size_t max_in_flight = 2;
  Duration response_timeout = std::chrono::seconds(1);
  Duration min_backoff = std::chrono::milliseconds(50);
  Duration max_backoff = std::chrono::seconds(2);
  /// How long a late response is still understood.
  Duration late_response = std::chrono::minutes(1);
};

/// Groups writes to the table of claims into transactions. A transaction whose response is lost is
/// written again unchanged: if it had been applied, the conflict returns the rows, which are
/// recognised by their claim token. Not thread-safe.
class ClaimBatcher {
 public:
  using Event = claim_batcher::Event;
  using Action = claim_batcher::Action;

  explicit ClaimBatcher(ClaimBatcherConfig config) : m_config(config) {}

  void Handle(const Event& event, TimePoint now, std::vector<Action>& actions);

  /// Returns the number of writes that are waiting or in flight.
  std::size_t Pending() const { return m_pending.size(); }

 private:
  enum class Kind { kClaim, kOutcome, kRelease };

  struct Write {
    Kind kind = Kind::kClaim;
    std::string key;
    std::uint64_t expect = 0;
    std::string claim_token;
    /// JSON form of the record; empty for a release.
    std::string value;
    TimePoint deadline;
  };

  struct Transaction {
    std::vector<std::uint64_t> ids;
    std::vector<std::string> keys;
    TimePoint timeout;
    bool timed_out = false;
  };

  void On(const claim_batcher::ClaimRequested& event, TimePoint now, std::vector<Action>& actions);
  void On(const claim_batcher::OutcomeRequested& event, TimePoint now,
          std::vector<Action>& actions);
  void On(const claim_batcher::ReleaseRequested& event, TimePoint now,
          std::vector<Action>& actions);
  void On(const claim_batcher::Committed& event, TimePoint now, std::vector<Action>& actions);
  void On(const claim_batcher::Conflicted& event, TimePoint now, std::vector<Action>& actions);
  void On(const claim_batcher::ResponseLost& event, TimePoint now, std::vector<Action>& actions);
  void On(const claim_batcher::TimerFired& event, TimePoint now, std::vector<Action>& actions);

  void Enqueue(std::uint64_t id, Write write);
  void Release(const std::string& key, const std::string& claim_token, std::uint64_t version,
               TimePoint now);
  void Flush(TimePoint now, std::vector<Action>& actions);
  void FillTransaction(std::deque<std::uint64_t>& queue, Transaction& transaction,
                       claim_batcher::WriteTransaction& action);
  void ArmTimer(TimePoint now, std::vector<Action>& actions);
  void Resolve(std::uint64_t id, ClaimResult result, std::uint64_t version,
               const ClaimRecord& existing, std::vector<Action>& actions);
  /// Resolves a write or updates the version that it expects when it is written again.
  void ResolveConflict(std::uint64_t id, Write& write, const claim_batcher::ConflictRow& row,
                       std::vector<Action>& actions);
  /// Ends the flight of a transaction and returns its unresolved writes to the queue.
  void FinishTransaction(Transaction& transaction);
  void ExpireWrites(TimePoint now, std::vector<Action>& actions);
  void ExpireTransactions(TimePoint now);
  void BackOff(TimePoint now);

  ClaimBatcherConfig m_config;
  std::map<std::uint64_t, Write> m_pending;
  std::set<std::pair<TimePoint, std::uint64_t>> m_deadlines;
  /// Claims go first, because callers wait for them.
  std::deque<std::uint64_t> m_claim_queue;
  std::deque<std::uint64_t> m_outcome_and_release_queue;
  std::map<std::uint64_t, Transaction> m_transactions;
  /// Claims that were given up; a late commit is answered by a release.
  std::map<std::uint64_t, Write> m_abandoned;
  /// Keys of writes in flight. Two writes of one key are never in flight together.
  std::set<std::string> m_busy_keys;
  std::size_t m_in_flight = 0;
  std::uint64_t m_last_transaction = 0;
  /// Ids of writes that the batcher makes for itself count down from the top.
  std::uint64_t m_last_internal_id = UINT64_MAX;
  Duration m_backoff = Duration::zero();
  TimePoint m_not_before;
  TimePoint m_timer_at = TimePoint::max();
};

}  // namespace fulmarpoint
