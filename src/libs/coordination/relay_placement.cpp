#include "coordination/relay_placement.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

#include "protocol/identifiers.h"

namespace fulmarpoint {

namespace {

// Delay that each request at an endpoint adds for the others, expressed in prompt tokens.
constexpr double kTokensPerRequest = 30.0;
// Penalty for each place down in the ranking of engines for the prompt.
constexpr double kRankPenaltyTokens = 100.0;
// Penalty for a distance of a full ring. The largest distance is half a ring.
constexpr double kRingPenaltyTokens = 2000.0;
// Estimated share of an endpoint's requests that are still in prefill.
constexpr double kPrefillShare = 0.2;
// The preferred endpoint is used while its backlog exceeds the best score by at most this many
// times the request's prompt.
constexpr double kPreferredBacklogTolerance = 1.0;
// Large enough that suspected endpoints are used only if no other has room.
constexpr double kSuspectedPenaltyTokens = 1e9;

bool AcceptsConnection(const DirectoryEndpoint& endpoint, const PlacementRequest& request) {
  return request.max_requests <= 0 || endpoint.Requests() < request.max_requests;
}

bool HasRoom(const DirectoryEndpoint& endpoint, const PlacementRequest& request) {
  if (request.engine_kv_cache_tokens <= 0) return true;
  return endpoint.KvCacheTokens() + request.kv_cache_tokens <= request.engine_kv_cache_tokens;
}

bool IsExcluded(const DirectoryEndpoint& endpoint, const PlacementRequest& request) {
  return request.excluded.count(endpoint.record.id) > 0;
}

/// Returns the number of tokens to prefill at the endpoint until the request's prompt is processed,
/// scaled by the endpoint's slowness.
double BacklogTokens(const DirectoryEndpoint& endpoint, const PlacementRequest& request) {
  const double tokens =
      static_cast<double>(endpoint.PendingPrefillTokens() + request.prompt_tokens);
  const double slowness = std::max(1.0, endpoint.RecentSlowness(request.now));
  return tokens * slowness + kTokensPerRequest * endpoint.Requests();
}

/// An endpoint that may be chosen.
struct Candidate {
  const DirectoryEndpoint* endpoint = nullptr;
  /// Penalty in tokens for the place in the order of preference.
  double rank_penalty_tokens = 0.0;
  /// Estimated requests there from daemons with which this one exchanges no heartbeats.
  double unseen_requests = 0.0;
};

/// Returns the endpoints in ascending order of `hash` of their IDs.
template <typename Hash>
std::vector<const DirectoryEndpoint*> Ordered(
    const std::vector<const DirectoryEndpoint*>& endpoints, const Hash& hash) {
  std::vector<std::pair<std::uint64_t, const DirectoryEndpoint*>> ordered;
  ordered.reserve(endpoints.size());
  for (const DirectoryEndpoint* endpoint : endpoints) {
    ordered.emplace_back(hash(endpoint->record.id), endpoint);
  }
  std::sort(ordered.begin(), ordered.end());
  std::vector<const DirectoryEndpoint*> order;
  order.reserve(ordered.size());
  for (const auto& [value, endpoint] : ordered) order.push_back(endpoint);
  return order;
}

/// Ranks endpoints in an order that depends on the prompt. For fleets in which all daemons exchange
/// heartbeats.
std::vector<Candidate> RankByPrompt(const std::vector<const DirectoryEndpoint*>& endpoints,
                                    const PlacementRequest& request) {
  std::vector<Candidate> candidates;
  const auto hash = [&](const EndpointId& id) { return StableHash(id, request.prompt); };
  for (const DirectoryEndpoint* endpoint : Ordered(endpoints, hash)) {
    const double rank = static_cast<double>(candidates.size() + 1);
    candidates.push_back({endpoint, rank * kRankPenaltyTokens, 0.0});
  }
  return candidates;
}

double RingDistance(double a, double b) {
  const double distance = std::abs(a - b);
  return std::min(distance, 1.0 - distance);
}

/// Ranks endpoints by their distance to this daemon on the hash ring.
std::vector<Candidate> RankByRing(const std::vector<const DirectoryEndpoint*>& endpoints,
                                  const RingView& ring) {
  std::vector<Candidate> candidates;
  const auto hash = [](const EndpointId& id) { return StableHash(id); };
  const double count = static_cast<double>(endpoints.size());
  std::vector<std::size_t> unseen;
  double visible = 0.0;
  double requests = 0.0;
  for (const DirectoryEndpoint* endpoint : Ordered(endpoints, hash)) {
    const double position = static_cast<double>(candidates.size()) / count;
    const double distance = RingDistance(position, ring.position);
    candidates.push_back({endpoint, distance * kRingPenaltyTokens, 0.0});
    if (distance > ring.visible_distance) {
      unseen.push_back(candidates.size() - 1);
      continue;
    }
    visible += 1.0;
    requests += endpoint->Requests();
  }
  // Assumes the same mean number of requests at endpoints out of view as at those in view.
  const double typical = visible == 0.0 ? 0.0 : requests / visible;
  for (const std::size_t index : unseen) candidates[index].unseen_requests = typical;
  return candidates;
}

/// Returns the ranked endpoints that are not excluded and accept another connection.
std::vector<Candidate> Candidates(const std::vector<const DirectoryEndpoint*>& endpoints,
                                  const PlacementRequest& request) {
  std::vector<Candidate> candidates =
      request.ring ? RankByRing(endpoints, *request.ring) : RankByPrompt(endpoints, request);
  const auto is_unavailable = [&request](const Candidate& candidate) {
    return IsExcluded(*candidate.endpoint, request) ||
           !AcceptsConnection(*candidate.endpoint, request);
  };
  candidates.erase(std::remove_if(candidates.begin(), candidates.end(), is_unavailable),
                   candidates.end());
  return candidates;
}

/// Returns the estimated number of tokens to prefill there for requests of daemons with which this
/// one exchanges no heartbeats.
double UnseenTokens(const Candidate& candidate, const PlacementRequest& request) {
  return candidate.unseen_requests * kPrefillShare * static_cast<double>(request.prompt_tokens);
}

double SuspicionPenalty(const DirectoryEndpoint& endpoint, const PlacementRequest& request) {
  return request.now < endpoint.suspected_until ? kSuspectedPenaltyTokens : 0.0;
}

const DirectoryEndpoint* FindPreferred(const std::vector<const DirectoryEndpoint*>& endpoints,
                                       const PlacementRequest& request) {
  for (const DirectoryEndpoint* endpoint : endpoints) {
    const bool is_suspected = request.now < endpoint->suspected_until;
    if (endpoint->record.id != request.preferred || is_suspected) continue;
    const bool may_take = !IsExcluded(*endpoint, request) && AcceptsConnection(*endpoint, request);
    return may_take ? endpoint : nullptr;
  }
  return nullptr;
}

}  // namespace

const DirectoryEndpoint* PlaceCall(const std::vector<const DirectoryEndpoint*>& endpoints,
                                   const PlacementRequest& request, Random& random) {
  const DirectoryEndpoint* best = nullptr;
  double best_score = 0.0;
  for (const DirectoryEndpoint* endpoint : endpoints) {
    if (IsExcluded(*endpoint, request) || !AcceptsConnection(*endpoint, request)) continue;
    const double slots = std::max(1, endpoint->record.slots);
    double score = endpoint->Requests() / slots;
    if (endpoint->record.failure_domain != request.failure_domain) score += 0.5 / slots;
    score += std::uniform_real_distribution<double>(0.0, 0.1 / slots)(random);
    score += SuspicionPenalty(*endpoint, request);
    if (best != nullptr && score >= best_score) continue;
    best = endpoint;
    best_score = score;
  }
  return best;
}

const DirectoryEndpoint* PlaceStream(const std::vector<const DirectoryEndpoint*>& endpoints,
                                     const PlacementRequest& request) {
  const DirectoryEndpoint* best = nullptr;
  double best_tokens = 0.0;
  for (const Candidate& candidate : Candidates(endpoints, request)) {
    const DirectoryEndpoint& endpoint = *candidate.endpoint;
    if (!HasRoom(endpoint, request)) continue;
    const double tokens = BacklogTokens(endpoint, request) + candidate.rank_penalty_tokens +
                          UnseenTokens(candidate, request) + SuspicionPenalty(endpoint, request);
    if (best != nullptr && tokens >= best_tokens) continue;
    best = &endpoint;
    best_tokens = tokens;
  }
  const DirectoryEndpoint* preferred = FindPreferred(endpoints, request);
  if (preferred == nullptr) return best;
  const double limit =
      best_tokens + kPreferredBacklogTolerance * static_cast<double>(request.prompt_tokens);
  if (best == nullptr || BacklogTokens(*preferred, request) <= limit) return preferred;
  return best;
}

const DirectoryEndpoint* PlaceBackup(const std::vector<const DirectoryEndpoint*>& endpoints,
                                     const PlacementRequest& request,
                                     const DirectoryEndpoint& primary) {
  const DirectoryEndpoint* best = nullptr;
  bool best_elsewhere = false;
  double best_tokens = 0.0;
  for (const Candidate& candidate : Candidates(endpoints, request)) {
    const DirectoryEndpoint* endpoint = candidate.endpoint;
    if (endpoint == &primary || !HasRoom(*endpoint, request)) continue;
    const bool elsewhere = endpoint->record.failure_domain != primary.record.failure_domain;
    const double unseen = candidate.unseen_requests * static_cast<double>(request.kv_cache_tokens);
    // Daemons that exchange no heartbeats must prefer different engines. Otherwise each daemon sees
    // the load that the others caused.
    const double distance_penalty_tokens = request.ring ? candidate.rank_penalty_tokens : 0.0;
    const double tokens =
        static_cast<double>(endpoint->KvCacheTokens() + endpoint->PendingPrefillTokens()) + unseen +
        distance_penalty_tokens + SuspicionPenalty(*endpoint, request);
    const bool is_better = elsewhere != best_elsewhere ? elsewhere : tokens < best_tokens;
    if (best != nullptr && !is_better) continue;
    best = endpoint;
    best_elsewhere = elsewhere;
    best_tokens = tokens;
  }
  return best;
}

}  // namespace fulmarpoint
