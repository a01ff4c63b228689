#include "server/call_coordinator.h"

#include <utility>
#include <variant>

#include "server/table_client.h"

namespace fulmarpoint {

namespace {

/// An outcome that could not be written for this long is kept in memory only.
constexpr Duration kOutcomeLimit = std::chrono::minutes(15);
constexpr Duration kReleaseLimit = std::chrono::minutes(1);
constexpr Duration kExpiryInterval = std::chrono::seconds(5);

std::string WaiterName(const std::string& scope, const std::string& key) {
  return scope + "/" + key;
}

}  // namespace

CallCoordinator::CallCoordinator(TableClient& tables, const Executor& executor, InstanceId self)
    : m_tables(tables),
      m_executor(executor),
      m_self(self),
      m_batcher(ClaimBatcherConfig{}),
      m_issuer(std::move(self), KeyIssuerConfig{}) {}

void CallCoordinator::Start() {
  Spawn(MakeStrand(m_executor), [this]() { return RunExpiry(); });
}

void CallCoordinator::Stop() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_stopped = true;
}

Task<void> CallCoordinator::RunExpiry() {
  while (true) {
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      if (m_stopped) co_return;
      m_owned.Expire(SteadyNow());
      m_issuer.Expire(SteadyNow());
    }
    co_await Sleep(kExpiryInterval);
  }
}

void CallCoordinator::Feed(const ClaimBatcher::Event& event) {
  std::vector<ClaimBatcher::Action> actions;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_batcher.Handle(event, SteadyNow(), actions);
  }
  for (const ClaimBatcher::Action& action : actions) {
    std::visit([this](const auto& specific) { Do(specific); }, action);
  }
}

void CallCoordinator::Do(const claim_batcher::WriteTransaction& action) {
  Spawn(MakeStrand(m_executor), [this, action]() { return Write(action); });
}

Task<void> CallCoordinator::Write(claim_batcher::WriteTransaction action) {
  std::vector<RowChange> changes;
  for (claim_batcher::RowOperation& row : action.operations) {
    changes.push_back({kClaimTable, std::move(row.key), row.expect, std::move(row.value)});
  }
  const TransactionResult result = co_await m_tables.Write(std::move(changes));
  switch (result.outcome) {
    case WriteOutcome::kCommitted:
      Feed(claim_batcher::Committed{action.transaction, result.version});
      co_return;
    case WriteOutcome::kConflict: {
      claim_batcher::Conflicted conflicted{action.transaction, {}};
      for (const StoredRow& row : result.conflicts) {
        conflicted.rows.push_back({row.key, row.version, row.value});
      }
      Feed(conflicted);
      co_return;
    }
    case WriteOutcome::kNotApplied:
    case WriteOutcome::kUnknown:
      Feed(claim_batcher::ResponseLost{action.transaction});
      co_return;
  }
}

void CallCoordinator::Do(const claim_batcher::SetTimer& action) {
  Spawn(MakeStrand(m_executor), [this, action]() { return Wait(action); });
}

Task<void> CallCoordinator::Wait(claim_batcher::SetTimer action) {
  co_await Sleep(std::max(action.at - SteadyNow(), Duration::zero()));
  Feed(claim_batcher::TimerFired{action.id});
}

void CallCoordinator::Do(const claim_batcher::Resolved& action) {
  ClaimCallback callback;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto outcome = m_outcomes.find(action.id);
    if (outcome != m_outcomes.end()) {
      if (action.result == ClaimResult::kWritten)
        m_owned.MarkRecorded(outcome->second, SteadyNow());
      m_outcomes.erase(outcome);
    }
    const auto claim = m_claims.find(action.id);
    if (claim != m_claims.end()) {
      callback = std::move(claim->second);
      m_claims.erase(claim);
    }
  }
  if (callback) callback(action);
}

void CallCoordinator::Claim(const call::Claim& action, ClaimCallback callback) {
  std::uint64_t id = 0;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    id = ++m_last_write;
    m_owned.Begin(action.record.claim_token);
    m_claims.emplace(id, std::move(callback));
  }
  Feed(claim_batcher::ClaimRequested{id, action.key, action.record, action.deadline});
}

