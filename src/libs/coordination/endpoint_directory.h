#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/version_choice.h"
#include "protocol/endpoint_record.h"
#include "protocol/relay_messages.h"
#include "utils/time.h"

namespace fulmarpoint {

/// What one request occupies at an endpoint.
struct EndpointUse {
  EndpointId endpoint;
  /// Prompt tokens that the endpoint has yet to read for this request.
  std::int64_t pending_prefill_tokens = 0;
  /// Tokens of the endpoint's memory that the request will fill, or that a copy of its run fills.
  std::int64_t kv_cache_tokens = 0;
  /// False for a copy, which needs no slot.
  bool takes_slot = true;

  bool operator==(const EndpointUse&) const = default;
};

/// Sum of the uses of an endpoint.
struct EndpointUsage {
  std::int64_t pending_prefill_tokens = 0;
  std::int64_t kv_cache_tokens = 0;
  int requests = 0;

  void Add(const EndpointUse& use);
  void Remove(const EndpointUse& use);
};

/// An endpoint as this daemon sees it.
struct DirectoryEndpoint {
  EndpointRecord record;
  /// Requests of this daemon, and of its peers as they last reported them.
  EndpointUsage own;
  EndpointUsage peers;
  /// Load that came with the latest answer.
  EndpointLoad load;
  /// How much longer than its peers the endpoint lately took to read a prompt, as seen here at
  /// `slowness_seen`.
  double slowness = 1.0;
  TimePoint slowness_seen{};
  /// Failures in a row; the endpoint gets no request until `blocked_until`.
  int failures = 0;
  /// The latest failure that this daemon saw itself, and the latest that it knows of.
  std::optional<TimePoint> own_failure;
  std::optional<TimePoint> latest_failure;
  TimePoint blocked_until{};
  /// Requests have lately failed here or near by, so that other endpoints are preferred until then.
  TimePoint suspected_until{};
  /// Set once the store no longer has the row: the endpoint is gone from then on.
  std::optional<TimePoint> gone_at;

  std::int64_t PendingPrefillTokens() const {
    return own.pending_prefill_tokens + peers.pending_prefill_tokens;
  }
  std::int64_t KvCacheTokens() const { return own.kv_cache_tokens + peers.kv_cache_tokens; }
  int Requests() const { return own.requests + peers.requests; }
  /// Returns `slowness`, or 1 if nothing was seen lately.
  double RecentSlowness(TimePoint now) const;
};

/// Endpoints that the store lists, what is known of their health, and what they are used for. An
/// endpoint that fails is left out for a growing time; one that is draining or gone gets nothing.
/// Not thread-safe.
class EndpointDirectory {
 public:
  struct Options {
    Duration first_block = std::chrono::milliseconds(400);
    Duration longest_block = std::chrono::seconds(4);
    /// An address that answered for another endpoint is left out this long, or until the row
    /// changes.
    Duration misdirected_block = std::chrono::seconds(10);
    /// After a failure the endpoint is used only if there is no other for this long.
    Duration suspicion = std::chrono::milliseconds(1500);
    /// Failures of this many endpoints of a service in one failure domain within the time make all
    /// others there suspected.
    std::size_t domain_failures = 2;
    Duration domain_failure_time = std::chrono::milliseconds(800);
  };

  EndpointDirectory() = default;
  explicit EndpointDirectory(Options options) : m_options(options) {}
  EndpointDirectory(const EndpointDirectory&) = delete;
  EndpointDirectory& operator=(const EndpointDirectory&) = delete;

  /// The store lists an endpoint, anew or changed. Of two endpoints with the same address the
  /// earlier process is gone: its row outlives it by some heartbeats.
  void Put(const EndpointRecord& record, TimePoint now);
  /// The store no longer lists an endpoint; it is gone from `at` on.
  void Remove(const EndpointId& id, TimePoint at);

  /// Connecting failed, the connection broke, or the endpoint fell silent during a request.
  void OnFailure(const EndpointId& id, TimePoint now);
  /// A peer saw a failure. It may be the peer's own, so the endpoint is only suspected.
  void OnPeerFailure(const EndpointId& id, TimePoint now);
  /// Endpoints that failed here since `since`.
  std::vector<EndpointId> FailedSince(TimePoint since) const;
  /// Another endpoint answered at the address.
  void OnMisdirected(const EndpointId& id, TimePoint now);
  /// The endpoint refused a request without running it: it is full or leaving.
  void OnRejected(const EndpointId& id, TimePoint now);
  void OnSuccess(const EndpointId& id);
  /// A first event took `ratio` times as long as expected of the service's endpoints.
  void OnFirstEvent(const EndpointId& id, double ratio, TimePoint now);
  void OnLoad(const EndpointId& id, const EndpointLoad& load);

  void AddUse(const EndpointUse& use);
  void RemoveUse(const EndpointUse& use);
  /// Replaces all that a peer uses.
  void SetPeerUses(const std::string& peer, std::vector<EndpointUse> uses);

  /// Returns the endpoints of `service` that may receive a request now. The pointers are valid
  /// until the next call of a function that is not const.
  std::vector<const DirectoryEndpoint*> Usable(const ServiceName& service, TimePoint now) const;
  /// Returns whether the store lists an endpoint of `service` that the choice admits, usable now or
  /// not.
  bool HasVersion(const ServiceName& service, const VersionChoice& choice) const;
  /// Returns null if the endpoint is unknown.
  const DirectoryEndpoint* Find(const EndpointId& id) const;
  bool IsUsable(const EndpointId& id, TimePoint now) const;
  /// Returns whether the process of `record` still runs as far as is known, does not leave, and
  /// nothing has failed there since `since`.
  bool IsIntact(const EndpointRecord& record, TimePoint since) const;
  /// Returns whether requests have lately failed at the endpoint or near it.
  bool IsSuspected(const EndpointId& id, TimePoint now) const;
  /// Forgets endpoints that are gone and unused.
  void Forget(TimePoint now);
  std::size_t Size() const { return m_endpoints.size(); }

 private:
  using Index = std::map<std::string, std::map<EndpointId, DirectoryEndpoint*>>;

  void Block(const EndpointId& id, TimePoint until);
  void AddToIndexes(DirectoryEndpoint& endpoint);
  void RemoveFromIndexes(const EndpointRecord& record);
  void Suspect(DirectoryEndpoint& endpoint, TimePoint now);
  void ResolveSharedAddress(DirectoryEndpoint& endpoint, TimePoint now);

  Options m_options;
  std::map<EndpointId, DirectoryEndpoint> m_endpoints;
  Index m_by_service;
  Index m_by_address;
  std::map<std::string, std::vector<EndpointUse>> m_peer_uses;
};

}  // namespace fulmarpoint
