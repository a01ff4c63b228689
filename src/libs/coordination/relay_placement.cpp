#include "coordination/relay_placement.h"

#include <algorithm>
#include <random>

namespace fulmarpoint {

namespace {

// Each running generation delays the others a little; expressed in prompt tokens.
constexpr double kTokensPerRun = 150.0;
// Cost of traffic between failure domains, expressed in prompt tokens.
constexpr double kTokensPerDomainChange = 100.0;
// A preferred endpoint is used while its backlog is this much of a prompt longer.
constexpr double kPreferredBacklog = 1.0;
// Random part that separates equal endpoints.
constexpr double kTieTokens = 20.0;
// Suspected endpoints are used only if no other has room.
constexpr double kSuspectedPenalty = 1e9;

bool HasRoom(const DirectoryEndpoint& endpoint, const PlacementRequest& request) {
  if (request.engine_memory_tokens <= 0) return true;
  return endpoint.MemoryTokens() + request.memory_tokens <= request.engine_memory_tokens;
}

bool IsExcluded(const DirectoryEndpoint& endpoint, const PlacementRequest& request) {
  return request.excluded.count(endpoint.record.id) > 0;
}

double BacklogTokens(const DirectoryEndpoint& endpoint, const PlacementRequest& request) {
  double tokens = static_cast<double>(endpoint.UnreadTokens());
  tokens += kTokensPerRun * endpoint.Requests();
  if (endpoint.record.failure_domain != request.failure_domain) tokens += kTokensPerDomainChange;
  return tokens;
}

double SuspicionPenalty(const DirectoryEndpoint& endpoint, const PlacementRequest& request) {
  return request.now < endpoint.suspected_until ? kSuspectedPenalty : 0.0;
}

double Tie(Random& random) {
  return std::uniform_real_distribution<double>(0.0, kTieTokens)(random);
}

const DirectoryEndpoint* FindPreferred(const std::vector<const DirectoryEndpoint*>& endpoints,
                                       const PlacementRequest& request) {
  for (const DirectoryEndpoint* endpoint : endpoints) {
    const bool is_suspected = request.now < endpoint->suspected_until;
    if (endpoint->record.id == request.preferred && !is_suspected &&
        !IsExcluded(*endpoint, request)) {
      return endpoint;
    }
  }
  return nullptr;
}

}  // namespace

const DirectoryEndpoint* PlaceCall(const std::vector<const DirectoryEndpoint*>& endpoints,
                                   const PlacementRequest& request, Random& random) {
  const DirectoryEndpoint* best = nullptr;
  double best_score = 0.0;
  for (const DirectoryEndpoint* endpoint : endpoints) {
    if (IsExcluded(*endpoint, request)) continue;
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
                                     const PlacementRequest& request, Random& random) {
  const DirectoryEndpoint* best = nullptr;
  double best_tokens = 0.0;
  for (const DirectoryEndpoint* endpoint : endpoints) {
    if (IsExcluded(*endpoint, request) || !HasRoom(*endpoint, request)) continue;
    const double tokens =
        BacklogTokens(*endpoint, request) + Tie(random) + SuspicionPenalty(*endpoint, request);
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
                                     const DirectoryEndpoint& primary, Random& random) {
  const DirectoryEndpoint* best = nullptr;
  bool best_elsewhere = false;
  double best_tokens = 0.0;
  for (const DirectoryEndpoint* endpoint : endpoints) {
    if (endpoint == &primary || IsExcluded(*endpoint, request)) continue;
    if (!HasRoom(*endpoint, request)) continue;
    const bool elsewhere = endpoint->record.failure_domain != primary.record.failure_domain;
    const double tokens = static_cast<double>(endpoint->MemoryTokens() + endpoint->UnreadTokens()) +
                          Tie(random) + SuspicionPenalty(*endpoint, request);
    const bool is_better = elsewhere != best_elsewhere ? elsewhere : tokens < best_tokens;
    if (best != nullptr && !is_better) continue;
    best = endpoint;
    best_elsewhere = elsewhere;
    best_tokens = tokens;
  }
  return best;
}

}  // namespace fulmarpoint
