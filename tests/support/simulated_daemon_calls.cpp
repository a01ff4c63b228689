#include <algorithm>
#include <utility>

#include "support/simulated_daemon.h"

namespace fulmarpoint {

namespace {

constexpr const char* kScope = "org/service";
constexpr const char* kClaims = "claims";
constexpr Duration kReadTimeout = std::chrono::seconds(1);

}  // namespace

void SimulatedDaemon::Do(std::uint64_t id, const call::SelectEndpoint& action) {
  std::vector<EndpointId> candidates;
  for (const char* endpoint : {"a0", "a1"}) {
    const bool excluded = std::count(action.excluded.begin(), action.excluded.end(), endpoint) > 0;
    if (!excluded) candidates.push_back(endpoint);
  }
  const std::optional<EndpointId> chosen = Choose(candidates);
  Post(Duration::zero(), [this, id, chosen, selection = action.selection] {
    if (chosen) return FeedCall(id, call::EndpointSelected{selection, *chosen});
    FeedCall(id, call::NoEndpoint{selection});
  });
}

void SimulatedDaemon::Do(std::uint64_t id, const call::Claim& action) {
  Session* session = Find(id);
  if (m_world.ActiveMutation() == Mutation::kSendBeforeClaim && !session->sent_before_claim) {
    Do(id, call::Send{1, *Choose({"a0", "a1"})});
    session->sent_before_claim = true;
  }
  m_world.AtStep(Step::kClaim, session->request.name, m_self.name, [this, id, action] {
    if (m_dead) return;
    m_owned.Begin(action.record.claim_token);
    const std::uint64_t write = ++m_last_write;
    m_claims[write] = id;
    FeedBatcher(claim_batcher::ClaimRequested{write, action.key, action.record, action.deadline});
  });
}

void SimulatedDaemon::Do(std::uint64_t id, const call::ReleaseClaim& action) {
  if (m_world.Kind() == ScenarioKind::kCallIssued) {
    m_issuer.Abandon(kScope, Find(id)->request.key);
    return;
  }
  m_owned.Abandon(action.claim_token, m_world.queue.Now());
  if (action.version == 0) return;
  FeedBatcher(claim_batcher::ReleaseRequested{++m_last_write, action.key, action.version,
                                              action.claim_token,
                                              m_world.queue.Now() + std::chrono::minutes(1)});
}

void SimulatedDaemon::Do(std::uint64_t id, const call::Send& action) {
  Session* session = Find(id);
  if (std::exchange(session->sent_before_claim, false)) return;
  const SimulatedRequest request = session->request;
  m_world.Use(request.name, action.endpoint);
  m_world.AtStep(Step::kSend, request.name, m_self.name, [this, id, action, request] {
    if (m_dead) return;
    const auto fail = [this, id, action](CallFailure failure) {
      m_failed_until[action.endpoint] = m_world.queue.Now() + std::chrono::seconds(1);
      FeedCall(id, call::AttemptFailed{action.attempt, failure});
    };
    const auto lost = [fail] { fail(CallFailure::kConnectionLost); };
    VirtualNetwork::ClientEnd end;
    end.failed = [fail] { fail(CallFailure::kNotConnected); };
    end.lost = lost;
    end.connected = [this, id, action, request, fail, lost](VirtualNetwork::ConnectionId link) {
      Find(id)->connections[action.attempt] = link;
      const auto reply = [this, id, action, request, link, fail, lost](
                             int status, const std::string& body, const RequestName& owner) {
        const bool own =
            owner == request.name || m_world.ActiveMutation() == Mutation::kAcceptCrossedAnswer;
        m_world.SendAnswer(
            link, action.endpoint, m_self.name,
            [this, id, action, status, body, own, fail] {
              if (!own) return fail(CallFailure::kBadAnswer);
              FeedCall(id, call::ResponseReceived{action.attempt, {status, "text/plain", body}});
            },
            lost);
      };
      m_world.network.Send(link, true, [this, action, request, reply] {
        m_world.ServeCall(action.endpoint, request.name, request.body, reply);
      });
    };
    m_world.network.Connect(m_self.name, action.endpoint, end);
  });
}

void SimulatedDaemon::Do(std::uint64_t id, const call::CloseAttempt& action) {
  m_world.network.Close(Find(id)->connections[action.attempt]);
}

void SimulatedDaemon::Do(std::uint64_t id, const call::Answer& action) {
  CallerMessage message;
  message.kind = CallerMessage::Kind::kAnswer;
  message.status = action.answer.status;
  message.text = action.answer.body;
  m_world.AtStep(Step::kAnswer, Find(id)->request.name, m_self.name,
                 [this, id, message] { ToCaller(id, message); });
}

void SimulatedDaemon::Do(std::uint64_t id, const call::RejectRequest& action) {
  CallerMessage message;
  message.kind = CallerMessage::Kind::kError;
  message.code = action.code;
  const bool sent = InfoOf(action.code).execution == Execution::kMayHaveRun;
  if (sent && m_world.ActiveMutation() == Mutation::kNotRunAfterSend) {
    message.code = ResultCode::kNoEndpoint;
  }
  ToCaller(id, message);
}

void SimulatedDaemon::Do(std::uint64_t id, const call::PublishOutcome& action) {
  const TimePoint now = m_world.queue.Now();
  const std::string key = Find(id)->request.key;
  const bool issued = m_world.Kind() == ScenarioKind::kCallIssued;
  const std::string waited = issued ? key : action.outcome.claim_token;
  const auto publish = [this, issued, key, waited, now, outcome = action.outcome] {
    if (m_dead) return;
    if (!issued) {
      m_owned.Finish(outcome.claim_token, outcome, now);
    } else if (m_world.ActiveMutation() == Mutation::kForgetIssuedOutcome) {
      m_issuer.Abandon(kScope, key);
    } else {
      m_issuer.Finish(kScope, key, outcome, now);
    }
    for (const auto& waiter : m_waiters[waited]) waiter(outcome);
    m_waiters.erase(waited);
  };
  if (!issued) return publish();
  m_world.AtStep(Step::kOutcome, Find(id)->request.name, m_self.name, publish);
}

void SimulatedDaemon::Do(std::uint64_t id, const call::RecordOutcome& action) {
  m_world.AtStep(Step::kOutcome, Find(id)->request.name, m_self.name, [this, action] {
    if (m_dead) return;
    const std::uint64_t write = ++m_last_write;
    m_outcomes[write] = action.outcome.claim_token;
    FeedBatcher(claim_batcher::OutcomeRequested{write, action.key, action.version, action.outcome,
                                                m_world.queue.Now() + std::chrono::minutes(1)});
  });
}

void SimulatedDaemon::Do(std::uint64_t id, const call::StoreObject&) {
  FeedCall(id, call::ObjectStored{true});
}

void SimulatedDaemon::Do(std::uint64_t id, const call::ReadObject&) {
  FeedCall(id, call::ObjectRead{});
}

void SimulatedDaemon::AskOwned(const InstanceId& owner, const std::string& key,
                               const std::string& claim_token,
                               const std::function<void(OwnerReply, ClaimRecord)>& reply) {
  if (m_dead || owner != m_self) return reply(OwnerReply::kUnknown, {});
  const OwnedCallResult result = m_owned.LookUp(claim_token);
  switch (result.state) {
    case OwnedCallState::kRunning:
      m_waiters[claim_token].push_back(
          [reply](const ClaimRecord& outcome) { reply(OwnerReply::kFinished, outcome); });
      return;
    case OwnedCallState::kFinished:
      return reply(OwnerReply::kFinished, result.outcome);
    case OwnedCallState::kAbandoned:
      FeedBatcher(claim_batcher::ReleaseRequested{++m_last_write, key, 0, claim_token,
                                                  m_world.queue.Now() + std::chrono::minutes(1)});
      return reply(OwnerReply::kReleased, {});
    case OwnedCallState::kUnknown:
      return reply(OwnerReply::kUnknown, {});
  }
}

void SimulatedDaemon::Do(std::uint64_t id, const call::QueryOwner& action) {
  const auto answer = [this, id, action](OwnerReply reply, const ClaimRecord& outcome) {
    const bool known = reply == OwnerReply::kFinished || reply == OwnerReply::kReleased;
    if (!known && m_world.ActiveMutation() == Mutation::kTakeOverUnreachable) {
      const std::optional<FakeTableService::Row> row = m_world.store.Find(kClaims, action.key);
      if (row) m_world.store.Apply({{kClaims, action.key, row->version, std::nullopt}});
      return FeedCall(id, call::OwnerReplied{OwnerReply::kReleased, {}});
    }
    FeedCall(id, call::OwnerReplied{reply, outcome});
  };
  const InstanceId owner = action.existing.owner;
  const std::string token = action.existing.claim_token;
  if (owner.name == m_self.name) return AskOwned(owner, action.key, token, answer);
  VirtualNetwork::ClientEnd end;
  end.failed = end.lost = [answer] { answer(OwnerReply::kUnreachable, {}); };
  end.connected = [this, owner, action, token, answer](VirtualNetwork::ConnectionId link) {
    m_world.network.Send(link, true, [this, owner, action, token, answer, link] {
      m_world.daemons.at(owner.name)
          ->AskOwned(owner, action.key, token,
                     [this, answer, link](OwnerReply reply, const ClaimRecord& outcome) {
                       m_world.network.Send(link, false,
                                            [answer, reply, outcome] { answer(reply, outcome); });
                     });
    });
  };
  m_world.network.Connect(m_self.name, owner.name, end);
}

void SimulatedDaemon::Do(std::uint64_t id, const call::ReadClaim& action) {
  m_world.store.Read(m_self.name, kClaims, action.key,
                     [this, id](const std::optional<FakeTableService::Row>& row) {
                       call::ClaimRead read{true, std::nullopt};
                       if (row) read.record = ParseClaimRecord(row->value).Value();
                       FeedCall(id, read);
                     });
  Post(kReadTimeout, [this, id] { FeedCall(id, call::ClaimRead{}); });
}

void SimulatedDaemon::Do(std::uint64_t id, const call::SetTimer& action) {
  m_world.network.Post(m_self.name, action.at,
                       [this, id, timer = action.id] { FeedCall(id, call::TimerFired{timer}); });
}

void SimulatedDaemon::Do(const claim_batcher::WriteTransaction& action) {
  std::vector<FakeTableService::Operation> operations;
  for (const claim_batcher::RowOperation& row : action.operations) {
    operations.push_back({kClaims, row.key, row.expect, row.value});
  }
  m_world.store.Submit(
      m_self.name, operations,
      [this, transaction = action.transaction](const FakeTableService::Result& result) {
        if (result.conflicts.empty()) {
          return FeedBatcher(claim_batcher::Committed{transaction, result.version});
        }
        claim_batcher::Conflicted conflicted{transaction, {}};
        for (const FakeTableService::Conflict& conflict : result.conflicts) {
          claim_batcher::ConflictRow row{conflict.key, 0, std::nullopt};
          if (conflict.row) row.version = conflict.row->version;
          if (conflict.row) row.value = conflict.row->value;
          conflicted.rows.push_back(row);
        }
        FeedBatcher(conflicted);
      });
}

void SimulatedDaemon::Do(const claim_batcher::Resolved& action) {
  const auto outcome = m_outcomes.find(action.id);
  if (outcome != m_outcomes.end()) {
    if (action.result == ClaimResult::kWritten) {
      m_owned.MarkRecorded(outcome->second, m_world.queue.Now());
    }
    return;
  }
  const auto claim = m_claims.find(action.id);
  if (claim == m_claims.end()) return;
  const std::uint64_t id = claim->second;
  const Mutation mutation = m_world.ActiveMutation();
  const bool open = action.existing.state == ClaimState::kClaimed;
  const bool take = mutation == Mutation::kTakeForeignClaim ||
                    (mutation == Mutation::kExpireClaimEarly &&
                     m_world.WallTime() - action.existing.created > 1000);
  switch (action.result) {
    case ClaimResult::kWritten:
      return FeedCall(id, call::ClaimWritten{action.version});
    case ClaimResult::kExists:
      if (open && take) return FeedCall(id, call::ClaimWritten{action.version});
      return FeedCall(id, call::ClaimExists{action.existing});
    case ClaimResult::kUnavailable:
    case ClaimResult::kLost:
      return FeedCall(id, call::ClaimUnavailable{});
  }
}

void SimulatedDaemon::Do(const claim_batcher::SetTimer& action) {
  m_world.network.Post(m_self.name, action.at, [this, timer = action.id] {
    FeedBatcher(claim_batcher::TimerFired{timer});
  });
}

}  // namespace fulmarpoint
