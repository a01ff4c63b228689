#include "coordination/router.h"

#include <algorithm>

namespace fulmarpoint {

namespace {

// Share of an endpoint's slots that requests of each priority may occupy, indexed by `Priority`.
constexpr std::array<double, 3> kMaxSlotShare = {1.0, 1.0, 0.85};
// Score reduction for a prompt that is fully cached. Small, because prefill is a minor part of a
// long generation.
constexpr double kFullCacheHitBonus = 0.3;
constexpr double kRemoteDomainPenalty = 0.05;
constexpr double kAvoidedDomainPenalty = 10.0;
// Two candidates are drawn from the best third, but from at least this many.
constexpr std::size_t kMinBestCandidates = 3;

int Occupied(const RouteCandidate& candidate) {
  return candidate.health.active + candidate.health.queued + candidate.started_since_report;
}

bool HasRoom(const RouteCandidate& candidate, Priority priority) {
  if (candidate.free_credits) return *candidate.free_credits > 0;
  const double limit = kMaxSlotShare[static_cast<std::size_t>(priority)];
  return Occupied(candidate) < limit * candidate.health.slots;
}

bool Usable(const RouteCandidate& candidate, const RouteRequest& request) {
  if (candidate.health.state == EndpointState::kLeaving) return false;
  if (!request.version.empty() && candidate.version != request.version) return false;
  if (!HasRoom(candidate, request.priority)) return false;
  return std::find(request.excluded.begin(), request.excluded.end(), candidate.endpoint) ==
         request.excluded.end();
}

}  // namespace

double RouteScore(const RouteCandidate& candidate, const RouteRequest& request) {
  const double slots = std::max(1, candidate.health.slots);
  double score = (Occupied(candidate) + 1) / slots / std::max(0.05, candidate.health.speed_weight);
  if (request.prompt_tokens > 0) {
    const std::uint32_t cached = std::min(candidate.cached_prefix_tokens, request.prompt_tokens);
    score -= kFullCacheHitBonus * cached / request.prompt_tokens;
  }
  if (candidate.failure_domain != request.failure_domain) score += kRemoteDomainPenalty;
  const bool avoided =
      !request.avoided_domain.empty() && candidate.failure_domain == request.avoided_domain;
  return avoided ? score + kAvoidedDomainPenalty : score;
}

std::optional<RouteChoice> ChooseEndpoint(const std::vector<RouteCandidate>& candidates,
                                          const RouteRequest& request, Random& random) {
  std::vector<std::pair<double, std::size_t>> live;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    const RouteCandidate& candidate = candidates[index];
    if (!Usable(candidate, request)) continue;
    if (candidate.health.state == EndpointState::kLive) {
      live.emplace_back(RouteScore(candidate, request), index);
    } else if (candidate.health.trial_due && request.may_try_suspect) {
      return RouteChoice{index, true};
    }
  }
  if (live.empty()) return std::nullopt;
  const std::size_t best = std::min(live.size(), std::max(kMinBestCandidates, live.size() / 3));
  std::partial_sort(live.begin(), live.begin() + static_cast<std::ptrdiff_t>(best), live.end());
  // Candidates that score at least 1 worse than the best are left out, so a candidate in the
  // avoided domain or a very slow one is drawn only if there is no other.
  std::size_t comparable = 1;
  while (comparable < best && live[comparable].first < live[0].first + 1.0) ++comparable;
  std::uniform_int_distribution<std::size_t> draw(0, comparable - 1);
  const std::size_t chosen = std::min(draw(random), draw(random));
  return RouteChoice{live[chosen].second, false};
}

}  // namespace fulmarpoint
