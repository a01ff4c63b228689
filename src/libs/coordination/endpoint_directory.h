#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/endpoint_ramp.h"
#include "coordination/endpoint_reachability.h"
#include "coordination/engine_pace.h"
#include "coordination/rejection_budget.h"
#include "coordination/version_choice.h"
#include "protocol/endpoint_record.h"
#include "protocol/pace_report.h"
#include "protocol/relay_messages.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Resources that one request occupies at an endpoint.
struct EndpointUse {
  EndpointId endpoint;
  /// Prompt tokens that the endpoint has yet to prefill for this request.
  std::int64_t pending_prefill_tokens = 0;
  /// Tokens in the endpoint's KV cache that the request, or a backup of its KV cache, will occupy.
  std::int64_t kv_cache_tokens = 0;
  /// False for a KV cache backup, which needs no slot.
  bool takes_slot = true;

  bool operator==(const EndpointUse&) const = default;
};

/// Resources occupied at an endpoint by a number of requests.
struct EndpointUsage {
  std::int64_t pending_prefill_tokens = 0;
  std::int64_t kv_cache_tokens = 0;
  int requests = 0;

  void Add(const EndpointUse& use);
  void Remove(const EndpointUse& use);
};

/// What the neighbours have been told of an endpoint's pace.
struct PaceSharing {
  /// This daemon has received a report from the endpoint that the neighbours do not know.
  bool is_due = false;
  /// What was last sent, and when; 0 if nothing was.
  std::uint16_t percent = 0;
  TimePoint sent_at{};
};

/// State of an endpoint as known to this daemon.
struct DirectoryEndpoint {
  EndpointRecord record;
  /// Resources used by requests of this daemon, and by those of its peers according to their latest
  /// reports.
  EndpointUsage own;
  EndpointUsage peers;
  /// Load reported with the latest response, at `load_seen`.
  EndpointLoad load;
  TimePoint load_seen{};
  /// From the reports to this daemon and its neighbours.
  EnginePace pace;
  PaceSharing pace_sharing;
  /// Prefill time relative to that of the other endpoints of the service, as recently measured by
  /// this daemon, last at `slowness_seen`.
  double slowness = 1.0;
  TimePoint slowness_seen{};
  /// Consecutive failures. The endpoint gets no request until `cool_down_until`.
  int failures = 0;
  /// Latest failure observed by this daemon itself, and by this daemon or a peer.
  std::optional<TimePoint> own_failure;
  std::optional<TimePoint> latest_failure;
  TimePoint cool_down_until{};
  /// Requests recently failed here or at endpoints near it, so other endpoints are preferred until
  /// then.
  TimePoint suspected_until{};
  /// Set once the store no longer has the endpoint's row: the endpoint counts as gone from this
  /// time on.
  std::optional<TimePoint> gone_at;
  /// Another process answered at the address.
  bool is_refuted = false;
  /// A process that started later has the address.
  bool is_displaced = false;
  /// The process has stated in a reply that it is shutting down.
  bool is_leaving = false;
  /// The process has stated that it wants no request from this daemon before.
  TimePoint wanted_from{};
  /// The row came back with a copy of the store although the process had ended; it may be used if
  /// the row is still there then.
  TimePoint doubted_until{};

  RejectionBudget rejections;

  /// Limits this daemon's requests after a start or a recovery; applied to services whose engines
  /// report their pace.
  EndpointRamp ramp;

  /// Returns whether the process has ended as far as is known.
  bool HasEnded(TimePoint now) const { return is_displaced || (gone_at && *gone_at <= now); }
  bool IsDraining() const { return record.draining || is_leaving; }
  /// Returns when the endpoint may receive requests if nothing else prevents it.
  TimePoint NextRequestAt() const {
    return std::max({cool_down_until, wanted_from, doubted_until});
  }
  std::int64_t PendingPrefillTokens() const {
    return own.pending_prefill_tokens + peers.pending_prefill_tokens;
  }
  std::int64_t KvCacheTokens() const { return own.kv_cache_tokens + peers.kv_cache_tokens; }
  int Requests() const { return own.requests + peers.requests; }
  /// Returns the estimated number of requests of all daemons: the higher of `Requests()` and the
  /// reported number, of which less counts the older the report is.
  double EstimatedRequests(TimePoint now) const;
  /// Returns `slowness`, or 1 if it was not measured recently.
  double RecentSlowness(TimePoint now) const;
};

