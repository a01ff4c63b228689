#include "coordination/relay_placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
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
// Times that differ by at most this fraction are almost equal.
constexpr double kTieFraction = 0.1;
// Random fraction of the expected time of a call that is added where paces are reported. Daemons do
// not see each other's calls, and know the load of an endpoint only from earlier replies.
constexpr double kCallSpread = 0.5;
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

/// Returns the number of slots of the endpoint; 0 if unknown.
int SlotsOf(const DirectoryEndpoint& endpoint) {
  return endpoint.record.slots > 0 ? endpoint.record.slots : endpoint.load.slots;
}

/// Returns the estimated number of requests that are neither this daemon's nor its neighbours'.
double UnknownRequests(const DirectoryEndpoint& endpoint, TimePoint now) {
  return endpoint.EstimatedRequests(now) - endpoint.Requests();
}

/// Returns whether the slots in use stay within the limit if `added` more are. Each limit allows
/// one request, or engines with few slots would never get less urgent ones.
bool FitsSlots(const DirectoryEndpoint& endpoint, const PlacementRequest& request,
               const FillLimit& limit, int added) {
  const int slots = SlotsOf(endpoint);
  if (slots <= 0) return true;
  const double allowed = std::max(1.0, std::floor(limit.slots * slots));
  // The estimate is a fraction only because reports age.
  return std::floor(endpoint.EstimatedRequests(request.now)) + added <= allowed;
}

/// Returns the estimated KV cache tokens in use. Requests that are known only from the endpoint's
/// report are assumed to be like this one.
double EstimatedKvCacheTokens(const DirectoryEndpoint& endpoint, const PlacementRequest& request) {
  return static_cast<double>(endpoint.KvCacheTokens()) +
         UnknownRequests(endpoint, request.now) * static_cast<double>(request.kv_cache_tokens);
}

bool FitsKvCache(const DirectoryEndpoint& endpoint, const PlacementRequest& request,
                 const FillLimit& limit) {
  if (request.engine_kv_cache_tokens <= 0) return true;
  const double allowed = limit.kv_cache * static_cast<double>(request.engine_kv_cache_tokens);
  const double tokens = static_cast<double>(request.kv_cache_tokens);
  return EstimatedKvCacheTokens(endpoint, request) + tokens <= allowed;
}

/// A brittle endpoint gets no request that would wait there, nor more than its share of this
/// daemon, because one that it has no room for may crash it.
bool FitsRejectionBudget(const DirectoryEndpoint& endpoint, const PlacementRequest& request) {
  if (!endpoint.rejections.IsBrittle(request.now)) return true;
  const std::uint64_t daemon = StableHash(request.daemon, StableHash(endpoint.record.id));
  return endpoint.rejections.Admits(endpoint.own.requests, daemon, request.now) &&
         FitsSlots(endpoint, request, FillLimit(), 1);
}

/// Returns whether the request leaves the room that `request.fill` requires. A brittle endpoint
/// gets no request that would wait there, because one that it has no room for may crash it. An idle
/// endpoint may take any request: one that needs more than the limit would never run otherwise.
bool FitsFill(const DirectoryEndpoint& endpoint, const PlacementRequest& request) {
  if (!FitsRejectionBudget(endpoint, request)) return false;
  if (!request.fill) return true;
  const bool is_idle =
      endpoint.EstimatedRequests(request.now) < 1.0 && endpoint.KvCacheTokens() == 0;
  return FitsSlots(endpoint, request, *request.fill, 1) &&
         (is_idle || FitsKvCache(endpoint, request, *request.fill));
}

bool FitsBackupFill(const DirectoryEndpoint& endpoint, const PlacementRequest& request) {
  if (!request.backup_fill) return true;
  return FitsSlots(endpoint, request, *request.backup_fill, 0) &&
         FitsKvCache(endpoint, request, *request.backup_fill);
}

