#include <algorithm>
#include <utility>

#include "support/simulated_daemon.h"

namespace fulmarpoint {

namespace {

constexpr const char* kScope = "org/service";
constexpr const char* kClaims = "claims";
constexpr Duration kReadTimeout = std::chrono::seconds(1);

}  // namespace

void SimulatedDaemon::Perform(std::uint64_t id, const call::SelectEndpoint& action) {
  std::vector<EndpointId> candidates;
  for (const char* endpoint : {"a0", "a1"}) {
    const bool excluded = std::count(action.excluded.begin(), action.excluded.end(), endpoint) > 0;
    if (!excluded) candidates.push_back(endpoint);
  }
  const std::optional<EndpointId> chosen = ChooseEndpoint(candidates);
  Post(Duration::zero(), [this, id, chosen, selection = action.selection] {
    if (chosen) return HandleCallEvent(id, call::EndpointSelected{selection, *chosen});
    HandleCallEvent(id, call::NoEndpoint{selection});
  });
}

void SimulatedDaemon::Perform(std::uint64_t id, const call::Claim& action) {
  Session* session = Find(id);
  if (m_simulation.ActiveMutation() == Mutation::kSendBeforeClaim && !session->sent_before_claim) {
    Perform(id, call::Send{1, *ChooseEndpoint({"a0", "a1"})});
    session->sent_before_claim = true;
  }
  m_simulation.RunAtStep(Step::kClaim, session->request.name, m_self.name, [this, id, action] {
    if (m_ended) return;
    m_owned.Begin(action.record.claim_token);
    const std::uint64_t write = ++m_last_write;
    m_session_by_claim[write] = id;
    HandleBatcherEvent(
        claim_batcher::ClaimRequested{write, action.key, action.record, action.deadline});
  });
}

void SimulatedDaemon::Perform(std::uint64_t id, const call::ReleaseClaim& action) {
  if (m_simulation.Kind() == ScenarioKind::kCallIssued) {
    m_issuer.Abandon(kScope, Find(id)->request.key);
    return;
  }
  m_owned.Abandon(action.claim_token, m_simulation.queue.Now());
  if (action.version == 0) return;
  HandleBatcherEvent(claim_batcher::ReleaseRequested{
      ++m_last_write, action.key, action.version, action.claim_token,
      m_simulation.queue.Now() + std::chrono::minutes(1)});
}

void SimulatedDaemon::Perform(std::uint64_t id, const call::Send& action) {
  Session* session = Find(id);
  if (std::exchange(session->sent_before_claim, false)) return;
  const SimulatedRequest request = session->request;
  m_simulation.SetCurrentEndpoint(request.name, action.endpoint);
  m_simulation.RunAtStep(Step::kSend, request.name, m_self.name, [this, id, action, request] {
    if (m_ended) return;
    const auto fail = [this, id, action](CallFailure failure) {
      m_failed_until[action.endpoint] = m_simulation.queue.Now() + std::chrono::seconds(1);
      HandleCallEvent(id, call::AttemptFailed{action.attempt, failure});
    };
    const auto lost = [fail] { fail(CallFailure::kConnectionLost); };
    VirtualNetwork::ClientCallbacks callbacks;
    callbacks.failed = [fail] { fail(CallFailure::kNotConnected); };
    callbacks.lost = lost;
    callbacks.connected = [this, id, action, request, fail,
                           lost](VirtualNetwork::ConnectionId link) {
      Find(id)->connections[action.attempt] = link;
      const auto reply = [this, id, action, request, link, fail, lost](
                             int status, const std::string& body,
                             const RequestName& answered_request) {
        const bool own = answered_request == request.name ||
                         m_simulation.ActiveMutation() == Mutation::kAcceptSwappedAnswer;
        m_simulation.SendAnswer(
            link, action.endpoint, m_self.name,
            [this, id, action, status, body, own, fail] {
              if (!own) return fail(CallFailure::kBadAnswer);
              HandleCallEvent(id,
                              call::ResponseReceived{action.attempt, {status, "text/plain", body}});
            },
            lost);
      };
      m_simulation.network.Send(link, true, [this, action, request, reply] {
        m_simulation.ServeCall(action.endpoint, request.name, request.body, reply);
      });
    };
    m_simulation.network.Connect(m_self.name, action.endpoint, callbacks);
  });
}

void SimulatedDaemon::Perform(std::uint64_t id, const call::CloseAttempt& action) {
  m_simulation.network.Close(Find(id)->connections[action.attempt]);
}

void SimulatedDaemon::Perform(std::uint64_t id, const call::Answer& action) {
  CallerMessage message;
  message.kind = CallerMessage::Kind::kAnswer;
  message.status = action.answer.status;
  message.text = action.answer.body;
  m_simulation.RunAtStep(Step::kAnswer, Find(id)->request.name, m_self.name,
                         [this, id, message] { SendToCaller(id, message); });
}

void SimulatedDaemon::Perform(std::uint64_t id, const call::RejectRequest& action) {
  CallerMessage message;
  message.kind = CallerMessage::Kind::kError;
  message.code = action.code;
  const bool sent = InfoOf(action.code).execution == Execution::kMayHaveRun;
  if (sent && m_simulation.ActiveMutation() == Mutation::kNotRunAfterSend) {
    message.code = ResultCode::kNoEndpoint;
  }
  SendToCaller(id, message);
}

void SimulatedDaemon::Perform(std::uint64_t id, const call::PublishOutcome& action) {
  const TimePoint now = m_simulation.queue.Now();
  const std::string key = Find(id)->request.key;
  const bool issued = m_simulation.Kind() == ScenarioKind::kCallIssued;
  const std::string waiter_key = issued ? key : action.outcome.claim_token;
  const auto publish = [this, issued, key, waiter_key, now, outcome = action.outcome] {
    if (m_ended) return;
    if (!issued) {
      m_owned.Finish(outcome.claim_token, outcome, now);
    } else if (m_simulation.ActiveMutation() == Mutation::kForgetIssuedOutcome) {
      m_issuer.Abandon(kScope, key);
    } else {
      m_issuer.Finish(kScope, key, outcome, now);
    }
    for (const auto& waiter : m_waiters[waiter_key]) waiter(outcome);
    m_waiters.erase(waiter_key);
  };
  if (!issued) return publish();
  m_simulation.RunAtStep(Step::kOutcome, Find(id)->request.name, m_self.name, publish);
}

void SimulatedDaemon::Perform(std::uint64_t id, const call::RecordOutcome& action) {
  m_simulation.RunAtStep(Step::kOutcome, Find(id)->request.name, m_self.name, [this, action] {
    if (m_ended) return;
    const std::uint64_t write = ++m_last_write;
    m_claim_token_by_outcome[write] = action.outcome.claim_token;
    HandleBatcherEvent(
        claim_batcher::OutcomeRequested{write, action.key, action.version, action.outcome,
                                        m_simulation.queue.Now() + std::chrono::minutes(1)});
  });
}

void SimulatedDaemon::Perform(std::uint64_t id, const call::StoreObject&) {
  HandleCallEvent(id, call::ObjectStored{true});
}

void SimulatedDaemon::Perform(std::uint64_t id, const call::ReadObject&) {
  HandleCallEvent(id, call::ObjectRead{});
}

void SimulatedDaemon::QueryOwnedCall(const InstanceId& owner, const std::string& key,
                                     const std::string& claim_token,
                                     const std::function<void(OwnerReply, ClaimRecord)>& reply) {
  if (m_ended || owner != m_self) return reply(OwnerReply::kUnknown, {});
  const OwnedCallResult result = m_owned.LookUp(claim_token);
  switch (result.state) {
    case OwnedCallState::kRunning:
      m_waiters[claim_token].push_back(
          [reply](const ClaimRecord& outcome) { reply(OwnerReply::kFinished, outcome); });
      return;
    case OwnedCallState::kFinished:
      return reply(OwnerReply::kFinished, result.outcome);
    case OwnedCallState::kAbandoned:
      HandleBatcherEvent(claim_batcher::ReleaseRequested{
          ++m_last_write, key, 0, claim_token, m_simulation.queue.Now() + std::chrono::minutes(1)});
      return reply(OwnerReply::kReleased, {});
    case OwnedCallState::kUnknown:
      return reply(OwnerReply::kUnknown, {});
  }
}

void SimulatedDaemon::Perform(std::uint64_t id, const call::QueryOwner& action) {
  const auto answer = [this, id, action](OwnerReply reply, const ClaimRecord& outcome) {
    const bool known = reply == OwnerReply::kFinished || reply == OwnerReply::kReleased;
    if (!known && m_simulation.ActiveMutation() == Mutation::kTakeOverUnreachable) {
      const std::optional<FakeTableService::Row> row = m_simulation.store.Find(kClaims, action.key);
      if (row) m_simulation.store.Apply({{kClaims, action.key, row->version, std::nullopt}});
      return HandleCallEvent(id, call::OwnerReplied{OwnerReply::kReleased, {}});
    }
    HandleCallEvent(id, call::OwnerReplied{reply, outcome});
  };
  const InstanceId owner = action.existing.owner;
  const std::string token = action.existing.claim_token;
  if (owner.name == m_self.name) return QueryOwnedCall(owner, action.key, token, answer);
  VirtualNetwork::ClientCallbacks callbacks;
  callbacks.failed = callbacks.lost = [answer] { answer(OwnerReply::kUnreachable, {}); };
  callbacks.connected = [this, owner, action, token, answer](VirtualNetwork::ConnectionId link) {
    m_simulation.network.Send(link, true, [this, owner, action, token, answer, link] {
      m_simulation.daemons.at(owner.name)
          ->QueryOwnedCall(owner, action.key, token,
                           [this, answer, link](OwnerReply reply, const ClaimRecord& outcome) {
                             m_simulation.network.Send(
                                 link, false, [answer, reply, outcome] { answer(reply, outcome); });
                           });
    });
  };
  m_simulation.network.Connect(m_self.name, owner.name, callbacks);
}

void SimulatedDaemon::Perform(std::uint64_t id, const call::ReadClaim& action) {
  m_simulation.store.Read(m_self.name, kClaims, action.key,
                          [this, id](const std::optional<FakeTableService::Row>& row) {
                            call::ClaimRead read{true, std::nullopt};
                            if (row) read.record = ParseClaimRecord(row->value).Value();
                            HandleCallEvent(id, read);
                          });
  Post(kReadTimeout, [this, id] { HandleCallEvent(id, call::ClaimRead{}); });
}

void SimulatedDaemon::Perform(std::uint64_t id, const call::SetTimer& action) {
  m_simulation.network.Post(m_self.name, action.at, [this, id, timer = action.id] {
    HandleCallEvent(id, call::TimerFired{timer});
  });
}

void SimulatedDaemon::Perform(const claim_batcher::WriteTransaction& action) {
  std::vector<FakeTableService::Operation> operations;
  for (const claim_batcher::RowOperation& row : action.operations) {
    operations.push_back({kClaims, row.key, row.expect, row.value});
  }
  m_simulation.store.Submit(
      m_self.name, operations,
      [this, transaction = action.transaction](const FakeTableService::Result& result) {
        if (result.conflicts.empty()) {
          return HandleBatcherEvent(claim_batcher::Committed{transaction, result.version});
        }
        claim_batcher::Conflicted conflicted{transaction, {}};
        for (const FakeTableService::Conflict& conflict : result.conflicts) {
          claim_batcher::ConflictRow row{conflict.key, 0, std::nullopt};
          if (conflict.row) row.version = conflict.row->version;
          if (conflict.row) row.value = conflict.row->value;
          conflicted.rows.push_back(row);
        }
        HandleBatcherEvent(conflicted);
      });
}

void SimulatedDaemon::Perform(const claim_batcher::Resolved& action) {
  const auto outcome = m_claim_token_by_outcome.find(action.id);
  if (outcome != m_claim_token_by_outcome.end()) {
    if (action.result == ClaimResult::kWritten) {
      m_owned.MarkRecorded(outcome->second, m_simulation.queue.Now());
    }
    return;
  }
  const auto claim = m_session_by_claim.find(action.id);
  if (claim == m_session_by_claim.end()) return;
  const std::uint64_t id = claim->second;
  const Mutation mutation = m_simulation.ActiveMutation();
  const bool open = action.existing.state == ClaimState::kClaimed;
  const bool take = mutation == Mutation::kIgnoreExistingClaim ||
                    (mutation == Mutation::kExpireClaimEarly &&
                     m_simulation.WallTime() - action.existing.created > 1000);
  switch (action.result) {
    case ClaimResult::kWritten:
      return HandleCallEvent(id, call::ClaimWritten{action.version});
    case ClaimResult::kExists:
      if (open && take) return HandleCallEvent(id, call::ClaimWritten{action.version});
      return HandleCallEvent(id, call::ClaimExists{action.existing});
    case ClaimResult::kUnavailable:
    case ClaimResult::kLost:
      return HandleCallEvent(id, call::ClaimUnavailable{});
  }
}

void SimulatedDaemon::Perform(const claim_batcher::SetTimer& action) {
  m_simulation.network.Post(m_self.name, action.at, [this, timer = action.id] {
    HandleBatcherEvent(claim_batcher::TimerFired{timer});
  });
}

}  // namespace fulmarpoint
