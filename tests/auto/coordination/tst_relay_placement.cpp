#include <criterion/criterion.h>

#include <map>

#include "coordination/relay_placement.h"

using namespace fulmarpoint;

namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr TimePoint kNow{std::chrono::seconds(100)};

/// Endpoints e0, e1, ... in the failure domains a and b by turns.
struct Fleet {
  explicit Fleet(int count) {
    for (int index = 0; index < count; ++index) {
      DirectoryEndpoint endpoint;
      endpoint.record.id = "e" + std::to_string(index);
      endpoint.record.failure_domain = index % 2 == 0 ? "a" : "b";
      endpoint.record.slots = 8;
      endpoints.push_back(endpoint);
    }
  }
  std::vector<const DirectoryEndpoint*> Pointers() const {
    std::vector<const DirectoryEndpoint*> pointers;
    for (const DirectoryEndpoint& endpoint : endpoints) pointers.push_back(&endpoint);
    return pointers;
  }

  std::vector<DirectoryEndpoint> endpoints;
};

PlacementRequest Request() {
  PlacementRequest request;
  request.failure_domain = "a";
  request.now = kNow;
  request.prompt_tokens = 5000;
  request.kv_cache_tokens = 5800;
  request.engine_kv_cache_tokens = 55000;
  return request;
}

std::string IdOf(const DirectoryEndpoint* endpoint) {
  return endpoint == nullptr ? "none" : endpoint->record.id;
}

}  // namespace

// Guards against a stream that waits behind the prompts of others while an engine is idle.
Test(relay_placement, streams_go_where_least_is_to_be_read) {
  Fleet fleet(4);
  for (DirectoryEndpoint& endpoint : fleet.endpoints) endpoint.own.pending_prefill_tokens = 5000;
  fleet.endpoints[3].own.pending_prefill_tokens = 0;
  Random random(kSeed);
  cr_assert(IdOf(PlaceStream(fleet.Pointers(), Request())) == "e3");
  fleet.endpoints[3].peers.pending_prefill_tokens = 9000;
  cr_assert(IdOf(PlaceStream(fleet.Pointers(), Request())) != "e3", "placements of peers count");
}

// Guards against engines that preempt running generations because their memory is overcommitted.
Test(relay_placement, streams_and_copies_need_room) {
  Fleet fleet(3);
  for (DirectoryEndpoint& endpoint : fleet.endpoints) endpoint.own.kv_cache_tokens = 50000;
  Random random(kSeed);
  cr_assert_null(PlaceStream(fleet.Pointers(), Request()));
  fleet.endpoints[1].own.kv_cache_tokens = 49000;
  const DirectoryEndpoint* engine = PlaceStream(fleet.Pointers(), Request());
  cr_assert(IdOf(engine) == "e1");
  cr_assert_null(PlaceBackup(fleet.Pointers(), Request(), *engine));
}

// Guards against the loss of a run and its copy with one failure domain.
Test(relay_placement, copies_go_to_another_failure_domain) {
  Fleet fleet(6);
  fleet.endpoints[1].own.kv_cache_tokens = 20000;
  fleet.endpoints[3].own.kv_cache_tokens = 20000;
  fleet.endpoints[5].own.kv_cache_tokens = 30000;
  Random random(kSeed);
  for (int draw = 0; draw < 50; ++draw) {
    const DirectoryEndpoint* backup = PlaceBackup(fleet.Pointers(), Request(), fleet.endpoints[0]);
    cr_assert(IdOf(backup) == "e1" || IdOf(backup) == "e3", "%s", IdOf(backup).c_str());
  }
  PlacementRequest request = Request();
  request.excluded = {"e1", "e3", "e5"};
  const DirectoryEndpoint* backup = PlaceBackup(fleet.Pointers(), request, fleet.endpoints[0]);
  cr_assert_not_null(backup, "a copy in the same domain still helps against the loss of an engine");
}

// Guards against requests that try one dark endpoint of a failed domain after the other.
Test(relay_placement, suspected_endpoints_are_the_last_resort) {
  Fleet fleet(4);
  fleet.endpoints[0].suspected_until = kNow + std::chrono::seconds(1);
  fleet.endpoints[2].suspected_until = kNow + std::chrono::seconds(1);
  for (int index : {1, 3}) fleet.endpoints[static_cast<std::size_t>(index)].own.requests = 7;
  Random random(kSeed);
  PlacementRequest request = Request();
  request.preferred = "e0";
  for (int draw = 0; draw < 50; ++draw) {
    cr_assert(PlaceCall(fleet.Pointers(), request, random)->record.failure_domain == "b");
    cr_assert(PlaceStream(fleet.Pointers(), request)->record.failure_domain == "b");
  }
  request.excluded = {"e1", "e3"};
  cr_assert_not_null(PlaceCall(fleet.Pointers(), request, random));
}

// Guards against calls that pile up at one endpoint, or that cross failure domains without need.
Test(relay_placement, calls_go_to_the_emptiest_endpoint_nearby) {
  Fleet fleet(4);
  Random random(kSeed);
  std::map<std::string, int> counts;
  for (int draw = 0; draw < 200; ++draw) {
    ++counts[PlaceCall(fleet.Pointers(), Request(), random)->record.id];
  }
  cr_assert_eq(counts["e1"] + counts["e3"], 0, "seed %lu", kSeed);
  cr_assert(counts["e0"] > 50 && counts["e2"] > 50, "seed %lu", kSeed);
  fleet.endpoints[0].own.requests = 6;
  fleet.endpoints[2].own.requests = 6;
  cr_assert(PlaceCall(fleet.Pointers(), Request(), random)->record.failure_domain == "b");
}

// Guards against requests that an endpoint resets because it holds too many connections.
Test(relay_placement, endpoints_that_accept_no_more_connections_are_left_out) {
  Fleet fleet(2);
  fleet.endpoints[0].own.requests = 3;
  fleet.endpoints[0].peers.requests = 2;
  fleet.endpoints[1].own.requests = 4;
  fleet.endpoints[1].own.pending_prefill_tokens = 20000;
  PlacementRequest request = Request();
  request.max_requests = 5;
  request.preferred = "e0";
  Random random(kSeed);
  cr_assert(IdOf(PlaceStream(fleet.Pointers(), request)) == "e1");
  fleet.endpoints[1].own.requests = 5;
  cr_assert(IdOf(PlaceStream(fleet.Pointers(), request)) == "none");
  cr_assert(IdOf(PlaceCall(fleet.Pointers(), request, random)) == "none");
}
