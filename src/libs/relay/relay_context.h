#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

#include "coordination/configuration_freshness.h"
#include "coordination/connection_share.h"
#include "coordination/endpoint_directory.h"
#include "coordination/endpoint_reachability.h"
#include "coordination/fleet_retry_quota.h"
#include "coordination/peer_directory.h"
#include "coordination/prefill_rate_estimator.h"
#include "coordination/relay_table.h"
#include "coordination/stream_registry.h"
#include "coordination/version_choice.h"
#include "relay/relay_settings.h"
#include "relay/relay_wire.h"
#include "relay/stream_queue.h"
#include "transport/task.h"
#include "utils/byte_budget.h"
#include "utils/metrics.h"
#include "utils/random.h"

namespace fulmarpoint {

class DutyCounters;
class PoisonRequestDetector;
class RelayRollouts;
class SingletonDuties;

/// State shared by the components of one relay daemon. All of them run on the daemon's only thread,
/// so it needs no locks.
struct RelayContext {
  RelayContext(RelaySettings own_settings, RelayWire own_wire, Store own_store,
               Executor own_executor, std::uint64_t seed);

  /// Replaces the settings, also where a component keeps a copy of one.
  void SetSettings(RelaySettings changed);
  /// Returns whether requests may be accepted: at least one endpoint and a usable configuration are
  /// known.
  bool IsServing() const;
  /// Returns whether callers should use another daemon, because this one cannot reach the endpoints
  /// and there is another one that may.
  bool ShouldRedirect() const;
  /// Records whether a new connection to an endpoint was accepted.
  void OnConnectionEnded(const EndpointRecord& endpoint, const std::error_code& error);
  /// Returns the endpoints of `service` that may now receive a request with this choice of
  /// versions. The pointers are valid until the next change of `endpoints`.
  std::vector<const DirectoryEndpoint*> UsableFor(const ServiceName& service,
                                                  const VersionChoice& choice) const;
  /// Reports a failure of an endpoint to the directory and the peers.
  void OnEndpointFailure(const EndpointId& id);
  /// Returns the estimator of the prefill rate of a service's engines.
  PrefillRateEstimator& PrefillRate(const ServiceName& service) { return m_prefill_rates[service]; }
  /// Returns the expected time in which a service's engines process a prompt; zero if unknown.
  Duration ExpectedPrefillTime(const ServiceName& service, std::int64_t prompt_tokens) const;
  /// Returns whether streams to a service wait for engines in order of urgency: the settings allow
  /// it, and its streams have different priorities or its engines report that they are uneven.
  bool HasContentionControl(const RelayTable& configuration, const ServiceName& service) const;
  /// Returns the queue of the streams to a service that wait for an engine. The service must have
  /// contention control. The reference stays valid.
  StreamQueue& StreamQueueFor(const ServiceName& service) { return m_stream_queues[service]; }
  StreamAdmission& StreamAdmissionFor(const ServiceName& service) {
    return StreamQueueFor(service).admission;
  }
  /// Returns the number of streams to a service that wait for an engine.
  std::size_t StreamsWaiting(const ServiceName& service) const;
  /// Counts the first attempt of a request to a service.
  void OnFirstAttempt(const ServiceName& service);
  /// Takes one retry from the service's quota. If this daemon's quota is used up, it first tries to
  /// borrow from its neighbours. Returns whether the retry is allowed.
  Task<bool> TryTakeRetry(ServiceName service);
  /// Returns this daemon's quota of retries for a service's requests.
  FleetRetryQuota& RetryQuota(const ServiceName& service);
  /// Returns this daemon's share of the connections allowed to one endpoint of a service.
  ConnectionShare ConnectionShareOf(const RelayTable& configuration,
                                    const ServiceName& service) const;

  RelaySettings settings;
  RelayWire wire;
  Store store;
  Executor executor;
  Random random;
  Metrics metrics;
  /// Start of this process in microseconds since the Unix epoch. Distinguishes restarts under the
  /// same name.
  std::uint64_t incarnation = 0;
  /// The parsed configuration; null until the first one has been read.
  std::shared_ptr<const RelayTable> table;
  /// When `table` was last confirmed to be current, on the clock `BootNow()`.
  ConfigurationFreshness freshness;
  EndpointDirectory endpoints;
  EndpointReachability reachability;
  PeerDirectory peers;
  StreamRegistry streams;
  /// Set by the daemon once these exist.
  PoisonRequestDetector* poison_requests = nullptr;
  RelayRollouts* rollouts = nullptr;
  SingletonDuties* duties = nullptr;
  /// Null if the settings name no duties.
  DutyCounters* duty_counters = nullptr;
  /// The process is about to stop, so callers are directed to other daemons.
  bool leaving = false;
  /// Set in the last phase of a planned stop, to the time at which requests in progress are cut:
  /// new requests with a later deadline are rejected.
  std::optional<TimePoint> cut_at;
  /// Limits the memory for replies that are being received.
  ByteBudget reply_memory;
  /// Requests in progress.
  std::size_t requests = 0;
  /// Called when a stream of this daemon was placed or ended, or an endpoint has failed.
  std::function<void()> on_heartbeat_payload_changed;
  /// Called when `reachability` was told of a connection and may want probes.
  std::function<void()> on_reachability_evidence;
  /// Called when `requests` has changed.
  std::function<void()> on_requests_changed;
  /// Called when an engine reads or has read a stream's prompt.
  std::function<void(std::uint64_t prompt, const EndpointId& endpoint)> on_prompt_location;
  /// Looks up which engine holds a prompt and records it in `streams`; completes also if that
  /// cannot be found out.
  std::function<Task<void>(std::uint64_t prompt)> look_up_prompt;
  /// Borrows retries of a service's requests from neighbours. Returns whether any were granted.
  std::function<Task<bool>(ServiceName service)> borrow_retry_quota;

 private:
  std::vector<const DirectoryEndpoint*> UsableForVersion(const ServiceName& service,
                                                         const VersionChoice& choice) const;

  std::map<ServiceName, FleetRetryQuota> m_retry_quotas;
  std::map<ServiceName, PrefillRateEstimator> m_prefill_rates;
  std::map<ServiceName, StreamQueue> m_stream_queues;
};

}  // namespace fulmarpoint
