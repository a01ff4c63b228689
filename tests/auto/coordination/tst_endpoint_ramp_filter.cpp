#include <criterion/criterion.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>

#include "coordination/endpoint_ramp_filter.h"

using namespace fulmarpoint;

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr TimePoint kLater = kStart + std::chrono::minutes(1);

RampFleet OneDaemon() { return {1, std::nullopt, ""}; }

EndpointRecord Record(const EndpointId& id, std::int64_t incarnation = 1) {
  EndpointRecord record;
  record.id = id;
  record.service = "chat";
  record.address = id + ":80";
  record.failure_domain = "a";
  record.slots = 16;
  record.version = "v1";
  record.incarnation = incarnation;
  return record;
}

/// Adds endpoints that have been in service for a long time.
void AddSteady(EndpointDirectory& directory, int count) {
  for (int i = 0; i < count; ++i) {
    const EndpointId id = "e" + std::to_string(i);
    directory.Put(Record(id), kStart);
    directory.OnFirstEvent(id, 1.0, kStart + std::chrono::seconds(3));
  }
}

bool MayUse(const EndpointDirectory& directory, const EndpointId& id, const RampFleet& fleet,
            TimePoint now) {
  const std::vector<const DirectoryEndpoint*> admitted =
      WithoutRampLimited(directory.Usable("chat", now), fleet, now);
  return std::any_of(admitted.begin(), admitted.end(), [&id](const DirectoryEndpoint* endpoint) {
    return endpoint->record.id == id;
  });
}

/// Returns how many of `daemons` may send a request to an engine when it has just started.
int DaemonsAtStart(int daemons, TimePoint now) {
  EndpointDirectory directory;
  AddSteady(directory, 180);
  directory.Put(Record("e7", 2), kLater);
  int admitted = 0;
  for (int i = 0; i < daemons; ++i) {
    RampFleet fleet;
    fleet.daemons = static_cast<std::size_t>(daemons);
    // As `PeerDirectory::View` with ten neighbours.
    if (daemons > 11) fleet.ring = RingView{static_cast<double>(i) / daemons, 2.5 / daemons};
    if (MayUse(directory, "e7", fleet, now)) ++admitted;
  }
  return admitted;
}

}  // namespace

// Guards against more than a few unproven requests at an engine, however many daemons there are.
Test(endpoint_ramp_filter, the_fleet_sends_few_unproven_requests) {
  cr_assert_eq(DaemonsAtStart(6, kLater), 6);
  cr_assert_leq(DaemonsAtStart(72, kLater), 10);
  cr_assert_leq(DaemonsAtStart(350, kLater), 10);
  cr_assert_geq(DaemonsAtStart(72, kLater), 9);
  cr_assert_geq(DaemonsAtStart(350, kLater), 9);
  const TimePoint after_delay = kLater + std::chrono::seconds(2);
  cr_assert_eq(DaemonsAtStart(350, after_delay), 350);
}

// Guards against requests beyond the limit, and a limit on endpoints that have not started.
Test(endpoint_ramp_filter, removes_endpoints_that_may_not_take_another_request) {
  EndpointDirectory directory;
  AddSteady(directory, 4);
  directory.Put(Record("e0", 2), kLater);
  cr_assert(MayUse(directory, "e0", OneDaemon(), kLater));
  directory.AddUse({"e0", 0, 0, true});
  directory.AddUse({"e1", 0, 0, true});
  cr_assert_not(MayUse(directory, "e0", OneDaemon(), kLater));
  cr_assert(MayUse(directory, "e1", OneDaemon(), kLater));
  directory.OnFirstEvent("e0", 1.0, kLater);
  cr_assert(MayUse(directory, "e0", OneDaemon(), kLater));
  directory.AddUse({"e0", 0, 0, true});
  cr_assert_not(MayUse(directory, "e0", OneDaemon(), kLater));
  directory.OnCallLatency("e0", 1.0, kLater);
  cr_assert(MayUse(directory, "e0", OneDaemon(), kLater));
  directory.OnRejected("e0", kLater);
  const TimePoint after_rejection = kLater + std::chrono::milliseconds(150);
  cr_assert(directory.IsUsable("e0", after_rejection));
  cr_assert_not(MayUse(directory, "e0", OneDaemon(), after_rejection));
}

