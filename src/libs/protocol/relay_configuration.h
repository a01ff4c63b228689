#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/identifiers.h"
#include "utils/enum_names.h"
#include "utils/time.h"

namespace fulmarpoint {

/// How often a relayed request may run.
enum class Retryability { kIdempotent, kNonIdempotent, kStream };

inline constexpr std::array<EnumName<Retryability>, 3> kRetryabilityNames = {{
    {Retryability::kIdempotent, "idempotent"},
    {Retryability::kNonIdempotent, "non_idempotent"},
    {Retryability::kStream, "stream"},
}};

/// A service that receives a share of a route's requests.
struct RouteTarget {
  ServiceName service;
  double weight = 1.0;
};

/// Requests to `host` whose path begins with `prefix` are relayed to the services in `targets`.
struct RelayRoute {
  std::string name;
  std::string host;
  std::string prefix;
  Retryability retryability = Retryability::kNonIdempotent;
  std::vector<RouteTarget> targets;
  /// Longest time from the arrival of a request to its complete answer.
  Duration timeout = std::chrono::seconds(30);
  /// Latency objective: time to the answer, for streams to the first event.
  Duration latency_objective = std::chrono::seconds(1);
  /// Streams: longest pause between events that meets the objective.
  Duration event_gap_objective = std::chrono::milliseconds(700);
  /// 0 is the most urgent.
  int priority = 5;
  /// Endpoints on which one request may run.
  int max_attempts = 1;
  bool requires_api_key = true;
  /// Streams: another endpoint may continue after a given event.
  bool can_resume = false;
};

/// Limits of the model engines of a service.
struct EngineCapacity {
  int slots = 1;
  /// Tokens of running requests and their copies that fit into an engine's memory.
  std::int64_t kv_cache_tokens = 0;
  /// An engine sends a copy of a run's memory to another engine while it grows.
  bool sends_backups = false;
  /// An engine copies a run's memory to another engine on request, and keeps it this long.
  bool backs_up_on_request = false;
  Duration backup_lifetime = std::chrono::seconds(4);
};

struct RelayService {
  ServiceName name;
  /// Connections that one endpoint accepts from all daemons together; 0 if unlimited.
  int max_connections = 0;
  /// Nothing for application engines.
  std::optional<EngineCapacity> engine;
};

struct RelayOrganisation {
  OrganisationId name;
  std::vector<std::string> keys;
  /// Overrides the priority of the route.
  std::optional<int> priority;
};

/// What callers may send.
struct CallerLimits {
  std::size_t head_bytes = std::size_t{16} * 1024;
  std::size_t body_bytes = std::size_t{1024} * 1024;
  Duration head_time = std::chrono::seconds(5);
  Duration idle_timeout = std::chrono::seconds(30);
};

/// The operator's configuration of the relay. `version` grows with each change.
struct RelayConfiguration {
  std::int64_t version = 0;
  std::vector<RelayRoute> routes;
  std::vector<RelayService> services;
  CallerLimits limits;
  /// False if requests carry no keys at all.
  bool has_organisations = false;
  std::vector<RelayOrganisation> organisations;
};

}  // namespace fulmarpoint
