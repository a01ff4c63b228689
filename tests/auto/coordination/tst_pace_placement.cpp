#include <criterion/criterion.h>

#include <map>

#include "coordination/relay_placement.h"

using namespace fulmarpoint;

namespace {

constexpr std::uint64_t kSeed = 20261206;
constexpr TimePoint kNow{std::chrono::seconds(100)};

/// Endpoints e0, e1, ... with ten slots.
struct Fleet {
  explicit Fleet(int count) {
    for (int index = 0; index < count; ++index) {
      DirectoryEndpoint endpoint;
      endpoint.record.id = "e" + std::to_string(index);
      endpoint.record.failure_domain = index % 2 == 0 ? "a" : "b";
      endpoint.record.slots = 10;
      endpoints.push_back(endpoint);
    }
  }
  /// The endpoint has reported the pace for a long time.
  void SetPace(std::size_t index, double pace) {
    for (int report = 30; report >= 0; --report) {
      endpoints[index].pace.OnReport(pace, kNow - report * std::chrono::milliseconds(200));
    }
  }
  void SetReportedRequests(std::size_t index, int running, TimePoint at) {
    endpoints[index].load.running = running;
    endpoints[index].load_seen = at;
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
  request.failure_domain = "c";
  request.now = kNow;
  request.prompt_tokens = 5000;
  request.kv_cache_tokens = 6000;
  request.engine_kv_cache_tokens = 60000;
  request.prefill_time = std::chrono::milliseconds(1000);
  return request;
}

std::string IdOf(const DirectoryEndpoint* endpoint) {
  return endpoint == nullptr ? "none" : endpoint->record.id;
}

}  // namespace

// Guards against streams that wait at an idle slow engine longer than at a fast one with a backlog.
Test(pace_placement, a_stream_goes_to_the_engine_that_starts_it_first) {
  Fleet fleet(2);
  fleet.SetPace(0, 1.6);
  fleet.SetPace(1, 0.6);
  fleet.endpoints[1].own.pending_prefill_tokens = 5000;
  cr_assert(IdOf(PlaceStream(fleet.Pointers(), Request())) == "e1");
  fleet.endpoints[1].own.pending_prefill_tokens = 15000;
  cr_assert(IdOf(PlaceStream(fleet.Pointers(), Request())) == "e0");
}

// Guards against a measured slowness that counts in addition to the stated pace.
Test(pace_placement, the_pace_replaces_the_measured_slowness) {
  Fleet fleet(2);
  fleet.SetPace(0, 0.6);
  fleet.endpoints[0].slowness = 4.0;
  fleet.endpoints[0].slowness_seen = kNow;
  cr_assert(IdOf(PlaceStream(fleet.Pointers(), Request())) == "e0");
}

// Guards against calls that go to slow endpoints as often as to fast ones.
Test(pace_placement, calls_go_to_endpoints_in_proportion_to_their_speed) {
  Fleet fleet(2);
  fleet.SetPace(0, 1.6);
  fleet.SetPace(1, 0.6);
  Random random(kSeed);
  for (int call = 0; call < 10; ++call) {
    const std::string id = IdOf(PlaceCall(fleet.Pointers(), Request(), random));
    ++fleet.endpoints[id == "e0" ? 0 : 1].own.requests;
  }
  cr_assert_geq(fleet.endpoints[1].own.requests, 6);
  cr_assert_geq(fleet.endpoints[0].own.requests, 2);
}

// Guards against daemons that do not see each other's requests and send too many to one endpoint.
Test(pace_placement, reported_requests_count_where_a_pace_is_reported) {
  Fleet fleet(2);
  fleet.SetPace(0, 1.0);
  fleet.SetPace(1, 1.0);
  fleet.SetReportedRequests(0, 8, kNow);
  Random random(kSeed);
  cr_assert(IdOf(PlaceCall(fleet.Pointers(), Request(), random)) == "e1");
  cr_assert(IdOf(PlaceStream(fleet.Pointers(), Request())) == "e1");
  fleet.SetReportedRequests(0, 8, kNow - std::chrono::minutes(1));
  fleet.endpoints[1].own.requests = 2;
  cr_assert(IdOf(PlaceCall(fleet.Pointers(), Request(), random)) == "e0", "the report is old");
}

// Guards against daemons that all select the same of several equal engines, and against a random
// choice where engines report no pace.
Test(pace_placement, almost_equal_engines_are_selected_at_random_if_they_report_a_pace) {
  constexpr std::size_t kEngines = 40;
  Fleet fleet(kEngines);
  PlacementRequest request = Request();
  request.ring = RingView{0.5, 0.1};
  const std::string first = IdOf(PlaceStream(fleet.Pointers(), request));
  for (request.tie_seed = 1; request.tie_seed < 200; ++request.tie_seed) {
    cr_assert(IdOf(PlaceStream(fleet.Pointers(), request)) == first);
  }
  for (std::size_t index = 0; index < kEngines; ++index) fleet.SetPace(index, 1.0);
  std::map<std::string, int> counts;
  for (request.tie_seed = 1; request.tie_seed < 200; ++request.tie_seed) {
    ++counts[IdOf(PlaceStream(fleet.Pointers(), request))];
  }
  cr_assert_geq(counts.size(), 3u);
}

// Guards against a resumed stream that misses the engine that has its prompt cached: daemons that
// all exchange heartbeats rank the engines for a prompt in the same order.
Test(pace_placement, the_ranking_by_prompt_is_kept_where_all_daemons_see_each_other) {
  Fleet fleet(4);
  for (std::size_t index = 0; index < 4; ++index) fleet.SetPace(index, 1.0);
  PlacementRequest request = Request();
  const std::string first = IdOf(PlaceStream(fleet.Pointers(), request));
  for (request.tie_seed = 1; request.tie_seed < 200; ++request.tie_seed) {
    cr_assert(IdOf(PlaceStream(fleet.Pointers(), request)) == first);
  }
}

// Guards against less urgent requests that take the last slots and KV cache, which more urgent ones
// need.
Test(pace_placement, the_fill_limit_leaves_room_for_more_urgent_requests) {
  Fleet fleet(1);
  PlacementRequest request = Request();
  request.fill = FillLimit{0.7, 0.7};
  fleet.endpoints[0].own.requests = 6;
  Random random(kSeed);
  cr_assert_not_null(PlaceStream(fleet.Pointers(), request));
  cr_assert_not_null(PlaceCall(fleet.Pointers(), request, random));
  fleet.endpoints[0].own.requests = 7;
  cr_assert_null(PlaceStream(fleet.Pointers(), request), "slots");
  cr_assert_null(PlaceCall(fleet.Pointers(), request, random), "slots");
  request.fill = FillLimit{};
  cr_assert_not_null(PlaceStream(fleet.Pointers(), request));
  fleet.endpoints[0].own.requests = 2;
  fleet.endpoints[0].own.kv_cache_tokens = 40000;
  request.fill = FillLimit{0.7, 0.7};
  cr_assert_null(PlaceStream(fleet.Pointers(), request), "KV cache");
  request.preferred = "e0";
  cr_assert_null(PlaceStream(fleet.Pointers(), request), "also of the preferred engine");
  request.fill.reset();
  cr_assert_not_null(PlaceStream(fleet.Pointers(), request));
}

// Guards against an engine that is filled by daemons which do not see each other's requests.
Test(pace_placement, the_fill_limit_counts_reported_requests) {
  Fleet fleet(1);
  PlacementRequest request = Request();
  request.fill = FillLimit{1.0, 1.0};
  fleet.SetReportedRequests(0, 10, kNow);
  cr_assert_null(PlaceStream(fleet.Pointers(), request));
  fleet.SetReportedRequests(0, 10, kNow - std::chrono::minutes(1));
  cr_assert_not_null(PlaceStream(fleet.Pointers(), request));
}

// Guards against less urgent requests that never run because of the limit.
Test(pace_placement, an_idle_engine_takes_any_request) {
  Fleet fleet(1);
  fleet.endpoints[0].record.slots = 1;
  PlacementRequest request = Request();
  request.kv_cache_tokens = 50000;
  request.fill = FillLimit{0.7, 0.7};
  cr_assert_not_null(PlaceStream(fleet.Pointers(), request));
}

// Guards against KV cache backups that take the room that requests need.
Test(pace_placement, backups_leave_room_for_requests) {
  Fleet fleet(2);
  PlacementRequest request = Request();
  request.backup_fill = FillLimit{0.6, 0.6};
  fleet.endpoints[1].own.kv_cache_tokens = 28000;
  cr_assert(IdOf(PlaceBackup(fleet.Pointers(), request, fleet.endpoints[0])) == "e1");
  fleet.endpoints[1].own.kv_cache_tokens = 32000;
  cr_assert_null(PlaceBackup(fleet.Pointers(), request, fleet.endpoints[0]));
  request.backup_fill.reset();
  cr_assert_not_null(PlaceBackup(fleet.Pointers(), request, fleet.endpoints[0]));
}
