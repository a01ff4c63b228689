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

/// Whether the requests of a route may be retried.
enum class Retryability { kIdempotent, kNonIdempotent, kStream };

inline constexpr std::array<EnumName<Retryability>, 3> kRetryabilityNames = {{
    {Retryability::kIdempotent, "idempotent"},
    {Retryability::kNonIdempotent, "non_idempotent"},
    {Retryability::kStream, "stream"},
}};

/// A service that receives a weighted share of a route's requests.
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
  /// Maximum time from the arrival of a request to its complete response.
  Duration timeout = std::chrono::seconds(30);
  /// Latency objective: time to the response, or to the first event of a stream.
  Duration latency_objective = std::chrono::seconds(1);
  /// Latency objective of streams: time between events.
  Duration event_gap_objective = std::chrono::milliseconds(700);
  /// 0 is the highest priority.
  int priority = 5;
  /// Maximum number of endpoints that one request may be sent to.
  int max_attempts = 1;
  /// Requests must have the API key of an organisation.
  bool requires_api_key = true;
  /// Streams: another endpoint can continue after a given event.
  bool can_resume = false;
};

/// Capacity and features of the model engines of a service.
struct EngineCapacity {
  int slots = 1;
  /// Tokens of running requests and of KV cache backups that fit into an engine's memory.
  std::int64_t kv_cache_tokens = 0;
  /// Engines continuously back up the KV cache of an attempt to another engine.
  bool sends_backups = false;
  /// Engines back up the KV cache of an attempt to another engine on request.
  bool backs_up_on_request = false;
  /// How long an engine keeps a requested backup after it was last renewed.
  Duration backup_lifetime = std::chrono::seconds(4);
};

/// Numbers of engines that the operator allows in each failure domain.
struct EngineScaleLimits {
  int min = 0;
  int max = 0;
  /// Time from an order until new engines serve.
  Duration boot_time{};
};

struct RelayService {
  ServiceName name;
  /// Maximum number of connections of all daemons together to one endpoint; 0 if unlimited.
  int max_connections = 0;
  /// Absent for application engines.
  std::optional<EngineCapacity> engine;
  /// Absent if the number of engines is fixed.
  std::optional<EngineScaleLimits> scale;
};

struct RelayOrganisation {
  OrganisationId name;
  std::vector<std::string> keys;
  /// Overrides the priority of the route.
  std::optional<int> priority;
};

/// Limits on the requests and connections of callers.
struct CallerLimits {
  std::size_t head_bytes = std::size_t{16} * 1024;
  std::size_t body_bytes = std::size_t{1024} * 1024;
  Duration head_time = std::chrono::seconds(5);
  Duration idle_timeout = std::chrono::seconds(30);
};

/// The operator's configuration of the relay. `version` increases with each change.
struct RelayConfiguration {
  std::int64_t version = 0;
  std::vector<RelayRoute> routes;
  std::vector<RelayService> services;
  CallerLimits limits;
  /// False if requests carry no API keys.
  bool has_organisations = false;
  std::vector<RelayOrganisation> organisations;
};

}  // namespace fulmarpoint
