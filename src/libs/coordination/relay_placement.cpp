#include "coordination/relay_placement.h"

#include <algorithm>
#include <random>
#include <utility>

#include "protocol/identifiers.h"

namespace fulmarpoint {

namespace {

// Each running generation delays the others a little; expressed in prompt tokens.
constexpr double kTokensPerRun = 30.0;
// Advantage of the engine that is ranked one place higher for the prompt.
constexpr double kTokensPerRank = 100.0;
// A preferred endpoint is used while its backlog is this much of a prompt longer.
constexpr double kPreferredBacklog = 1.0;
// Suspected endpoints are used only if no other has room.
constexpr double kSuspectedPenalty = 1e9;

bool AcceptsConnection(const DirectoryEndpoint& endpoint, const PlacementRequest& request) {
  return request.most_requests <= 0 || endpoint.Requests() < request.most_requests;
}

bool HasRoom(const DirectoryEndpoint& endpoint, const PlacementRequest& request) {
  if (request.engine_memory_tokens <= 0) return true;
  return endpoint.MemoryTokens() + request.memory_tokens <= request.engine_memory_tokens;
}

bool IsExcluded(const DirectoryEndpoint& endpoint, const PlacementRequest& request) {
  return request.excluded.count(endpoint.record.id) > 0;
}

/// Returns the tokens that the endpoint has to read until the request's prompt is read, scaled to
/// an endpoint of ordinary speed.
double BacklogTokens(const DirectoryEndpoint& endpoint, const PlacementRequest& request) {
  const double tokens = static_cast<double>(endpoint.UnreadTokens() + request.prompt_tokens);
  const double slowness = std::max(1.0, endpoint.RecentSlowness(request.now));
  return tokens * slowness + kTokensPerRun * endpoint.Requests();
}

/// Returns the endpoints that may be chosen, in their order for the prompt.
std::vector<const DirectoryEndpoint*> Ranked(const std::vector<const DirectoryEndpoint*>& endpoints,
                                             const PlacementRequest& request) {
  std::vector<std::pair<std::uint64_t, const DirectoryEndpoint*>> ranked;
  for (const DirectoryEndpoint* endpoint : endpoints) {
    if (IsExcluded(*endpoint, request) || !AcceptsConnection(*endpoint, request)) continue;
    ranked.emplace_back(StableHash(endpoint->record.id, request.prompt), endpoint);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<const DirectoryEndpoint*> order;
  order.reserve(ranked.size());
  for (const auto& [hash, endpoint] : ranked) order.push_back(endpoint);
  return order;
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
  double rank_tokens = 0.0;
  for (const DirectoryEndpoint* endpoint : Ranked(endpoints, request)) {
    rank_tokens += kTokensPerRank;
    if (!HasRoom(*endpoint, request)) continue;
    const double tokens =
        BacklogTokens(*endpoint, request) + rank_tokens + SuspicionPenalty(*endpoint, request);
    if (best != nullptr && tokens >= best_tokens) continue;
    best = endpoint;
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
  for (const DirectoryEndpoint* endpoint : Ranked(endpoints, request)) {
    if (endpoint == &primary || !HasRoom(*endpoint, request)) continue;
    const bool elsewhere = endpoint->record.failure_domain != primary.record.failure_domain;
    const double tokens = static_cast<double>(endpoint->MemoryTokens() + endpoint->UnreadTokens()) +
                          SuspicionPenalty(*endpoint, request);
    const bool is_better = elsewhere != best_elsewhere ? elsewhere : tokens < best_tokens;
    if (best != nullptr && !is_better) continue;
    best = endpoint;
    best_elsewhere = elsewhere;
    best_tokens = tokens;
  }
  return best;
}

}  // namespace fulmarpoint