// Guards against requests that are rejected although an endpoint could take them.
Test(endpoint_ramp_filter, keeps_all_endpoints_if_none_may_take_another_request) {
  EndpointDirectory directory;
  AddSteady(directory, 1);
  directory.OnErrorReply("e0", kLater);
  directory.OnRequestSent("e0", kLater);
  const DirectoryEndpoint& endpoint = *directory.Find("e0");
  cr_assert_not(endpoint.ramp.MayTake(0, RampConditions{16, 1, true, 1.0}, kLater));
  cr_assert(MayUse(directory, "e0", OneDaemon(), kLater));
  cr_assert(WithoutRampLimited({}, OneDaemon(), kLater).empty());
}

// Guards against traffic to an endpoint whose health is good and whose replies are errors.
Test(endpoint_ramp_filter, error_replies_leave_single_probes) {
  EndpointDirectory directory;
  AddSteady(directory, 4);
  directory.OnErrorReply("e0", kLater);
  directory.OnSuccess("e0");
  cr_assert(directory.IsUsable("e0", kLater), "no cool-down");
  cr_assert_not(MayUse(directory, "e0", OneDaemon(), kLater));
  const TimePoint probe = kLater + std::chrono::milliseconds(200);
  cr_assert(MayUse(directory, "e0", OneDaemon(), probe));
  directory.OnRequestSent("e0", probe);
  cr_assert_not(MayUse(directory, "e0", OneDaemon(), probe));
}

// Guards against several requests at an endpoint when its cool-down has ended.
Test(endpoint_ramp_filter, a_connection_failure_leaves_single_probes) {
  EndpointDirectory directory;
  AddSteady(directory, 4);
  directory.OnFailure("e0", kLater);
  const TimePoint probe = kLater + std::chrono::milliseconds(400);
  cr_assert(MayUse(directory, "e0", OneDaemon(), probe));
  directory.OnRequestSent("e0", probe);
  cr_assert_not(MayUse(directory, "e0", OneDaemon(), probe));
  directory.OnFirstEvent("e0", 1.0, probe);
  cr_assert(MayUse(directory, "e0", OneDaemon(), probe));
}

// Guards against idle endpoints when most of a service has just returned, and when a daemon that
// has just started sees all endpoints for the first time.
Test(endpoint_ramp_filter, limits_nothing_if_most_endpoints_have_returned) {
  EndpointDirectory directory;
  AddSteady(directory, 10);
  for (int i = 0; i < 10; ++i) directory.AddUse({"e" + std::to_string(i), 0, 0, true});
  for (int i = 0; i < 5; ++i) directory.Put(Record("e" + std::to_string(i), 2), kLater);
  cr_assert_not(MayUse(directory, "e0", OneDaemon(), kLater));
  directory.Put(Record("e5", 2), kLater);
  cr_assert(MayUse(directory, "e0", OneDaemon(), kLater));
}

// Guards against a daemon that never limits because it has not used most endpoints since it first
// saw them, or since they failed.
Test(endpoint_ramp_filter, unused_endpoints_do_not_count_as_returned_for_long) {
  for (const bool have_failed : {false, true}) {
    EndpointDirectory directory;
    for (int i = 0; i < 10; ++i) {
      const EndpointId id = "e" + std::to_string(i);
      directory.Put(Record(id), kStart);
      if (have_failed) directory.OnErrorReply(id, kStart);
    }
    directory.Put(Record("e0", 2), kLater);
    directory.AddUse({"e0", 0, 0, true});
    directory.OnRequestSent("e0", kLater);
    cr_assert_not(MayUse(directory, "e0", OneDaemon(), kLater));
    cr_assert(MayUse(directory, "e1", OneDaemon(), kLater));
  }
}

// Guards against a rollout whose new version cannot take its share.
Test(endpoint_ramp_filter, the_new_version_of_a_rollout_is_not_limited) {
  EndpointDirectory directory;
  AddSteady(directory, 4);
  EndpointRecord record = Record("e0", 2);
  record.version = "v2";
  directory.Put(record, kLater);
  directory.AddUse({"e0", 0, 0, true});
  cr_assert_not(MayUse(directory, "e0", OneDaemon(), kLater));
  const RampFleet rollout{1, std::nullopt, "v2"};
  cr_assert(MayUse(directory, "e0", rollout, kLater));
}

// Guards against a ramp that starts anew with each change of the endpoint's row.
Test(endpoint_ramp_filter, a_changed_row_of_the_same_process_starts_no_ramp) {
  EndpointDirectory directory;
  AddSteady(directory, 4);
  directory.AddUse({"e0", 0, 0, true});
  EndpointRecord record = Record("e0");
  record.slots = 12;
  directory.Put(record, kLater);
  cr_assert(MayUse(directory, "e0", OneDaemon(), kLater));
}