/// Returns the mean pace while the endpoint processes `tokens` at its usual speed.
double ExpectedPace(const DirectoryEndpoint& endpoint, const PlacementRequest& request,
                    double tokens) {
  const double prompts =
      tokens / static_cast<double>(std::max<std::int64_t>(1, request.prompt_tokens));
  const double usual_us = static_cast<double>(request.prefill_time.count()) * prompts;
  const double base = endpoint.pace.Base(request.now);
  const Duration duration(static_cast<Duration::rep>(usual_us * base));
  return endpoint.pace.ExpectedOver(duration, request.now);
}

/// Like `BacklogTokens`, for an endpoint that reports its pace. Also counts requests that are known
/// only from its reports. An endpoint out of view does not count as faster than usual: daemons that
/// do not see each other's requests would all prefer the same fast endpoints.
double PacedBacklogTokens(const DirectoryEndpoint& endpoint, const PlacementRequest& request,
                          bool in_view) {
  const double prompt = static_cast<double>(request.prompt_tokens);
  const double tokens = static_cast<double>(endpoint.PendingPrefillTokens()) + prompt +
                        UnknownRequests(endpoint, request.now) * kPrefillShare * prompt +
                        kTokensPerRequest * endpoint.EstimatedRequests(request.now);
  const double pace = ExpectedPace(endpoint, request, tokens);
  return tokens * (in_view ? pace : std::max(1.0, pace));
}

/// Returns the number of tokens to prefill at the endpoint until the request's prompt is processed,
/// scaled by the endpoint's pace or, if it reports none, by its measured slowness.
double BacklogTokens(const DirectoryEndpoint& endpoint, const PlacementRequest& request,
                     bool in_view) {
  if (endpoint.pace.HasReport()) return PacedBacklogTokens(endpoint, request, in_view);
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
  /// Estimated requests there from daemons with which this one exchanges no heartbeats. If the
  /// endpoint reports its pace, only those beyond what it reports.
  double unseen_requests = 0.0;
  /// Whether the endpoint is used mostly by this daemon and those whose heartbeats it receives.
  bool in_view = true;
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
    candidates.push_back({endpoint, rank * kRankPenaltyTokens});
  }
  return candidates;
}

double RingDistance(double a, double b) {
  const double distance = std::abs(a - b);
  return std::min(distance, 1.0 - distance);
}

/// Ranks endpoints by their distance to this daemon on the hash ring.
std::vector<Candidate> RankByRing(const std::vector<const DirectoryEndpoint*>& endpoints,
                                  const RingView& ring, TimePoint now) {
  std::vector<Candidate> candidates;
  const auto hash = [](const EndpointId& id) { return StableHash(id); };
  const double count = static_cast<double>(endpoints.size());
  std::vector<std::size_t> unseen;
  double visible = 0.0;
  double requests = 0.0;
  for (const DirectoryEndpoint* endpoint : Ordered(endpoints, hash)) {
    const double position = static_cast<double>(candidates.size()) / count;
    const double distance = RingDistance(position, ring.position);
    const bool in_view = distance <= ring.visible_distance;
    candidates.push_back({endpoint, distance * kRingPenaltyTokens, 0.0, in_view});
    if (!in_view) {
      unseen.push_back(candidates.size() - 1);
      continue;
    }
    visible += 1.0;
    requests += endpoint->Requests();
  }
  // Assumes the same mean number of requests at endpoints out of view as at those in view.
  const double typical = visible == 0.0 ? 0.0 : requests / visible;
  for (const std::size_t index : unseen) {
    const DirectoryEndpoint& endpoint = *candidates[index].endpoint;
    const double reported = endpoint.pace.HasReport() ? UnknownRequests(endpoint, now) : 0.0;
    candidates[index].unseen_requests = std::max(0.0, typical - reported);
  }
  return candidates;
}

/// Returns the ranked endpoints that are not excluded and accept another connection.
std::vector<Candidate> Candidates(const std::vector<const DirectoryEndpoint*>& endpoints,
                                  const PlacementRequest& request) {
  std::vector<Candidate> candidates = request.ring
                                          ? RankByRing(endpoints, *request.ring, request.now)
                                          : RankByPrompt(endpoints, request);
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
  const double tokens =
      candidate.unseen_requests * kPrefillShare * static_cast<double>(request.prompt_tokens);
  const EnginePace& pace = candidate.endpoint->pace;
  return pace.HasReport() ? tokens * pace.Base(request.now) : tokens;
}