void CallCoordinator::Release(const call::ReleaseClaim& action) {
  std::uint64_t id = 0;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_owned.Abandon(action.claim_token, SteadyNow());
    id = ++m_last_write;
  }
  Wake(action.claim_token, ClaimRecord{});
  // Without a version the claim was not written, or the batcher deletes it itself.
  if (action.version == 0) return;
  Feed(claim_batcher::ReleaseRequested{id, action.key, action.version, action.claim_token,
                                       SteadyNow() + kReleaseLimit});
}

void CallCoordinator::Record(const call::RecordOutcome& action) {
  std::uint64_t id = 0;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    id = ++m_last_write;
    m_outcomes.emplace(id, action.outcome.claim_token);
  }
  Feed(claim_batcher::OutcomeRequested{id, action.key, action.version, action.outcome,
                                       SteadyNow() + kOutcomeLimit});
}

void CallCoordinator::Publish(const ClaimRecord& outcome) {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_owned.Finish(outcome.claim_token, outcome, SteadyNow());
  }
  Wake(outcome.claim_token, outcome);
}

void CallCoordinator::Wake(const std::string& name, const ClaimRecord& outcome) {
  std::vector<OutcomeCallback> callbacks;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_waiters.find(name);
    if (found == m_waiters.end()) return;
    callbacks = std::move(found->second);
    m_waiters.erase(found);
  }
  for (const OutcomeCallback& callback : callbacks) callback(outcome);
}

void CallCoordinator::LookUp(const ClaimQuestion& question, const OwnerCallback& callback) {
  OwnedCallResult result;
  std::uint64_t release = 0;
  if (question.owner == m_self) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    result = m_owned.LookUp(question.claim_token);
    if (result.state == OwnedCallState::kRunning) {
      m_waiters[question.claim_token].push_back([callback](const ClaimRecord& outcome) {
        const bool released = outcome.state == ClaimState::kClaimed;
        callback(released ? OwnerReply::kReleased : OwnerReply::kFinished, outcome);
      });
      return;
    }
    if (result.state == OwnedCallState::kAbandoned) release = ++m_last_write;
  }
  if (release != 0) {
    Feed(claim_batcher::ReleaseRequested{release, question.key, 0, question.claim_token,
                                         SteadyNow() + kReleaseLimit});
  }
  switch (result.state) {
    case OwnedCallState::kFinished:
      return callback(OwnerReply::kFinished, result.outcome);
    case OwnedCallState::kAbandoned:
      return callback(OwnerReply::kReleased, {});
    case OwnedCallState::kRunning:
    case OwnedCallState::kUnknown:
      return callback(OwnerReply::kUnknown, {});
  }
}

std::string CallCoordinator::IssueKeyPrefix() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_issuer.Issue(SteadyNow());
}

Duration CallCoordinator::KeyValidity() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_issuer.Validity();
}

IssuedKeyResult CallCoordinator::BeginIssued(const std::string& scope, const std::string& key,
                                             std::uint64_t request_hash, OutcomeCallback callback) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  IssuedKeyResult result = m_issuer.Begin(scope, key, request_hash, SteadyNow());
  if (result.state == IssuedKeyState::kRunning) {
    m_waiters[WaiterName(scope, key)].push_back(std::move(callback));
  }
  return result;
}

bool CallCoordinator::IsUnusedIssued(const std::string& scope, const std::string& key) const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_issuer.IsUnused(scope, key, SteadyNow());
}

void CallCoordinator::FinishIssued(const std::string& scope, const std::string& key,
                                   const ClaimRecord& outcome) {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_issuer.Finish(scope, key, outcome, SteadyNow());
  }
  Wake(WaiterName(scope, key), outcome);
}

void CallCoordinator::AbandonIssued(const std::string& scope, const std::string& key) {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_issuer.Abandon(scope, key);
  }
  Wake(WaiterName(scope, key), ClaimRecord{});
}

std::size_t CallCoordinator::PendingWrites() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_batcher.Pending();
}

}  // namespace fulmarpoint
