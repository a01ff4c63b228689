#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/call.h"
#include "coordination/claim_batcher.h"
#include "coordination/generation.h"
#include "coordination/key_issuer.h"
#include "coordination/owned_calls.h"
#include "coordination/resume_budget.h"
#include "support/request_world.h"

namespace fulmarpoint {

/// Drives the decision modules of one daemon process under virtual time. Not thread-safe.
class SimulatedDaemon {
 public:
  using Reply = std::function<void(const CallerMessage&)>;

  SimulatedDaemon(RequestWorld& world, InstanceId self);

  /// Accepts a request; returns the number of its session.
  std::uint64_t Accept(const SimulatedRequest& request, Reply reply);
  void CallerGone(std::uint64_t session);
  /// The caller stops reading, or reads on.
  void CallerReads(std::uint64_t session, bool reads);
  /// Lets the generations continue at another daemon.
  void HandOff();
  /// Lets the object ignore everything that still arrives for it.
  void Die() { m_dead = true; }
  bool HasOpenRequests() const;
  std::string IssueKeyPrefix();
  /// Answers a daemon that holds a request whose claim is owned here.
  void AskOwned(const InstanceId& owner, const std::string& key, const std::string& claim_token,
                const std::function<void(OwnerReply, ClaimRecord)>& reply);
  /// Runs a call with a key issued by this daemon for another daemon.
  void RunIssued(const SimulatedRequest& request, Reply reply) { StartIssued(request, reply); }

 private:
  struct Session {
    SimulatedRequest request;
    Reply reply;
    std::unique_ptr<Generation> generation;
    std::unique_ptr<Call> call;
    std::map<std::uint32_t, VirtualNetwork::ConnectionId> connections;
    std::multimap<std::uint32_t, std::uint32_t> attempt_connections;
    bool reads = true;
    std::vector<CallerMessage> buffer;
    bool sent_before_claim = false;
    /// The caller has its last message or is gone.
    bool closed = false;
  };

  void StartGeneration(std::uint64_t id);
  void StartCall(std::uint64_t id, CallProtection protection);
  std::uint64_t StartIssued(const SimulatedRequest& request, const Reply& reply);
  void Forward(const InstanceId& owner, const SimulatedRequest& request, const Reply& reply);

  void FeedGeneration(std::uint64_t id, const Generation::Event& event);
  void FeedCall(std::uint64_t id, const Call::Event& event);
  void FeedBatcher(const ClaimBatcher::Event& event);

  void Do(std::uint64_t id, const generation::SelectEndpoint& action);
  void Do(std::uint64_t id, const generation::OpenAttempt& action);
  void Do(std::uint64_t id, const generation::ReconnectAttempt& action);
  void Do(std::uint64_t id, const generation::CloseConnection& action);
  void Do(std::uint64_t id, const generation::CancelAttempt& action);
  void Do(std::uint64_t, const generation::PauseReading&) {}
  void Do(std::uint64_t, const generation::ResumeReading&) {}
  void Do(std::uint64_t id, const generation::DeliverToken& action);
  void Do(std::uint64_t id, const generation::Finish& action);
  void Do(std::uint64_t id, const generation::Fail& action);
  void Do(std::uint64_t id, const generation::Move& action);
  void Do(std::uint64_t id, const generation::SetTimer& action);
  void Do(std::uint64_t, const generation::Decided&) {}

  void Do(std::uint64_t id, const call::SelectEndpoint& action);
  void Do(std::uint64_t id, const call::Claim& action);
  void Do(std::uint64_t id, const call::ReleaseClaim& action);
  void Do(std::uint64_t id, const call::Send& action);
  void Do(std::uint64_t id, const call::CloseAttempt& action);
  void Do(std::uint64_t id, const call::Answer& action);
  void Do(std::uint64_t id, const call::RejectRequest& action);
  void Do(std::uint64_t id, const call::PublishOutcome& action);
  void Do(std::uint64_t id, const call::RecordOutcome& action);
  void Do(std::uint64_t id, const call::StoreObject& action);
  void Do(std::uint64_t id, const call::ReadObject& action);
  void Do(std::uint64_t id, const call::QueryOwner& action);
  void Do(std::uint64_t id, const call::ReadClaim& action);
  void Do(std::uint64_t id, const call::SetTimer& action);

  void Do(const claim_batcher::WriteTransaction& action);
  void Do(const claim_batcher::Resolved& action);
  void Do(const claim_batcher::SetTimer& action);

  void ConnectEngine(std::uint64_t id, const EndpointId& endpoint, std::uint32_t attempt,
                     std::uint32_t connection,
                     const std::function<void(SimulatedEngine&, SimulatedEngine::Sink)>& ask);
  void OnEngineMessage(std::uint64_t id, std::uint32_t attempt, std::uint32_t connection,
                       const SimulatedEngine::Message& message);
  std::optional<EndpointId> Choose(const std::vector<EndpointId>& candidates);
  void ToCaller(std::uint64_t id, const CallerMessage& message);
  void Post(Duration delay, std::function<void()> callback);
  Session* Find(std::uint64_t id);

  RequestWorld& m_world;
  InstanceId m_self;
  bool m_dead = false;
  std::map<std::uint64_t, Session> m_sessions;
  /// Differs between processes of a daemon, so that late messages find no session.
  std::uint64_t m_last_session;
  ClaimBatcher m_batcher;
  KeyIssuer m_issuer;
  OwnedCalls m_owned;
  ResumeBudget m_budget;
  std::map<EndpointId, TimePoint> m_failed_until;
  /// Batcher ids of claims to sessions.
  std::map<std::uint64_t, std::uint64_t> m_claims;
  std::map<std::uint64_t, std::string> m_outcomes;
  std::uint64_t m_last_write = 0;
  std::map<std::string, std::vector<std::function<void(ClaimRecord)>>> m_waiters;
};

}  // namespace fulmarpoint
