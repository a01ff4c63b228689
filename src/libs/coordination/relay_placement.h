#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/endpoint_directory.h"
#include "coordination/ring_view.h"
#include "utils/random.h"

namespace fulmarpoint {

/// Highest share of an engine that may be in use once it has been given a request. Leaves room for
/// more urgent requests.
struct FillLimit {
  double slots = 1.0;
  double kv_cache = 1.0;
};

/// Requirements and preferences of a request for its endpoint.
struct PlacementRequest {
  /// Name and failure domain of this daemon.
  std::string daemon;
  std::string failure_domain;
  /// Current time, compared with the time until which an endpoint is suspected.
  TimePoint now{};
  /// Endpoints that failed or rejected this request.
  std::set<EndpointId> excluded;
  /// Endpoint that probably still has the prompt in its KV cache; empty if none.
  EndpointId preferred;
  /// Identifies the prompt. All daemons rank the engines for a prompt in the same order, so that a
  /// daemon without information on an earlier attempt probably chooses the engine that has the
  /// prompt cached.
  std::uint64_t prompt = 0;
  /// Position of this daemon on the hash ring; empty if it exchanges heartbeats with all daemons.
  std::optional<RingView> ring;
  /// Tokens to prefill, and tokens of KV cache that the request fills; zero for requests to
  /// application engines.
  std::int64_t prompt_tokens = 0;
  std::int64_t kv_cache_tokens = 0;
  /// KV cache capacity of each engine in tokens; 0 if unlimited.
  std::int64_t engine_kv_cache_tokens = 0;
  /// Limit on concurrent requests of an endpoint; 0 if unlimited.
  int max_requests = 0;
  /// Usual time to process the prompt; zero if unknown.
  Duration prefill_time{};
  /// Selects among engines with almost equal times; differs between requests. 0 if the first in
  /// the ranking is selected. Applies only with `ring`, to engines that report their pace.
  std::uint64_t tie_seed = 0;
  /// Absent if requests may use an engine regardless of its slots.
  std::optional<FillLimit> fill;
  /// Limit for KV cache backups; absent if they may use an engine's whole KV cache.
  std::optional<FillLimit> backup_fill;
};

/// Chooses the endpoint for a request to an application engine: the one with the fewest requests
/// per slot, and among equals one in this daemon's failure domain. If an endpoint reports its pace,
/// the one with the shortest expected time: requests per slot, with this one, times the pace.
/// Returns null if there is none within the limits.
/// Thread-safe if each thread uses its own `random`.
const DirectoryEndpoint* PlaceCall(const std::vector<const DirectoryEndpoint*>& endpoints,
                                   const PlacementRequest& request, Random& random);

/// Chooses the engine for a generation: the one that is expected to start on the prompt first and
/// has enough free KV cache for the whole generation. Prefers `request.preferred` unless its
/// backlog is much longer. Returns null if no engine has enough free KV cache.
const DirectoryEndpoint* PlaceStream(const std::vector<const DirectoryEndpoint*>& endpoints,
                                     const PlacementRequest& request);

/// Chooses the engine that stores a backup of the KV cache of an attempt at `primary`: in another
/// failure domain than `primary` if one has enough free KV cache there, and the least loaded.
/// Returns null if none has enough.
const DirectoryEndpoint* PlaceBackup(const std::vector<const DirectoryEndpoint*>& endpoints,
                                     const PlacementRequest& request,
                                     const DirectoryEndpoint& primary);

}  // namespace fulmarpoint
