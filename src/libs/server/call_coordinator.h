#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/call.h"
#include "coordination/claim_batcher.h"
#include "coordination/key_issuer.h"
#include "coordination/owned_calls.h"
#include "protocol/result_code.h"
#include "transport/task.h"

namespace fulmarpoint {

class TableClient;

/// Question to the owner of a claim.
struct ClaimQuestion {
  InstanceId owner;
  std::string key;
  std::string claim_token;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(owner, key, claim_token);
  }
};

struct ClaimReply {
  OwnerReply reply = OwnerReply::kUnreachable;
  ClaimRecord outcome;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(reply, outcome);
  }
};

/// A call with a daemon-issued key for the daemon that issued it.
struct ForwardedCall {
  InstanceId owner;
  OrganisationId organisation;
  ServiceName service;
  std::string method;
  std::string target;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::string idempotency_key;
  std::uint64_t request_hash = 0;
  /// Time that the caller still waits.
  std::uint32_t wait_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(owner, organisation, service, method, target, headers, body, idempotency_key,
            request_hash, wait_ms);
  }
};

/// `code` is `kOk` if `answer` is the answer of the endpoint.
struct CallReply {
  ResultCode code = ResultCode::kOwnerUnreachable;
  CallResponse answer;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(code, answer);
  }
};

/// How other daemons are asked. The peer service sets both; without them every other owner counts
/// as unreachable.
struct CallPeers {
  std::function<Task<ClaimReply>(ClaimQuestion question, Duration timeout)> ask;
  std::function<Task<CallReply>(ForwardedCall call, Duration timeout)> forward;
};

/// State of the calls of this daemon: claims, outcomes and daemon-issued keys. Callbacks are called
/// on any thread without a lock held. Thread-safe.
class CallCoordinator {
 public:
  using ClaimCallback = std::function<void(const claim_batcher::Resolved&)>;
  /// A record in state `kClaimed` tells that the call was not sent and never will be.
  using OutcomeCallback = std::function<void(const ClaimRecord&)>;
  using OwnerCallback = std::function<void(OwnerReply, const ClaimRecord&)>;

  CallCoordinator(TableClient& tables, const Executor& executor, InstanceId self);
  CallCoordinator(const CallCoordinator&) = delete;
  CallCoordinator& operator=(const CallCoordinator&) = delete;

  /// Starts the expiry of outcomes.
  void Start();
  void Stop();
  /// Set before the first call.
  void SetPeers(CallPeers peers) { m_peers = std::move(peers); }
  const CallPeers& Peers() const { return m_peers; }

  void Claim(const call::Claim& action, ClaimCallback callback);
  void Release(const call::ReleaseClaim& action);
  void Record(const call::RecordOutcome& action);
  /// Makes the outcome of a claimed call known to those who wait.
  void Publish(const ClaimRecord& outcome);
  /// Answers a question about a claim of this process; later if its call is running.
  void LookUp(const ClaimQuestion& question, const OwnerCallback& callback);

  std::string IssueKeyPrefix();
  Duration KeyValidity() const;
  /// If the call is running, `callback` is called with its outcome.
  IssuedKeyResult BeginIssued(const std::string& scope, const std::string& key,
                              std::uint64_t request_hash, OutcomeCallback callback);
  bool IsUnusedIssued(const std::string& scope, const std::string& key) const;
  void FinishIssued(const std::string& scope, const std::string& key, const ClaimRecord& outcome);
  void AbandonIssued(const std::string& scope, const std::string& key);

  /// Writes that have not been resolved.
  std::size_t PendingWrites() const;

 private:
  void Feed(const ClaimBatcher::Event& event);
  void Do(const claim_batcher::WriteTransaction& action);
  void Do(const claim_batcher::Resolved& action);
  void Do(const claim_batcher::SetTimer& action);
  Task<void> Write(claim_batcher::WriteTransaction action);
  Task<void> Wait(claim_batcher::SetTimer action);
  Task<void> RunExpiry();
  void Wake(const std::string& name, const ClaimRecord& outcome);

  TableClient& m_tables;
  const Executor m_executor;
  const InstanceId m_self;
  CallPeers m_peers;
  mutable std::mutex m_mutex;
  bool m_stopped = false;
  ClaimBatcher m_batcher;
  OwnedCalls m_owned;
  KeyIssuer m_issuer;
  std::uint64_t m_last_write = 0;
  std::map<std::uint64_t, ClaimCallback> m_claims;
  /// Claim tokens of outcomes that are being written.
  std::map<std::uint64_t, std::string> m_outcomes;
  /// By claim token, or by scope and daemon-issued key.
  std::map<std::string, std::vector<OutcomeCallback>> m_waiters;
};

}  // namespace fulmarpoint