/// The endpoints listed in the store, with their health and the resources in use. An endpoint that
/// fails gets no requests during a cool-down that grows with each failure; one that is draining or
/// gone gets none at all. Not thread-safe.
class EndpointDirectory {
 public:
  struct Options {
    Duration first_cool_down = std::chrono::milliseconds(400);
    Duration max_cool_down = std::chrono::seconds(4);
    /// Cool-down of an endpoint at whose address another endpoint answered. Ends early if the
    /// endpoint's row changes.
    Duration misdirected_cool_down = std::chrono::seconds(10);
    /// For this long after a failure, the endpoint is used only if there is no other.
    Duration suspicion_time = std::chrono::milliseconds(1500);
    /// If this many endpoints of a service in one failure domain fail within
    /// `domain_failure_window`, all others of the service there are suspected too.
    std::size_t domain_failures = 2;
    Duration domain_failure_window = std::chrono::milliseconds(800);
    /// The platform removes the row of an ended process within this time after it was restored.
    Duration restored_row_doubt = std::chrono::seconds(5);
  };

  EndpointDirectory() = default;
  explicit EndpointDirectory(Options options) : m_options(options) {}
  EndpointDirectory(const EndpointDirectory&) = delete;
  EndpointDirectory& operator=(const EndpointDirectory&) = delete;

  /// Names the services that exist; until the first call all do. An endpoint of another service has
  /// no claim to its address.
  void SetServices(std::set<ServiceName> services, TimePoint now);
  /// The store lists a new or changed endpoint. If two endpoints have the same address, the process
  /// that started earlier has exited; its row remains for some heartbeats after that.
  void Put(const EndpointRecord& record, TimePoint now);
  /// The store, restored from a copy, lists the endpoint. The row may be older than what is known
  /// of the process: one that was draining still is, and one that had ended is doubted.
  void PutRestored(EndpointRecord record, TimePoint now);
  /// The store no longer lists the endpoint; it counts as gone from `at` on. Endpoints that it
  /// displaced are used again at the next `Forget` after that.
  void Remove(const EndpointId& id, TimePoint at);

  /// Connecting failed, the connection broke, or the endpoint stalled during a request.
  void OnFailure(const EndpointId& id, TimePoint now);
  /// This daemon can reach endpoints again that it could not reach since `since`: the failures that
  /// it has observed meanwhile say nothing about the endpoints.
  void OnPathRestored(TimePoint since, TimePoint now);
  /// A peer reported a failure. The cause may be at the peer, so the endpoint is only suspected.
  void OnPeerFailure(const EndpointId& id, TimePoint now);
  /// Returns the endpoints that are expected to accept connections.
  std::vector<ReachabilityCandidate> ProbeCandidates(TimePoint now) const;
  /// Returns the endpoints for which this daemon observed a failure at or after `since`.
  std::vector<EndpointId> FailedSince(TimePoint since) const;
  /// Another endpoint answered at the endpoint's address. If the endpoint displaced others there,
  /// its row is wrong, and they have the address again.
  void OnMisdirected(const EndpointId& id, TimePoint now);
  /// The endpoint rejected a request without executing it because it is full or leaving.
  void OnRejected(const EndpointId& id, TimePoint now);
  /// The process of `record` stated in a reply how many rejections a second it bears, or nothing.
  /// `daemons` is the number of daemons that use the endpoint.
  void OnRejectionLimit(const EndpointRecord& record, std::optional<int> limit, std::size_t daemons,
                        TimePoint now);
  /// The process of `record` stated in a reply that it wants no request from this daemon until
  /// `until`.
  void OnRetryAfter(const EndpointRecord& record, TimePoint until, TimePoint now);
  void OnSuccess(const EndpointId& id);
  /// The process of `record` stated in a reply that it is shutting down. It gets no request from
  /// now on, whatever its row says.
  void OnLeaving(const EndpointRecord& record, TimePoint now);
  /// The first event of a stream took `ratio` times as long as expected from the service's
  /// endpoints.
  void OnFirstEvent(const EndpointId& id, double ratio, TimePoint now);
  /// The process of `record` stated its load in a reply that arrived at `at`. The same reply may be
  /// passed more than once and counts once. Ignored if the endpoint is now another process.
  void OnLoad(const EndpointRecord& record, const EndpointLoad& load, TimePoint at);
  /// A neighbour has learned the pace of an endpoint. Ignored if the process is unknown.
  void OnPeerPace(const EndpointPace& pace, TimePoint now);
  /// Returns at most `kMaxPaceEntries` paces that this daemon has learned and the neighbours do not
  /// know, and marks them as known to them.
  std::vector<EndpointPace> TakeNewPaces(TimePoint now);
  /// This daemon sent the endpoint a request. Needed for `DirectoryEndpoint::ramp` only, as are the
  /// next two.
  void OnRequestSent(const EndpointId& id, TimePoint now);
  /// A call took `ratio` times as long as usual for the service.
  void OnCallLatency(const EndpointId& id, double ratio, TimePoint now);
  /// The endpoint replied with a server error.
  void OnErrorReply(const EndpointId& id, TimePoint now);