/// Returns an addition to the endpoint's time that makes the choice among almost equal ones random.
double TieTokens(const DirectoryEndpoint& endpoint, const PlacementRequest& request) {
  // Daemons that all exchange heartbeats see each other's choices, and keep to the ranking by
  // prompt, by which a resumed stream finds the engine that has its prompt cached.
  const bool is_ranked_by_prompt = !request.ring;
  if (request.tie_seed == 0 || is_ranked_by_prompt || !endpoint.pace.HasReport()) return 0.0;
  const double draw = static_cast<double>(StableHash(endpoint.record.id, request.tie_seed)) /
                      static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  return draw * kTieFraction * static_cast<double>(request.prompt_tokens);
}

double SuspicionPenalty(const DirectoryEndpoint& endpoint, const PlacementRequest& request) {
  return request.now < endpoint.suspected_until ? kSuspectedPenaltyTokens : 0.0;
}

const DirectoryEndpoint* FindPreferred(const std::vector<const DirectoryEndpoint*>& endpoints,
                                       const PlacementRequest& request) {
  for (const DirectoryEndpoint* endpoint : endpoints) {
    const bool is_suspected = request.now < endpoint->suspected_until;
    if (endpoint->record.id != request.preferred || is_suspected) continue;
    const bool may_take = !IsExcluded(*endpoint, request) &&
                          AcceptsConnection(*endpoint, request) && FitsFill(*endpoint, request);
    return may_take ? endpoint : nullptr;
  }
  return nullptr;
}

/// Returns the requests per slot of the endpoint, or with `by_time` a measure of the time that the
/// call takes there.
double CallLoad(const DirectoryEndpoint& endpoint, TimePoint now, bool by_time) {
  const double slots = std::max(1, endpoint.record.slots);
  if (!by_time) return endpoint.Requests() / slots;
  return (endpoint.EstimatedRequests(now) + 1.0) / slots * endpoint.pace.Current(now);
}

}  // namespace

const DirectoryEndpoint* PlaceCall(const std::vector<const DirectoryEndpoint*>& endpoints,
                                   const PlacementRequest& request, Random& random) {
  const bool by_time =
      std::any_of(endpoints.begin(), endpoints.end(),
                  [](const DirectoryEndpoint* endpoint) { return endpoint->pace.HasReport(); });
  const DirectoryEndpoint* best = nullptr;
  double best_score = 0.0;
  for (const DirectoryEndpoint* endpoint : endpoints) {
    if (IsExcluded(*endpoint, request) || !AcceptsConnection(*endpoint, request)) continue;
    if (!FitsFill(*endpoint, request)) continue;
    const double slots = std::max(1, endpoint->record.slots);
    double score = CallLoad(*endpoint, request.now, by_time);
    if (endpoint->record.failure_domain != request.failure_domain) score += 0.5 / slots;
    score += std::uniform_real_distribution<double>(0.0, 0.1 / slots)(random);
    if (by_time) score *= std::uniform_real_distribution<double>(1.0, 1.0 + kCallSpread)(random);
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
    if (!HasRoom(endpoint, request) || !FitsFill(endpoint, request)) continue;
    const double tokens = BacklogTokens(endpoint, request, candidate.in_view) +
                          candidate.rank_penalty_tokens + UnseenTokens(candidate, request) +
                          TieTokens(endpoint, request) + SuspicionPenalty(endpoint, request);
    if (best != nullptr && tokens >= best_tokens) continue;
    best = &endpoint;
    best_tokens = tokens;
  }
  const DirectoryEndpoint* preferred = FindPreferred(endpoints, request);
  if (preferred == nullptr) return best;
  const double limit =
      best_tokens + kPreferredBacklogTolerance * static_cast<double>(request.prompt_tokens);
  if (best == nullptr || BacklogTokens(*preferred, request, true) <= limit) return preferred;
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
    if (!FitsBackupFill(*endpoint, request)) continue;
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
