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

/// What a request needs of an endpoint.
struct PlacementRequest {
  /// Failure domain of this daemon.
  std::string failure_domain;
  /// For suspicions.
  TimePoint now{};
  /// Endpoints that have failed or refused this request.
  std::set<EndpointId> excluded;
  /// An endpoint that probably still holds the prompt in memory; empty if none.
  EndpointId preferred;
  /// Identifies the prompt. All daemons rank the engines for a prompt alike, so that one that knows
  /// nothing of an earlier run probably finds the engine that holds the prompt.
  std::uint64_t prompt = 0;
  /// Where this daemon stands if there are daemons that it does not hear.
  std::optional<RingView> ring;
  /// Tokens to read and to keep; zero for requests to application engines.
  std::int64_t prompt_tokens = 0;
  std::int64_t kv_cache_tokens = 0;
  /// Memory of each engine; 0 if unlimited.
  std::int64_t engine_kv_cache_tokens = 0;
  /// Requests that one endpoint may hold at a time; 0 if unlimited.
  int max_requests = 0;
};

/// Chooses the endpoint for a request to an application engine: the one with the fewest requests
/// for its slots, of equal ones one in this daemon's failure domain. Returns null if there is none.
const DirectoryEndpoint* PlaceCall(const std::vector<const DirectoryEndpoint*>& endpoints,
                                   const PlacementRequest& request, Random& random);

/// Chooses the engine for a generation: the one that will begin with its prompt first and has room
/// for the whole run. Returns null if none has room.
const DirectoryEndpoint* PlaceStream(const std::vector<const DirectoryEndpoint*>& endpoints,
                                     const PlacementRequest& request);

/// Chooses the engine that keeps a copy of a run's memory: in another failure domain than
/// `primary` if one has room, and with the most room. Returns null if none has room.
const DirectoryEndpoint* PlaceBackup(const std::vector<const DirectoryEndpoint*>& endpoints,
                                     const PlacementRequest& request,
                                     const DirectoryEndpoint& primary);

}  // namespace fulmarpoint
