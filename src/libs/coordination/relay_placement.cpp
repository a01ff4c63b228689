#include "coordination/relay_placement.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

#include "protocol/identifiers.h"

namespace fulmarpoint {

namespace {

// Each running generation delays the others a little; expressed in prompt tokens.
constexpr double kTokensPerRun = 30.0;
// Advantage of the engine that is ranked one place higher for the prompt.
constexpr double kTokensPerRank = 100.0;
// Disadvantage of an endpoint on the opposite side of the ring is half of this.
constexpr double kTokensPerRing = 2000.0;
// Part of the requests at an endpoint whose prompt is still being read.
constexpr double kUnreadShare = 0.2;
// A preferred endpoint is used while its backlog is this much of a prompt longer.
constexpr double kPreferredBacklog = 1.0;
// Suspected endpoints are used only if no other has room.
constexpr double kSuspectedPenalty = 1e9;

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

/// Returns the tokens that the endpoint has to read until the request's prompt is read, scaled to
/// an endpoint of ordinary speed.
double BacklogTokens(const DirectoryEndpoint& endpoint, const PlacementRequest& request) {
  const double tokens =
      static_cast<double>(endpoint.PendingPrefillTokens() + request.prompt_tokens);
  const double slowness = std::max(1.0, endpoint.RecentSlowness(request.now));
  return tokens * slowness + kTokensPerRun * endpoint.Requests();
}

/// An endpoint that may be chosen.
struct Candidate {
  const DirectoryEndpoint* endpoint = nullptr;
  /// Advantage of others that come before it in the order of preference.
  double rank_tokens = 0.0;
  /// Requests that daemons out of hearing probably have there.
  double unheard_requests = 0.0;
};

/// Returns the endpoints by rising `hash` of their identity.
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

/// All daemons hear each other: they prefer endpoints in an order that depends on the prompt.
std::vector<Candidate> RankByPrompt(const std::vector<const DirectoryEndpoint*>& endpoints,
                                    const PlacementRequest& request) {
  std::vector<Candidate> candidates;
  const auto hash = [&](const EndpointId& id) { return StableHash(id, request.prompt); };
  for (const DirectoryEndpoint* endpoint : Ordered(endpoints, hash)) {
    const double rank = static_cast<double>(candidates.size() + 1);
    candidates.push_back({endpoint, rank * kTokensPerRank, 0.0});
  }
  return candidates;
}

double RingDistance(double a, double b) {
  const double distance = std::abs(a - b);
  return std::min(distance, 1.0 - distance);
}

/// Each daemon prefers the endpoints near it on the ring.
std::vector<Candidate> RankByRing(const std::vector<const DirectoryEndpoint*>& endpoints,
                                  const RingView& ring) {
  std::vector<Candidate> candidates;
  const auto hash = [](const EndpointId& id) { return StableHash(id); };
  const double count = static_cast<double>(endpoints.size());
  std::vector<std::size_t> unheard;
  double heard = 0.0;
  double requests = 0.0;
  for (const DirectoryEndpoint* endpoint : Ordered(endpoints, hash)) {
    const double position = static_cast<double>(candidates.size()) / count;
    const double distance = RingDistance(position, ring.position);
    candidates.push_back({endpoint, distance * kTokensPerRing, 0.0});
    if (distance > ring.heard_distance) {
      unheard.push_back(candidates.size() - 1);
      continue;
    }
    heard += 1.0;
    requests += endpoint->Requests();
  }
  // Those out of hearing are probably used like those within.
  const double typical = heard == 0.0 ? 0.0 : requests / heard;
  for (const std::size_t index : unheard) candidates[index].unheard_requests = typical;
  return candidates;
}

/// Returns the endpoints that may be chosen.
std::vector<Candidate> Candidates(const std::vector<const DirectoryEndpoint*>& endpoints,
                                  const PlacementRequest& request) {
  std::vector<Candidate> candidates =
      request.ring ? RankByRing(endpoints, *request.ring) : RankByPrompt(endpoints, request);
  const auto is_closed = [&request](const Candidate& candidate) {
    return IsExcluded(*candidate.endpoint, request) ||
           !AcceptsConnection(*candidate.endpoint, request);
  };
  candidates.erase(std::remove_if(candidates.begin(), candidates.end(), is_closed),
                   candidates.end());
  return candidates;
}

/// Returns the tokens that daemons out of hearing probably have placed there.
double UnheardTokens(const Candidate& candidate, const PlacementRequest& request) {
  return candidate.unheard_requests * kUnreadShare * static_cast<double>(request.prompt_tokens);
}

double SuspicionPenalty(const DirectoryEndpoint& endpoint, const PlacementRequest& request) {
  return request.now < endpoint.suspected_until ? kSuspectedPenalty : 0.0;
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
    const double tokens = BacklogTokens(endpoint, request) + candidate.rank_tokens +
                          UnheardTokens(candidate, request) + SuspicionPenalty(endpoint, request);
    if (best != nullptr && tokens >= best_tokens) continue;
    best = &endpoint;
    best_tokens = tokens;
  }
  const DirectoryEndpoint* preferred = FindPreferred(endpoints, request);
  if (preferred == nullptr) return best;
  const double limit = best_tokens + kPreferredBacklog * static_cast<double>(request.prompt_tokens);
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
    const double unheard =
        candidate.unheard_requests * static_cast<double>(request.kv_cache_tokens);
    // Daemons that do not hear each other prefer different engines; others see who is used.
    const double distance_tokens = request.ring ? candidate.rank_tokens : 0.0;
    const double tokens =
        static_cast<double>(endpoint->KvCacheTokens() + endpoint->PendingPrefillTokens()) +
        unheard + distance_tokens + SuspicionPenalty(*endpoint, request);
    const bool is_better = elsewhere != best_elsewhere ? elsewhere : tokens < best_tokens;
    if (best != nullptr && !is_better) continue;
    best = endpoint;
    best_elsewhere = elsewhere;
    best_tokens = tokens;
  }
  return best;
}

}  // namespace fulmarpoint
