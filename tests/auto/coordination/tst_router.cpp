#include <criterion/criterion.h>

#include <map>

#include "coordination/router.h"

using namespace fulmarpoint;

namespace {

constexpr std::uint64_t kSeed = 20261204;

std::vector<RouteCandidate> Candidates(int count) {
  std::vector<RouteCandidate> candidates;
  for (int index = 0; index < count; ++index) {
    RouteCandidate candidate;
    candidate.endpoint = "e" + std::to_string(index);
    candidate.failure_domain = index % 2 == 0 ? "buda-a" : "pest-b";
    candidate.version = "v1";
    candidate.health.slots = 16;
    candidates.push_back(candidate);
  }
  return candidates;
}

std::map<std::size_t, int> Draw(const std::vector<RouteCandidate>& candidates,
                                const RouteRequest& request, int draws = 2000) {
  Random random(kSeed);
  std::map<std::size_t, int> counts;
  for (int draw = 0; draw < draws; ++draw) {
    const std::optional<RouteChoice> choice = ChooseEndpoint(candidates, request, random);
    if (choice) ++counts[choice->index];
  }
  return counts;
}

}  // namespace

// Guards against new work for an endpoint that must not receive it, however idle it is.
Test(router, never_chooses_leaving_excluded_full_or_other_version) {
  std::vector<RouteCandidate> candidates = Candidates(6);
  for (RouteCandidate& candidate : candidates) candidate.health.active = 12;
  candidates[0].health = EndpointHealthView{EndpointState::kLeaving, 1, 16, 0, 0};
  candidates[1].health.active = 0;
  candidates[2].version = "v2";
  candidates[3].free_credits = 0;
  candidates[4].health.active = 16;
  RouteRequest request;
  request.version = "v1";
  request.excluded = {"e1"};
  const std::map<std::size_t, int> counts = Draw(candidates, request);
  cr_assert_eq(counts.size(), 1u, "seed %lu", kSeed);
  cr_assert_eq(counts.begin()->first, 5u);
}

// Guards against daemons that all choose the same endpoint from the same stale load reports.
Test(router, spreads_requests_over_the_best_endpoints) {
  std::vector<RouteCandidate> candidates = Candidates(12);
  for (int index = 0; index < 12; ++index) candidates[index].health.active = index;
  const std::map<std::size_t, int> counts = Draw(candidates, RouteRequest{});
  for (const auto& [index, count] : counts) {
    cr_assert_lt(count, 1200, "endpoint %zu has %d of 2000, seed %lu", index, count, kSeed);
    cr_assert_lt(index, 6u, "a loaded endpoint was chosen, seed %lu", kSeed);
  }
  cr_assert_geq(counts.size(), 3u);
}

// Guards against resuming in the failure domain that is failing.
Test(router, avoids_the_failing_domain_unless_it_is_the_only_one) {
  std::vector<RouteCandidate> candidates = Candidates(6);
  for (RouteCandidate& candidate : candidates) candidate.health.active = 10;
  for (int index = 0; index < 6; index += 2) candidates[index].health.active = 0;
  RouteRequest request;
  request.failure_domain = "buda-a";
  request.avoided_domain = "buda-a";
  for (const auto& [index, count] : Draw(candidates, request)) cr_assert_eq(index % 2, 1u);
  candidates.resize(1);
  cr_assert_eq(Draw(candidates, request)[0], 2000);
}

// Guards against a suspect endpoint that receives non-idempotent work or more than its trial
// request.
Test(router, suspect_endpoint_gets_only_a_due_trial_of_idempotent_work) {
  std::vector<RouteCandidate> candidates = Candidates(3);
  candidates[1].health.state = EndpointState::kSuspect;
  cr_assert_eq(Draw(candidates, RouteRequest{}).count(1), 0u);
  candidates[1].health.trial_due = true;
  Random random(kSeed);
  const std::optional<RouteChoice> choice = ChooseEndpoint(candidates, RouteRequest{}, random);
  cr_assert(choice && choice->trial && choice->index == 1);
  RouteRequest once;
  once.may_try_suspect = false;
  cr_assert_eq(Draw(candidates, once).count(1), 0u);
}

// Guards against a cache hint that outweighs load, and against one that is ignored between equally
// loaded endpoints.
Test(router, cached_prefix_decides_among_equals_only) {
  std::vector<RouteCandidate> candidates = Candidates(9);
  for (RouteCandidate& candidate : candidates) candidate.failure_domain = "buda-a";
  candidates[8].cached_prefix_tokens = 1000;
  RouteRequest request;
  request.prompt_tokens = 1000;
  cr_assert_gt(Draw(candidates, request)[8], 1000);
  candidates[8].health.active = 15;
  cr_assert_eq(Draw(candidates, request).count(8), 0u);
}

// Guards against background work that occupies the last slots.
Test(router, background_work_leaves_room) {
  std::vector<RouteCandidate> candidates = Candidates(1);
  candidates[0].health.active = 14;
  RouteRequest request;
  request.priority = Priority::kBackground;
  cr_assert(Draw(candidates, request).empty());
  request.priority = Priority::kInteractive;
  cr_assert_eq(Draw(candidates, request)[0], 2000);
}
