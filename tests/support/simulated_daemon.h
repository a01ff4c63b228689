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
#include "support/request_simulation.h"

namespace fulmarpoint {

/// Runs the decision modules of a daemon process in a simulation. Not thread-safe.
class SimulatedDaemon {
 public:
  using Reply = std::function<void(const CallerMessage&)>;

  SimulatedDaemon(RequestSimulation& simulation, InstanceId self);

  /// Accepts a request and returns the id of its session.
  std::uint64_t Accept(const SimulatedRequest& request, Reply reply);
  void OnCallerDisconnected(std::uint64_t session);
  /// Sets whether the caller reads; while it does not, messages to it are buffered.
  void SetCallerReading(std::uint64_t session, bool reads);
  /// Hands the generations off to other daemons.
  void HandOff();
  /// Marks the process as ended; later events are ignored.
  void MarkEnded() { m_ended = true; }
  bool HasOpenRequests() const;
  std::string IssueKeyPrefix();
  /// Answers another daemon's query for the outcome of a call whose claim this daemon owns. `reply`
  /// is called when the call ends if it is running.
  void QueryOwnedCall(const InstanceId& owner, const std::string& key,
                      const std::string& claim_token,
                      const std::function<void(OwnerReply, ClaimRecord)>& reply);
  /// Runs a call, received by another daemon, whose idempotency key this daemon issued.
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
    /// The last message was sent to the caller, or the caller has disconnected.
    bool closed = false;
  };

  void StartGeneration(std::uint64_t id);
  void StartCall(std::uint64_t id, CallProtection protection);
  std::uint64_t StartIssued(const SimulatedRequest& request, const Reply& reply);
  void Forward(const InstanceId& owner, const SimulatedRequest& request, const Reply& reply);

  void HandleGenerationEvent(std::uint64_t id, const Generation::Event& event);
  void HandleCallEvent(std::uint64_t id, const Call::Event& event);
  void HandleBatcherEvent(const ClaimBatcher::Event& event);

  void Perform(std::uint64_t id, const generation::SelectEndpoint& action);
  void Perform(std::uint64_t id, const generation::OpenAttempt& action);
  void Perform(std::uint64_t id, const generation::ReconnectAttempt& action);
  void Perform(std::uint64_t id, const generation::CloseConnection& action);
  void Perform(std::uint64_t id, const generation::CancelAttempt& action);
  void Perform(std::uint64_t, const generation::PauseReading&) {}
  void Perform(std::uint64_t, const generation::ResumeReading&) {}
  void Perform(std::uint64_t id, const generation::DeliverToken& action);
  void Perform(std::uint64_t id, const generation::Finish& action);
  void Perform(std::uint64_t id, const generation::Fail& action);
  void Perform(std::uint64_t id, const generation::Move& action);
  void Perform(std::uint64_t id, const generation::SetTimer& action);
  void Perform(std::uint64_t, const generation::Decided&) {}

  void Perform(std::uint64_t id, const call::SelectEndpoint& action);
  void Perform(std::uint64_t id, const call::Claim& action);
  void Perform(std::uint64_t id, const call::ReleaseClaim& action);
  void Perform(std::uint64_t id, const call::Send& action);
  void Perform(std::uint64_t id, const call::CloseAttempt& action);
  void Perform(std::uint64_t id, const call::Answer& action);
  void Perform(std::uint64_t id, const call::RejectRequest& action);
  void Perform(std::uint64_t id, const call::PublishOutcome& action);
  void Perform(std::uint64_t id, const call::RecordOutcome& action);
  void Perform(std::uint64_t id, const call::StoreObject& action);
  void Perform(std::uint64_t id, const call::ReadObject& action);
  void Perform(std::uint64_t id, const call::QueryOwner& action);
  void Perform(std::uint64_t id, const call::ReadClaim& action);
  void Perform(std::uint64_t id, const call::SetTimer& action);

  void Perform(const claim_batcher::WriteTransaction& action);
  void Perform(const claim_batcher::Resolved& action);
  void Perform(const claim_batcher::SetTimer& action);

  void ConnectToEngine(
      std::uint64_t id, const EndpointId& endpoint, std::uint32_t attempt, std::uint32_t connection,
      const std::function<void(SimulatedEngine&, SimulatedEngine::Sink)>& send_request);
  void HandleEngineMessage(std::uint64_t id, std::uint32_t attempt, std::uint32_t connection,
                           const SimulatedEngine::Message& message);
  std::optional<EndpointId> ChooseEndpoint(const std::vector<EndpointId>& candidates);
  void SendToCaller(std::uint64_t id, const CallerMessage& message);
  void Post(Duration delay, std::function<void()> callback);
  Session* Find(std::uint64_t id);

  RequestSimulation& m_simulation;
  InstanceId m_self;
  bool m_ended = false;
  std::map<std::uint64_t, Session> m_sessions;
  /// Starts at a different value in each process of a daemon, so that messages for sessions of an
  /// earlier process are ignored.
  std::uint64_t m_last_session;
  ClaimBatcher m_batcher;
  KeyIssuer m_issuer;
  OwnedCalls m_owned;
  ResumeBudget m_budget;
  std::map<EndpointId, TimePoint> m_failed_until;
  /// Session ids by the batcher's id of a claim.
  std::map<std::uint64_t, std::uint64_t> m_session_by_claim;
  /// Claim tokens by the batcher's id of an outcome.
  std::map<std::uint64_t, std::string> m_claim_token_by_outcome;
  std::uint64_t m_last_write = 0;
  /// By idempotency key for issued keys, otherwise by claim token.
  std::map<std::string, std::vector<std::function<void(ClaimRecord)>>> m_waiters;
};

}  // namespace fulmarpoint
