#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/endpoint_health.h"
#include "coordination/router.h"
#include "protocol/catalogue.h"
#include "protocol/load_report.h"
#include "server/instance_list_client.h"
#include "server/settings.h"
#include "transport/http_client.h"

namespace fulmarpoint {

class Metrics;

/// State of one endpoint.
struct EndpointRecord {
  EndpointId id;
  std::string address;
  InstanceKind kind = InstanceKind::kEngine;
  std::string failure_domain;
  std::string region;
  LoadReport load;
  EndpointHealthView health;
};

/// A possible endpoint for a request, with its address.
struct EndpointCandidate {
  RouteCandidate route;
  std::string address;
  Duration token_interval{};
};

/// Registry of the endpoints, built from the platform's instance list, their load reports and the
/// outcomes of requests. Thread-safe.
class EndpointRegistry {
 public:
  using Listener = std::function<void(const EndpointHealthAction&)>;
  /// `alive` is false if the process refused a connection.
  using ProcessListener =
      std::function<void(const EndpointId&, std::uint64_t incarnation, bool alive)>;

  EndpointRegistry(HttpClient& http, InstanceListClient& list, PollingSettings settings,
                   Metrics& metrics);
  ~EndpointRegistry();
  EndpointRegistry(const EndpointRegistry&) = delete;
  EndpointRegistry& operator=(const EndpointRegistry&) = delete;

  /// Sets the listener for the actions of `EndpointHealth`; called without a lock held. Call before
  /// `Start`.
  void SetListener(Listener listener);
  /// Sets the listener for processes that polls find alive or lost; called without a lock held.
  /// Call before `Start`.
  void SetProcessListener(ProcessListener listener);
  /// Starts polling on `executor`.
  void Start(const Executor& executor);
  /// Stops polling once the polls in progress have ended.
  void Stop();
  /// Returns whether the platform's list was read at least once.
  bool Ready() const;

  /// Handles an outcome, or an event reported by a peer.
  void Handle(const EndpointHealthEvent& event);
  /// Counts a request that was sent and that the next load report may not contain.
  void CountStarted(const EndpointId& endpoint);
  /// Reverts `CountStarted` for a request that never reached the endpoint.
  void CountNotStarted(const EndpointId& endpoint);
  bool BeginTrial(const EndpointId& endpoint);

  /// Returns the endpoints that serve an entry, in any version that it lists.
  std::vector<EndpointCandidate> Candidates(const CatalogueEntry& entry) const;
  std::optional<EndpointRecord> Find(const EndpointId& endpoint) const;
  std::vector<EndpointRecord> All() const;
  /// Returns the daemons of the last list.
  std::vector<ListedInstance> Daemons() const;

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
