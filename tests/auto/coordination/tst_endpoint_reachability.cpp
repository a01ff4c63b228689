#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <vector>

#include "coordination/endpoint_reachability.h"

using namespace fulmarpoint;

namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};

TimePoint At(int milliseconds) { return kStart + std::chrono::milliseconds(milliseconds); }

/// Model engines in three failure domains and one application engine in each.
std::vector<ReachabilityCandidate> Fleet() {
  std::vector<ReachabilityCandidate> fleet;
  for (const std::string domain : {"a", "b", "c"}) {
    fleet.push_back({"order-" + domain, "orders", domain});
    for (const std::string number : {"1", "2"}) {
      fleet.push_back({"draft-" + domain + number, "drafts", domain});
    }
  }
  return fleet;
}

const ReachabilityCandidate& Find(const std::vector<ReachabilityCandidate>& fleet,
                                  const EndpointId& id) {
  return *std::find_if(fleet.begin(), fleet.end(),
                       [&](const ReachabilityCandidate& candidate) { return candidate.id == id; });
}

void FailAll(EndpointReachability& reachability, const std::vector<ReachabilityCandidate>& fleet,
             const std::vector<EndpointId>& ids, TimePoint at) {
  for (const EndpointId& id : ids) reachability.OnConnectFailed(Find(fleet, id), at);
}

/// Isolates the daemon by the failure of two endpoints and of all probes.
void Isolate(EndpointReachability& reachability, const std::vector<ReachabilityCandidate>& fleet) {
  FailAll(reachability, fleet, {"order-a", "order-b"}, At(0));
  FailAll(reachability, fleet, reachability.TakeProbes(fleet, At(0)), At(120));
  reachability.TakeProbes(fleet, At(120));
  cr_assert(reachability.IsIsolated());
}

}  // namespace

// Guards against probes, which cost engines work, whenever a single engine is lost.
Test(endpoint_reachability, one_lost_endpoint_causes_no_probe) {
  EndpointReachability reachability;
  for (int failure = 0; failure < 5; ++failure) {
    reachability.OnConnectFailed(Fleet()[0], At(100 * failure));
    cr_assert_eq(reachability.TakeProbes(Fleet(), At(100 * failure)).size(), 0u);
  }
  cr_assert_not(reachability.NextProbe());
}

// Guards against a daemon that never notices that it is partitioned from all endpoints.
Test(endpoint_reachability, failed_probes_of_other_domains_isolate_the_daemon) {
  const std::vector<ReachabilityCandidate> fleet = Fleet();
  EndpointReachability reachability;
  FailAll(reachability, fleet, {"order-a", "draft-a1"}, At(0));
  const std::vector<EndpointId> probes = reachability.TakeProbes(fleet, At(0));
  cr_assert_eq(probes.size(), 3u);
  for (const EndpointId& id : probes) cr_assert_neq(Find(fleet, id).failure_domain, "a");
  FailAll(reachability, fleet, {probes[0], probes[1]}, At(120));
  reachability.TakeProbes(fleet, At(120));
  cr_assert_not(reachability.IsIsolated(), "a probe is still to answer");
  FailAll(reachability, fleet, {probes[2]}, At(121));
  reachability.TakeProbes(fleet, At(121));
  cr_assert(reachability.IsIsolated());
  cr_assert(*reachability.IsolatedSince() == At(0));
}

// Guards against daemons that turn callers away because all endpoints of one service are down.
Test(endpoint_reachability, a_service_that_is_down_does_not_isolate_the_daemon) {
  const std::vector<ReachabilityCandidate> fleet = Fleet();
  EndpointReachability reachability;
  FailAll(reachability, fleet, {"order-a", "order-b", "order-c"}, At(0));
  const std::vector<EndpointId> probes = reachability.TakeProbes(fleet, At(0));
  cr_assert_not(reachability.IsIsolated());
  for (const EndpointId& id : probes) cr_assert_eq(Find(fleet, id).service, "drafts");
  reachability.OnConnected(probes[0], At(0));
  FailAll(reachability, fleet, {"order-a", "order-b", "order-c"}, At(10));
  reachability.TakeProbes(fleet, At(10));
  cr_assert_not(reachability.IsIsolated());
}

// Guards against daemons that turn callers away because one failure domain is lost.
Test(endpoint_reachability, a_lost_failure_domain_does_not_isolate_the_daemon) {
  const std::vector<ReachabilityCandidate> fleet = Fleet();
  EndpointReachability reachability;
  FailAll(reachability, fleet, {"order-a", "draft-a1", "draft-a2"}, At(0));
  for (const EndpointId& id : reachability.TakeProbes(fleet, At(0)))
    reachability.OnConnected(id, At(0));
  reachability.TakeProbes(fleet, At(5));
  cr_assert_not(reachability.IsIsolated());
}

// Guards against failures that are counted together although endpoints were reached between them.
Test(endpoint_reachability, a_success_ends_the_suspicion) {
  const std::vector<ReachabilityCandidate> fleet = Fleet();
  EndpointReachability reachability;
  for (int round = 0; round < 10; ++round) {
    FailAll(reachability, fleet, {"order-a"}, At(100 * round));
    reachability.OnConnected("draft-b1", At(0));
    FailAll(reachability, fleet, {"order-b"}, At(100 * round + 50));
    cr_assert_eq(reachability.TakeProbes(fleet, At(100 * round + 50)).size(), 0u);
    reachability.OnConnected("draft-b1", At(0));
  }
  cr_assert_not(reachability.IsIsolated());
}

