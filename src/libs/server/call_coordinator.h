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

/// Query to the daemon that owns a claim.
struct ClaimQuery {
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

/// A call with a daemon-issued idempotency key, forwarded to the daemon that issued the key.
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
  /// Time left until the caller's deadline.
  std::uint32_t wait_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(owner, organisation, service, method, target, headers, body, idempotency_key,
            request_hash, wait_ms);
  }
};

/// Reply to a call. `answer` is the endpoint's answer if `code` is `kOk`.
struct CallReply {
  ResultCode code = ResultCode::kOwnerUnreachable;
  CallResponse answer;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(code, answer);
  }
};

/// Functions that send requests to other daemons, set by `ConnectCallPeers`. Without them every
/// other owner counts as unreachable.
struct CallPeers {
  std::function<Task<ClaimReply>(ClaimQuery query, Duration timeout)> query_claim;
  std::function<Task<CallReply>(ForwardedCall call, Duration timeout)> forward;
};

/// Manages the calls of this daemon: claims, outcomes and daemon-issued keys. Callbacks run on any
/// thread without a lock held. Thread-safe.
class CallCoordinator {
 public:
  using ClaimCallback = std::function<void(const claim_batcher::Resolved&)>;
  /// A record in state `kClaimed` means that the call was not sent and never will be.
  using OutcomeCallback = std::function<void(const ClaimRecord&)>;
  using OwnerCallback = std::function<void(OwnerReply, const ClaimRecord&)>;

  CallCoordinator(TableClient& tables, const Executor& executor, InstanceId self);
  CallCoordinator(const CallCoordinator&) = delete;
  CallCoordinator& operator=(const CallCoordinator&) = delete;

  /// Starts the periodic expiry of outcomes and daemon-issued keys.
  void Start();
  void Stop();
  /// Set before the first call.
  void SetPeers(CallPeers peers) { m_peers = std::move(peers); }
  const CallPeers& Peers() const { return m_peers; }

  void Claim(const call::Claim& action, ClaimCallback callback);
  void Release(const call::ReleaseClaim& action);
  void Record(const call::RecordOutcome& action);
  /// Passes the outcome of a claimed call to the callbacks that wait for it.
  void Publish(const ClaimRecord& outcome);
  /// Answers a query about a claim of this process. While the call is running, the answer waits for
  /// its end.
  void QueryClaim(const ClaimQuery& query, const OwnerCallback& callback);

  std::string IssueKeyPrefix();
  Duration KeyValidity() const;
  /// If the call is running, `callback` is called with its outcome.
  IssuedKeyResult BeginIssued(const std::string& scope, const std::string& key,
                              std::uint64_t request_hash, OutcomeCallback callback);
  bool IsUnusedIssued(const std::string& scope, const std::string& key) const;
  void FinishIssued(const std::string& scope, const std::string& key, const ClaimRecord& outcome);
  void AbandonIssued(const std::string& scope, const std::string& key);

  /// Returns the number of writes in progress.
  std::size_t PendingWrites() const;

 private:
  void HandleEvent(const ClaimBatcher::Event& event);
  void Execute(const claim_batcher::WriteTransaction& action);
  void Execute(const claim_batcher::Resolved& action);
  void Execute(const claim_batcher::SetTimer& action);
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
  /// Keyed by claim token, or by scope and daemon-issued key.
  std::map<std::string, std::vector<OutcomeCallback>> m_waiters;
};

}  // namespace fulmarpoint
