#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "coordination/configuration_freshness.h"
#include "coordination/connection_share.h"
#include "coordination/endpoint_directory.h"
#include "coordination/fleet_retry_quota.h"
#include "coordination/peer_directory.h"
#include "coordination/prefill_rate_estimator.h"
#include "coordination/relay_table.h"
#include "coordination/stream_registry.h"
#include "coordination/version_choice.h"
#include "relay/relay_settings.h"
#include "relay/relay_wire.h"
#include "transport/task.h"
#include "utils/byte_budget.h"
#include "utils/metrics.h"
#include "utils/random.h"

namespace fulmarpoint {

class CrashWatch;
class RelayRollouts;

/// State that the parts of one relaying daemon share. The daemon has one thread, so that none of it
/// is locked.
struct RelayContext {
  RelayContext(RelaySettings own_settings, RelayWire own_wire, Store own_store,
               Executor own_executor, std::uint64_t seed);

  /// Returns whether requests may be accepted: endpoints and a configuration that may be used are
  /// known.
  bool IsServing() const;
  /// Returns the endpoints of `service` that may receive a request with this choice of versions
  /// now. The pointers are valid until the next change of `endpoints`.
  std::vector<const DirectoryEndpoint*> UsableFor(const ServiceName& service,
                                                  const VersionChoice& choice) const;
  /// Reports a failure of an endpoint to the directory and the peers.
  void OnEndpointFailure(const EndpointId& id);
  /// Returns how fast the engines of a service read prompts.
  PrefillRateEstimator& Pace(const ServiceName& service) { return m_paces[service]; }
  /// Counts the first attempt of a request to a service.
  void OnFirstAttempt(const ServiceName& service);
  /// Returns whether a request to a service may be sent once more, and counts that. Borrows from
  /// the neighbours if this daemon's own repeats are used up.
  Task<bool> TryRepeat(ServiceName service);
  /// Returns the limit on repeats of a service's requests.
  FleetRetryQuota& Retries(const ServiceName& service);
  /// Returns how many connections to one endpoint of a service may stand.
  ConnectionShare Connections(const RelayTable& configuration, const ServiceName& service) const;

  RelaySettings settings;
  RelayWire wire;
  Store store;
  Executor executor;
  Random random;
  Metrics metrics;
  /// Start of this process in microseconds since the Unix epoch.
  std::uint64_t incarnation = 0;
  /// Null until the first configuration was read.
  std::shared_ptr<const RelayTable> table;
  /// Proof for `table`, on the clock `BootNow()`.
  ConfigurationFreshness freshness;
  EndpointDirectory endpoints;
  PeerDirectory peers;
  StreamRegistry streams;
  /// Set once the daemon's parts exist.
  CrashWatch* crashes = nullptr;
  RelayRollouts* rollouts = nullptr;
  /// Callers are sent elsewhere because the process is about to stop.
  bool leaving = false;
  /// New requests are refused.
  bool refusing = false;
  /// Memory for answers that are being received.
  ByteBudget answer_memory;
  /// Requests in progress.
  std::size_t requests = 0;
  /// Calls when a stream of this daemon was placed or ended, or an endpoint has failed.
  std::function<void()> on_news_for_peers;
  /// Calls when `requests` has changed.
  std::function<void()> on_requests_changed;
  /// Calls when an engine reads or has read a stream's prompt.
  std::function<void(std::uint64_t prompt, const EndpointId& endpoint)> on_prompt_placed;
  /// Completes when `streams` knows which engine holds a prompt, or that cannot be found out.
  std::function<Task<void>(std::uint64_t prompt)> look_up_prompt;
  /// Returns whether neighbours have lent repeats of a service's requests.
  std::function<Task<bool>(ServiceName service)> borrow_repeats;

 private:
  std::map<ServiceName, FleetRetryQuota> m_retries;
  std::map<ServiceName, PrefillRateEstimator> m_paces;
};

}  // namespace fulmarpoint