// Guards against failures of long ago that isolate a daemon with little traffic.
Test(endpoint_reachability, old_failures_do_not_count) {
  const std::vector<ReachabilityCandidate> fleet = Fleet();
  EndpointReachability reachability;
  FailAll(reachability, fleet, {"order-a"}, At(0));
  FailAll(reachability, fleet, {"order-b"}, At(2500));
  cr_assert_eq(reachability.TakeProbes(fleet, At(2500)).size(), 0u);
}

// Guards against a daemon that stays isolated after its path is back, and against one that returns
// and leaves with each connection that a lossy path lets through.
Test(endpoint_reachability, two_different_endpoints_end_the_isolation) {
  const std::vector<ReachabilityCandidate> fleet = Fleet();
  EndpointReachability reachability;
  Isolate(reachability, fleet);
  std::vector<EndpointId> probes = reachability.TakeProbes(fleet, At(400));
  cr_assert_eq(probes.size(), 1u);
  reachability.OnConnected(probes[0], At(401));
  reachability.OnConnected(probes[0], At(402));
  cr_assert(reachability.IsIsolated(), "it is the same endpoint");
  probes = reachability.TakeProbes(fleet, At(403));
  cr_assert_eq(probes.size(), 1u, "the next probe follows at once");
  FailAll(reachability, fleet, probes, At(500));
  cr_assert_eq(reachability.TakeProbes(fleet, At(501)).size(), 0u);
  probes = reachability.TakeProbes(fleet, At(2700));
  reachability.OnConnected(probes[0], At(2701));
  cr_assert(reachability.IsIsolated(), "the other success is too long ago");
  probes = reachability.TakeProbes(fleet, At(2702));
  reachability.OnConnected(probes[0], At(2703));
  cr_assert_not(reachability.IsIsolated());
  cr_assert_not(reachability.NextProbe());
}

// Guards against probes without end at one endpoint that happens to be down.
Test(endpoint_reachability, recovery_probes_rotate) {
  const std::vector<ReachabilityCandidate> fleet = Fleet();
  EndpointReachability reachability;
  Isolate(reachability, fleet);
  std::vector<EndpointId> probed;
  for (std::size_t round = 0; round < fleet.size(); ++round) {
    const TimePoint now = At(1000 + 300 * static_cast<int>(round));
    const std::vector<EndpointId> probes = reachability.TakeProbes(fleet, now);
    cr_assert_eq(probes.size(), 1u);
    probed.push_back(probes[0]);
    FailAll(reachability, fleet, probes, now);
  }
  std::sort(probed.begin(), probed.end());
  cr_assert(std::unique(probed.begin(), probed.end()) == probed.end());
}

// Guards against a daemon with a single known endpoint that never notices that it is isolated,
// because its caller asks for probes only when `NextProbe()` says so.
Test(endpoint_reachability, the_only_endpoint_isolates_the_daemon) {
  const std::vector<ReachabilityCandidate> fleet = {{"order-a", "orders", "a"}};
  EndpointReachability reachability;
  reachability.OnConnected("order-a", At(0));
  FailAll(reachability, fleet, {"order-a"}, At(0));
  if (reachability.NextProbe()) reachability.TakeProbes(fleet, At(0));
  cr_assert(reachability.IsIsolated());
}

// Guards against a daemon that stays isolated for good after a probe without a result, such as one
// that failed for lack of a descriptor.
Test(endpoint_reachability, a_probe_without_a_result_does_not_end_the_probes) {
  const std::vector<ReachabilityCandidate> fleet = Fleet();
  EndpointReachability reachability;
  Isolate(reachability, fleet);
  cr_assert_eq(reachability.TakeProbes(fleet, At(1000)).size(), 1u);
  cr_assert_eq(reachability.TakeProbes(fleet, At(60000)).size(), 1u);
}

// Guards against a daemon that stays isolated for good although half of the endpoints accept its
// connections, because every second one that it probes is down.
Test(endpoint_reachability, endpoints_that_are_down_do_not_prolong_the_isolation) {
  const std::vector<ReachabilityCandidate> fleet = {
      {"1", "orders", "a"}, {"2", "orders", "b"}, {"3", "orders", "a"}, {"4", "orders", "b"}};
  EndpointReachability reachability;
  FailAll(reachability, fleet, {"1", "2", "3", "4"}, At(0));
  reachability.TakeProbes(fleet, At(0));
  cr_assert(reachability.IsIsolated());
  for (int round = 1; round <= 200 && reachability.IsIsolated(); ++round) {
    const TimePoint now = At(300 * round);
    for (const EndpointId& id : reachability.TakeProbes(fleet, now)) {
      if (Find(fleet, id).failure_domain == "a") {
        reachability.OnConnected(id, now);
      } else {
        reachability.OnConnectFailed(Find(fleet, id), now);
      }
    }
  }
  cr_assert_not(reachability.IsIsolated());
}
