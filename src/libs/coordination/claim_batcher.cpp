#include "coordination/claim_batcher.h"

#include <algorithm>
#include <utility>

namespace fulmarpoint {

using namespace claim_batcher;

namespace {

constexpr std::uint32_t kWriteTimer = 1;
/// How long to try to release a claim.
constexpr Duration kMaxReleaseTime = std::chrono::minutes(10);

}  // namespace

void ClaimBatcher::Handle(const Event& event, TimePoint now, std::vector<Action>& actions) {
  std::visit([&](const auto& specific) { On(specific, now, actions); }, event);
  Flush(now, actions);
  ArmTimer(now, actions);
}

void ClaimBatcher::On(const ClaimRequested& event, TimePoint, std::vector<Action>&) {
  Enqueue(event.id, Write{Kind::kClaim, event.key, 0, event.record.claim_token,
                          ToJson(event.record), event.deadline});
}

void ClaimBatcher::On(const OutcomeRequested& event, TimePoint, std::vector<Action>&) {
  Enqueue(event.id, Write{Kind::kOutcome, event.key, event.version, event.record.claim_token,
                          ToJson(event.record), event.deadline});
}

void ClaimBatcher::On(const ReleaseRequested& event, TimePoint, std::vector<Action>&) {
  Enqueue(event.id,
          Write{Kind::kRelease, event.key, event.version, event.claim_token, {}, event.deadline});
}

void ClaimBatcher::On(const Committed& event, TimePoint now, std::vector<Action>& actions) {
  const auto found = m_transactions.find(event.transaction);
  if (found == m_transactions.end()) return;
  m_backoff = Duration::zero();
  for (const std::uint64_t id : found->second.ids) {
    Resolve(id, ClaimResult::kWritten, event.version, {}, actions);
    const auto abandoned = m_abandoned.find(id);
    if (abandoned == m_abandoned.end()) continue;
    Release(abandoned->second.key, abandoned->second.claim_token, event.version, now);
    m_abandoned.erase(abandoned);
  }
  FinishTransaction(found->second);
  m_transactions.erase(found);
}

void ClaimBatcher::On(const Conflicted& event, TimePoint, std::vector<Action>& actions) {
  const auto found = m_transactions.find(event.transaction);
  if (found == m_transactions.end()) return;
  m_backoff = Duration::zero();
  for (const std::uint64_t id : found->second.ids) {
    const auto pending = m_pending.find(id);
    if (pending == m_pending.end()) continue;
    const auto row = std::find_if(
        event.rows.begin(), event.rows.end(),
        [&](const ConflictRow& conflict) { return conflict.key == pending->second.key; });
    if (row != event.rows.end()) ResolveConflict(id, pending->second, *row, actions);
  }
  FinishTransaction(found->second);
  m_transactions.erase(found);
}

void ClaimBatcher::On(const ResponseLost& event, TimePoint now, std::vector<Action>&) {
  const auto found = m_transactions.find(event.transaction);
  if (found == m_transactions.end() || found->second.timed_out) return;
  BackOff(now);
  FinishTransaction(found->second);
  found->second.timed_out = true;
}

void ClaimBatcher::On(const TimerFired& event, TimePoint now, std::vector<Action>& actions) {
  if (event.id != kWriteTimer) return;
  m_timer_at = TimePoint::max();
  ExpireTransactions(now);
  ExpireWrites(now, actions);
}

void ClaimBatcher::Enqueue(std::uint64_t id, Write write) {
  std::deque<std::uint64_t>& queue =
      write.kind == Kind::kClaim ? m_claim_queue : m_outcome_and_release_queue;
  queue.push_back(id);
  m_deadlines.emplace(write.deadline, id);
  m_pending.emplace(id, std::move(write));
}

void ClaimBatcher::Release(const std::string& key, const std::string& claim_token,
                           std::uint64_t version, TimePoint now) {
  Enqueue(m_last_internal_id--,
          Write{Kind::kRelease, key, version, claim_token, {}, now + kMaxReleaseTime});
}

void ClaimBatcher::Flush(TimePoint now, std::vector<Action>& actions) {
  while (m_in_flight < m_config.max_in_flight && now >= m_not_before) {
    Transaction transaction;
    WriteTransaction action;
    FillTransaction(m_claim_queue, transaction, action);
    FillTransaction(m_outcome_and_release_queue, transaction, action);
    if (transaction.ids.empty()) return;
    action.transaction = ++m_last_transaction;
    transaction.timeout = now + m_config.response_timeout;
    m_transactions.emplace(action.transaction, std::move(transaction));
    ++m_in_flight;
    actions.emplace_back(std::move(action));
  }
}

void ClaimBatcher::FillTransaction(std::deque<std::uint64_t>& queue, Transaction& transaction,
                                   WriteTransaction& action) {
  std::deque<std::uint64_t> postponed;
  while (!queue.empty() && transaction.ids.size() < m_config.max_operations) {
    const std::uint64_t id = queue.front();
    queue.pop_front();
    const auto pending = m_pending.find(id);
    if (pending == m_pending.end()) continue;
    const Write& write = pending->second;
    if (!m_busy_keys.insert(write.key).second) {
      postponed.push_back(id);
      continue;
    }
    RowOperation operation{write.key, write.expect, std::nullopt};
    if (write.kind != Kind::kRelease) operation.value = write.value;
    action.operations.push_back(std::move(operation));
    transaction.ids.push_back(id);
    transaction.keys.push_back(write.key);
  }
  queue.insert(queue.begin(), postponed.begin(), postponed.end());
}

void ClaimBatcher::ArmTimer(TimePoint now, std::vector<Action>& actions) {
  TimePoint next = m_deadlines.empty() ? TimePoint::max() : m_deadlines.begin()->first;
  for (const auto& [number, transaction] : m_transactions) {
    if (!transaction.timed_out) next = std::min(next, transaction.timeout);
  }
  const bool waiting = !m_claim_queue.empty() || !m_outcome_and_release_queue.empty();
  if (waiting && m_not_before > now) next = std::min(next, m_not_before);
  if (next >= m_timer_at) return;
  m_timer_at = next;
  actions.emplace_back(SetTimer{kWriteTimer, next});
}

void ClaimBatcher::Resolve(std::uint64_t id, ClaimResult result, std::uint64_t version,
                           const ClaimRecord& existing, std::vector<Action>& actions) {
  const auto pending = m_pending.find(id);
  if (pending == m_pending.end()) return;
  m_deadlines.erase({pending->second.deadline, id});
  m_pending.erase(pending);
  if (id <= m_last_internal_id) actions.emplace_back(Resolved{id, result, version, existing});
}

void ClaimBatcher::ResolveConflict(std::uint64_t id, Write& write, const ConflictRow& row,
                                   std::vector<Action>& actions) {
  if (!row.value) {
    // The row that the claim conflicted with has been deleted, so the claim is written again.
    if (write.kind == Kind::kClaim) return;
    const bool deleted = write.kind == Kind::kRelease;
    Resolve(id, deleted ? ClaimResult::kWritten : ClaimResult::kLost, 0, {}, actions);
    return;
  }
  const Parsed<ClaimRecord> parsed = ParseClaimRecord(*row.value);
  const ClaimRecord existing = parsed.Ok() ? parsed.Value() : ClaimRecord{};
  if (existing.claim_token != write.claim_token) {
    const bool claim = write.kind == Kind::kClaim;
    Resolve(id, claim ? ClaimResult::kExists : ClaimResult::kLost, row.version, existing, actions);
    return;
  }
  if (*row.value == write.value) {
    Resolve(id, ClaimResult::kWritten, row.version, {}, actions);
    return;
  }
  if (existing.state == ClaimState::kDone) {
    Resolve(id, ClaimResult::kLost, row.version, existing, actions);
    return;
  }
  // The row still belongs to this claim, but its version is not the expected one.
  write.expect = row.version;
}

void ClaimBatcher::FinishTransaction(Transaction& transaction) {
  if (transaction.timed_out) return;
  --m_in_flight;
  for (const std::string& key : transaction.keys) m_busy_keys.erase(key);
  for (auto id = transaction.ids.rbegin(); id != transaction.ids.rend(); ++id) {
    const auto pending = m_pending.find(*id);
    if (pending == m_pending.end()) continue;
    const bool claim = pending->second.kind == Kind::kClaim;
    (claim ? m_claim_queue : m_outcome_and_release_queue).push_front(*id);
  }
}

void ClaimBatcher::ExpireWrites(TimePoint now, std::vector<Action>& actions) {
  while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
    const std::uint64_t id = m_deadlines.begin()->second;
    const Write write = m_pending.at(id);
    Resolve(id, ClaimResult::kUnavailable, 0, {}, actions);
    if (write.kind != Kind::kClaim) continue;
    m_abandoned.emplace(id, write);
    Release(write.key, write.claim_token, 0, now);
  }
}

void ClaimBatcher::ExpireTransactions(TimePoint now) {
  auto entry = m_transactions.begin();
  while (entry != m_transactions.end()) {
    Transaction& transaction = entry->second;
    if (!transaction.timed_out && transaction.timeout <= now) {
      BackOff(now);
      FinishTransaction(transaction);
      transaction.timed_out = true;
    }
    const bool is_expired = transaction.timeout + m_config.late_response <= now;
    if (is_expired) {
      for (const std::uint64_t id : transaction.ids) m_abandoned.erase(id);
    }
    entry = is_expired ? m_transactions.erase(entry) : std::next(entry);
  }
}

void ClaimBatcher::BackOff(TimePoint now) {
  m_backoff = std::clamp(m_backoff * 2, m_config.min_backoff, m_config.max_backoff);
  m_not_before = now + m_backoff;
}

}  // namespace fulmarpoint
