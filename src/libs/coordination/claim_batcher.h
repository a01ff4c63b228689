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
  /// The row has the requested value or, after a release, is deleted.
  kWritten,
  /// Another claim has the key; `existing` is its record.
  kExists,
  /// Not written before the deadline. A claim that is applied later nevertheless is released.
  kUnavailable,
  /// The row no longer belongs to this claim, or its outcome is already final.
  kLost,
};

namespace claim_batcher {

// Events. The requester chooses `id`, which must be unique per batcher.

struct ClaimRequested {
  std::uint64_t id = 0;
  std::string key;
  ClaimRecord record;
  TimePoint deadline;
};
/// Replaces the record of a claim with its outcome.
struct OutcomeRequested {
  std::uint64_t id = 0;
  std::string key;
  std::uint64_t version = 0;
  ClaimRecord record;
  TimePoint deadline;
};
/// Deletes the claim of a call of which no byte was sent. `version` is 0 if it is unknown.
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
/// The transaction failed, or its response was lost. It may have been applied.
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
  /// Nothing deletes the row.
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
  /// Writes are queued while this many transactions are in flight.
  std::size_t max_in_flight = 2;
  Duration response_timeout = std::chrono::seconds(1);
  Duration min_backoff = std::chrono::milliseconds(50);
  Duration max_backoff = std::chrono::seconds(2);
  /// How long after its timeout a transaction is kept, to recognise a late response.
  Duration late_response = std::chrono::minutes(1);
};

/// Batches writes to the table of claims into transactions. If the response of a transaction is
/// lost, its writes are sent again unchanged. If it had been applied, the conflict returns the
/// rows, which are recognised by their claim tokens. Not thread-safe.
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
  /// Resolves a write, or updates the version that it expects when it is sent again.
  void ResolveConflict(std::uint64_t id, Write& write, const claim_batcher::ConflictRow& row,
                       std::vector<Action>& actions);
  /// Ends a transaction in flight and returns its unresolved writes to the front of the queue.
  void FinishTransaction(Transaction& transaction);
  void ExpireWrites(TimePoint now, std::vector<Action>& actions);
  void ExpireTransactions(TimePoint now);
  void BackOff(TimePoint now);

  ClaimBatcherConfig m_config;
  std::map<std::uint64_t, Write> m_pending;
  std::set<std::pair<TimePoint, std::uint64_t>> m_deadlines;
  /// Claims have priority over other writes, because callers wait for them.
  std::deque<std::uint64_t> m_claim_queue;
  std::deque<std::uint64_t> m_outcome_and_release_queue;
  std::map<std::uint64_t, Transaction> m_transactions;
  /// Claims whose deadline has passed. They are released if they are committed nevertheless.
  std::map<std::uint64_t, Write> m_abandoned;
  /// Keys of writes in flight. There are never two writes of a key in flight.
  std::set<std::string> m_busy_keys;
  std::size_t m_in_flight = 0;
  std::uint64_t m_last_transaction = 0;
  /// Ids of the batcher's own writes count down from the maximum.
  std::uint64_t m_last_internal_id = UINT64_MAX;
  Duration m_backoff = Duration::zero();
  TimePoint m_not_before;
  TimePoint m_timer_at = TimePoint::max();
};

}  // namespace fulmarpoint