  void AddUse(const EndpointUse& use);
  void RemoveUse(const EndpointUse& use);
  /// Replaces all resources that a peer uses.
  void SetPeerUses(const std::string& peer, std::vector<EndpointUse> uses);

  /// Returns the endpoints of `service` that may receive a request now. The pointers are valid
  /// until the next call of a non-const function.
  std::vector<const DirectoryEndpoint*> Usable(const ServiceName& service, TimePoint now) const;
  /// Returns the endpoints of `service` that the store lists and that are not leaving, whether or
  /// not they may receive a request now. The pointers are valid as above.
  std::vector<const DirectoryEndpoint*> Staying(const ServiceName& service, TimePoint now) const;
  /// Returns whether all endpoints of `service` that stay have stated that they want no request
  /// before `until`; false if there is none.
  bool IsUnwanted(const ServiceName& service, TimePoint until, TimePoint now) const;
  /// Returns whether an endpoint of `service` that the directory holds has reported its pace.
  bool ReportsPace(const ServiceName& service) const;
  /// Returns when the first of the endpoints of `service` that get no requests now may receive them
  /// again; nothing if there is none.
  std::optional<TimePoint> NextCoolDownEnd(const ServiceName& service, TimePoint now) const;
  /// Returns whether the store lists an endpoint of `service` that `choice` admits, whether or not
  /// it is usable now.
  bool HasVersion(const ServiceName& service, const VersionChoice& choice) const;
  /// Returns null if the endpoint is unknown.
  const DirectoryEndpoint* Find(const EndpointId& id) const;
  bool IsUsable(const EndpointId& id, TimePoint now) const;
  /// Returns whether the endpoint is shutting down according to its row or a reply, or unknown.
  bool IsDraining(const EndpointId& id) const;
  /// Returns whether the process of `record` is still running as far as is known, is not draining,
  /// and has had no failure since `since`, so that what it stores is still there.
  bool IsIntact(const EndpointRecord& record, TimePoint since) const;
  /// Returns whether requests recently failed at the endpoint or near it, or the endpoint is
  /// unknown.
  bool IsSuspected(const EndpointId& id, TimePoint now) const;
  /// Removes endpoints that are gone and have no requests, and gives their addresses back.
  void Forget(TimePoint now);
  std::size_t Size() const { return m_endpoints.size(); }

 private:
  /// What a process has stated about itself in replies.
  struct ProcessStatement {
    std::int64_t incarnation = 0;
    bool is_leaving = false;
    TimePoint wanted_from{};
    TimePoint stated_at{};
  };
  /// The last process of an identifier as the store's rows have shown it.
  struct ListedProcess {
    std::int64_t incarnation = 0;
    bool is_draining = false;
    std::optional<TimePoint> gone_at;
  };

  using Index = std::map<std::string, std::map<EndpointId, DirectoryEndpoint*>>;

  ProcessStatement* StatementOf(const EndpointRecord& record, TimePoint now);
  void ApplyStatement(DirectoryEndpoint& endpoint) const;
  void StartCoolDown(const EndpointId& id, TimePoint until);
  void AddToIndexes(DirectoryEndpoint& endpoint);
  void RemoveFromIndexes(const EndpointRecord& record);
  void Suspect(DirectoryEndpoint& endpoint, TimePoint now);
  bool ClaimsAddress(const DirectoryEndpoint& endpoint, TimePoint now) const;
  void ResolveSharedAddress(const std::string& address, TimePoint now);

  Options m_options;
  std::optional<std::set<ServiceName>> m_services;
  /// Also kept for endpoints that are no longer listed, because their rows may come back.
  std::map<EndpointId, ProcessStatement> m_statements;
  /// Also kept for endpoints that are no longer listed, because a restored store may list them.
  std::map<EndpointId, ListedProcess> m_listed;
  std::map<EndpointId, DirectoryEndpoint> m_endpoints;
  Index m_by_service;
  /// When an endpoint of a service last stated that it is brittle.
  std::map<ServiceName, TimePoint> m_brittle_services;
  Index m_by_address;
  /// By the identification of the process in a `PaceReport`.
  std::map<std::uint64_t, DirectoryEndpoint*> m_by_process;
  std::map<std::string, std::vector<EndpointUse>> m_peer_uses;
};

}  // namespace fulmarpoint
