#include <criterion/criterion.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <vector>

#include "platform_world.h"
#include "transport/http_server.h"
#include "transport/udp_socket.h"

using namespace fulmarpoint;

namespace {

Task<int> StatusOf(PlatformWorld& world, std::string target, HttpHeaders headers = {}) {
  const HttpResult result = co_await world.Send("GET", std::move(target), std::move(headers));
  co_return result.error ? 0 : result.reply.status;
}

/// Sends requests until one gets a reply with `status`.
Task<void> WaitForStatus(PlatformWorld& world, std::string target, HttpHeaders headers,
                         int status) {
  const TimePoint limit = SteadyNow() + std::chrono::seconds(20);
  while (co_await StatusOf(world, target, headers) != status) {
    cr_assert(SteadyNow() < limit, "no answer with status %d", status);
    co_await Sleep(std::chrono::milliseconds(5));
  }
}

Task<void> UnknownIsRejected(PlatformWorld& world) {
  EndpointStandin& endpoint = world.AddEndpoint("orders", "a");
  co_await world.Start();
  cr_assert_eq(co_await StatusOf(world, "/nowhere/"), 404);
  cr_assert_eq(co_await StatusOf(world, "/look/x", OneHeader("Authorization", "Bearer wrong")),
               401);
  cr_assert_eq(co_await StatusOf(world, "/open/x", OneHeader("Authorization", "Bearer wrong")),
               200);
  cr_assert_eq(endpoint.seen.size(), 1u);
  cr_assert(endpoint.Header(0, "Fulmarpoint-Tenant") == "");
  cr_assert(endpoint.Header(0, "Authorization") == "");
}

Task<void> NewConfigurationTakesEffect(PlatformWorld& world) {
  world.AddEndpoint("orders", "a");
  co_await world.Start();
  const HttpHeaders second = OneHeader("Authorization", "Bearer key-2");
  cr_assert_eq(co_await StatusOf(world, "/look/x", second), 200);
  world.store->Put("op", "config", PlatformWorld::Configuration(5, R"(["key-1"])"));
  co_await WaitForStatus(world, "/look/x", second, 401);
  cr_assert_eq(co_await StatusOf(world, "/look/x"), 200);
  world.store->Put("op", "config", PlatformWorld::Configuration(4));
  world.store->Put("op", "config", "not a configuration");
  world.store->DropHistory();
  co_await Sleep(std::chrono::milliseconds(100));
  cr_assert_eq(co_await StatusOf(world, "/look/x", second), 401, "an older version never returns");
}

Task<void> RestoredStoreIsFollowed(PlatformWorld& world) {
  world.AddEndpoint("orders", "a");
  co_await world.Start();
  const HttpHeaders second = OneHeader("Authorization", "Bearer key-2");
  world.store->TakeCopy();
  for (int version = 2; version < 12; ++version) {
    world.store->Put("op", "config", PlatformWorld::Configuration(version, R"(["key-1"])"));
  }
  co_await WaitForStatus(world, "/look/x", second, 401);
  world.store->Restore();
  co_await Sleep(std::chrono::milliseconds(300));
  cr_assert_eq(co_await StatusOf(world, "/look/x", second), 401, "a removed key never returns");
  // The versions of the restored store are still below those from before.
  world.store->Put("op", "config", PlatformWorld::Configuration(12));
  co_await WaitForStatus(world, "/look/x", second, 200);
}

Task<std::size_t> CountLookupAddresses(PlatformWorld& world) {
  const HttpResult lookup = co_await world.Lookup();
  if (lookup.error || lookup.reply.status != 200) co_return 0;
  co_return nlohmann::json::parse(lookup.reply.body).at("addrs").size();
}

Task<void> RestoredStoreLacksDaemons(PlatformWorld& world) {
  world.AddEndpoint("orders", "a");
  world.store->Put("op", "config", PlatformWorld::Configuration(1));
  world.store->TakeCopy();
  co_await world.Start();
  world.peer = world.StartPeer("daemon-2");
  while (co_await CountLookupAddresses(world) < 2) co_await Sleep(std::chrono::milliseconds(5));
  world.store->Restore();
  const auto are_registered = [&world]() {
    return world.store->Has("fulmarpoint-daemons", "daemon-1") &&
           world.store->Has("fulmarpoint-daemons", "daemon-2");
  };
  cr_assert_not(are_registered());
  std::size_t fewest = 2;
  const TimePoint end = SteadyNow() + std::chrono::seconds(1);
  while (SteadyNow() < end || !are_registered()) {
    fewest = std::min(fewest, co_await CountLookupAddresses(world));
    co_await Sleep(std::chrono::milliseconds(5));
  }
  cr_assert_eq(fewest, 2u, "both daemons live all the time");
}

Task<void> RestoredStoreHasEarlierProcess(PlatformWorld& world) {
  world.AddEndpoint("orders", "a");
  co_await world.Start();
  const auto own_row = [&world]() { return world.store->Value("fulmarpoint-daemons", "daemon-1"); };
  co_await PlatformWorld::WaitFor([&own_row]() { return !own_row().empty(); });
  const std::string latest = own_row();
  nlohmann::json earlier = nlohmann::json::parse(latest);
  earlier["incarnation"] = 1;
  world.store->Put("fulmarpoint-daemons", "daemon-1", earlier.dump());
  co_await PlatformWorld::WaitFor([&]() { return own_row() == latest; });
}

Task<void> KeysNeedRecentConfirmation(PlatformWorld& world) {
  EndpointStandin& endpoint = world.AddEndpoint("orders", "a");
  // Longer than two watches, so that the confirmation stays valid while the store replies.
  world.settings.key_revocation_time = std::chrono::milliseconds(3600);
  co_await world.Start();
  cr_assert_eq(co_await StatusOf(world, "/look/x"), 200);
  world.store->Hang(true);
  co_await PlatformWorld::WaitFor([&world]() { return !world.daemon->IsServing(); });
  const std::size_t before = endpoint.seen.size();
  cr_assert_eq(co_await StatusOf(world, "/look/x"), 503, "the key may have been removed");
  cr_assert_eq(co_await StatusOf(world, "/nowhere/"), 503, "the route may have been added");
  cr_assert_eq(endpoint.seen.size(), before);
  cr_assert_eq(co_await StatusOf(world, "/open/x"), 200);
  const HttpResult lookup = co_await world.Lookup();
  cr_assert_eq(lookup.reply.status, 503);
  world.store->Hang(false);
  co_await WaitForStatus(world, "/look/x", HttpHeaders(), 200);
}

Task<void> ChangedRevocationTime(PlatformWorld& world) {
  EndpointStandin& endpoint = world.AddEndpoint("orders", "a");
  world.settings.key_revocation_time = std::chrono::hours(1);
  co_await world.Start();
  world.store->Hang(true);
  cr_assert_eq(co_await StatusOf(world, "/look/x"), 200);
  const std::size_t before = endpoint.seen.size();
  RelaySettings changed = world.settings;
  // Shorter than the age of any confirmation.
  changed.key_revocation_time = Duration(1);
  world.daemon->ApplySettings(changed);
  cr_assert_not(world.daemon->IsServing());
  cr_assert_eq(co_await StatusOf(world, "/look/x"), 503, "the key may have been removed");
  cr_assert_eq(endpoint.seen.size(), before);
  changed.when_freshness_expired = ExpiredConfigurationPolicy::kServe;
  world.daemon->ApplySettings(changed);
  cr_assert_eq(co_await StatusOf(world, "/look/x"), 200);
}

Task<void> ExpiredConfirmationMayServe(PlatformWorld& world) {
  EndpointStandin& endpoint = world.AddEndpoint("orders", "a");
  world.settings.key_revocation_time = std::chrono::milliseconds(600);
  world.settings.when_freshness_expired = ExpiredConfigurationPolicy::kServe;
  co_await world.Start();
  world.store->Hang(true);
  // A daemon whose confirmation has expired must not state that something does not exist.
  co_await WaitForStatus(world, "/nowhere/", HttpHeaders(), 503);
  const HttpHeaders unknown_key = OneHeader("Authorization", "Bearer wrong");
  cr_assert_eq(co_await StatusOf(world, "/look/x", unknown_key), 503, "it may have been added");
  const std::size_t before = endpoint.seen.size();
  cr_assert_eq(co_await StatusOf(world, "/look/x"), 200);
  cr_assert_eq(endpoint.seen.size(), before + 1);
  cr_assert(world.daemon->IsServing());
  const HttpResult lookup = co_await world.Lookup();
  cr_assert_eq(lookup.reply.status, 200);
  // Once the store is reachable again, its configuration applies.
  world.store->Put("op", "config", PlatformWorld::Configuration(5, R"(["key-2"])"));
  world.store->Hang(false);
  co_await WaitForStatus(world, "/look/x", HttpHeaders(), 401);
}

Task<void> NothingIsServedWithoutConfiguration(PlatformWorld& world) {
  world.AddEndpoint("orders", "a");
  world.StartDaemon();
  cr_assert_eq(co_await StatusOf(world, "/look/x"), 503);
  const HttpResult lookup = co_await world.Lookup();
  cr_assert_eq(lookup.reply.status, 503);
  world.store->Put("op", "config", PlatformWorld::Configuration(1));
  co_await WaitForStatus(world, "/look/x", HttpHeaders(), 200);
}

Task<void> DrainingAndRemovedEndpointsGetNoRequests(PlatformWorld& world) {
  EndpointStandin& first = world.AddEndpoint("orders", "a");
  EndpointStandin& second = world.AddEndpoint("orders", "a");
  world.store->Put("servers", "i-broken", R"({"service":"orders","address":7})");
  world.store->Put("servers", "i-odd", "\xff\xfe");
  co_await world.Start();
  world.List(first, "orders", "a", "draining");
  co_await Sleep(std::chrono::milliseconds(100));
  const std::size_t before = first.seen.size();
  for (int request = 0; request < 10; ++request) {
    cr_assert_eq(co_await StatusOf(world, "/look/x"), 200);
  }
  cr_assert_eq(first.seen.size(), before);
  world.List(first, "orders", "a");
  world.store->Remove("servers", second.Id());
  co_await Sleep(std::chrono::milliseconds(100));
  const std::size_t before_removal = second.seen.size();
  for (int request = 0; request < 10; ++request) {
    cr_assert_eq(co_await StatusOf(world, "/look/x"), 200);
  }
  cr_assert_eq(second.seen.size(), before_removal);
}

Task<void> PlannedStopCompletesRequests(PlatformWorld& world) {
  EndpointStandin& engine = world.AddEndpoint("drafts", "a");
  engine.event_interval = std::chrono::milliseconds(40);
  world.settings.lookup_ttl = std::chrono::milliseconds(50);
  co_await world.Start();
  co_await PlatformWorld::WaitFor(
      [&world]() { return world.store->Has("fulmarpoint-daemons", "daemon-1"); });
  bool stopped = false;
  bool answered = false;
  Spawn(world.loop.GetExecutor(), [&]() -> Task<void> {
    const HttpResult result = co_await world.Send("POST", "/stream/x");
    cr_assert_not(result.error, "a planned stop breaks no request");
    answered = true;
  });
  co_await PlatformWorld::WaitFor([&engine]() { return !engine.seen.empty(); });
  world.daemon->RequestStop([&stopped]() { stopped = true; });
  const HttpResult lookup = co_await world.Lookup();
  cr_assert_eq(lookup.reply.status, 503, "no daemon is left to name");
  co_await PlatformWorld::WaitFor([&]() { return stopped && answered; });
  cr_assert_not(world.store->Has("fulmarpoint-daemons", "daemon-1"));
}

Task<void> DaemonReplicatesFromPeer(PlatformWorld& world) {
  world.AddEndpoint("orders", "a");
  world.settings.min_daemons_for_peer_replication = 2;
  co_await world.Start();
  world.peer = world.StartPeer("daemon-2");
  co_await PlatformWorld::WaitFor([&world]() {
    return world.daemon->ReplicatesFromPeer() != world.peer->ReplicatesFromPeer();
  });
  // Send the requests to the daemon that replicates from the other.
  if (!world.daemon->ReplicatesFromPeer()) std::swap(world.daemon, world.peer);
  // A daemon has a replication source from its start, before it has read all tables.
  co_await PlatformWorld::WaitFor([&world]() { return world.daemon->IsServing(); });
  const HttpHeaders second = OneHeader("Authorization", "Bearer key-2");
  cr_assert_eq(co_await StatusOf(world, "/look/x", second), 200);
  world.store->Put("op", "config", PlatformWorld::Configuration(5, R"(["key-1"])"));
  co_await WaitForStatus(world, "/look/x", second, 401);
  cr_assert(world.daemon->ReplicatesFromPeer());
  bool stopped = false;
  world.peer->RequestStop([&stopped]() { stopped = true; });
  co_await PlatformWorld::WaitFor([&]() { return stopped && !world.daemon->ReplicatesFromPeer(); });
  world.store->Put("op", "config", PlatformWorld::Configuration(6));
  co_await WaitForStatus(world, "/look/x", second, 200);
}

Task<void> NeighboursLendRetryQuota(PlatformWorld& world) {
  EndpointStandin& full = world.AddEndpoint("orders", "a");
  full.behaviour = EndpointBehaviour::kReject;
  world.AddEndpoint("orders", "b");
  // Each of two daemons may retry three requests in a window.
  world.settings.retry_share = 0.0;
  world.settings.retry_slack = 8.0;
  co_await world.Start();
  world.peer = world.StartPeer("daemon-2");
  std::size_t listed = 0;
  while (listed < 2) {
    const HttpResult lookup = co_await world.Lookup();
    listed = nlohmann::json::parse(lookup.reply.body).at("addrs").size();
    co_await Sleep(std::chrono::milliseconds(5));
  }
  std::vector<int> statuses;
  for (int request = 0; request < 7; ++request) {
    statuses.push_back(co_await StatusOf(world, "/look/x"));
    // Wait until the cool-down of the endpoint that rejected the request has passed.
    co_await Sleep(std::chrono::milliseconds(150));
  }
  cr_assert_eq(full.seen.size(), 7u, "each request was refused first");
  cr_assert_eq(std::count(statuses.begin(), statuses.end(), 200), 6);
  cr_assert_eq(statuses.back(), 503, "the limit of the fleet holds");
}

Task<void> StartsWithManyPortsTaken(PlatformWorld& world) {
  constexpr int kPortsTaken = 150;
  constexpr int kStarts = 400;
  std::vector<std::unique_ptr<UdpSocket>> udp;
  std::vector<std::unique_ptr<HttpServer>> tcp;
  for (int index = 0; index < kPortsTaken; ++index) {
    udp.push_back(std::make_unique<UdpSocket>(world.loop.GetExecutor()));
    cr_assert_not(udp.back()->Open("127.0.0.1:0"));
    tcp.push_back(std::make_unique<HttpServer>(world.loop.GetExecutor(), HttpServerLimits(),
                                               HttpHandler(), HttpRejectionReply()));
    cr_assert_not(tcp.back()->Listen("127.0.0.1:0"));
  }
  for (int start = 0; start < kStarts; ++start) {
    world.StartPeer("daemon-2").reset();
    // Let the event loop release the closed sockets.
    co_await Sleep(std::chrono::milliseconds(1));
  }
}

Task<void> LookupNamesTheDaemon(PlatformWorld& world) {
  world.AddEndpoint("orders", "a");
  co_await world.Start();
  const HttpResult lookup = co_await world.Lookup();
  cr_assert_eq(lookup.reply.status, 200);
  const nlohmann::json json = nlohmann::json::parse(lookup.reply.body);
  cr_assert(json.at("addrs").at(0).get<std::string>() == world.daemon->CallerAddress());
  cr_assert(json.at("ttlS").get<int>() >= 1);
}

}  // namespace

// Guards against unauthorized requests that run, and public routes that require a key.
Test(configuration, unknown_routes_and_keys_are_rejected) { RunTest(&UnknownIsRejected); }

// Guards against a configuration that does not take effect, is reverted to an older version, or is
// replaced by a malformed one.
Test(configuration, only_newer_versions_take_effect) { RunTest(&NewConfigurationTakesEffect); }

// Guards against requests that are rejected although the fleet-wide limit on retries is not used
// up.
Test(configuration, neighbours_lend_retry_quota) { RunTest(&NeighboursLendRetryQuota); }

// Guards against a daemon that goes back to the configuration of a copy from which the store was
// restored, or takes over no later one.
Test(configuration, a_store_restored_from_a_copy_is_followed) { RunTest(&RestoredStoreIsFollowed); }

// Guards against daemons that lookups no longer name because a copy from which the store was
// restored lacks their rows.
Test(configuration, daemons_register_again_after_a_restore) { RunTest(&RestoredStoreLacksDaemons); }

// Guards against a row of an earlier process of the daemon that stays after a restore.
Test(configuration, the_row_of_an_earlier_process_is_replaced) {
  RunTest(&RestoredStoreHasEarlierProcess);
}

// Guards against a removed key that still works on a daemon that cannot reach the store.
Test(configuration, keys_need_a_recent_confirmation) { RunTest(&KeysNeedRecentConfirmation); }

// Guards against a removed key that works for as long as the settings at the start allowed,
// although they have changed since (review/12).
Test(configuration, a_changed_revocation_time_is_applied) { RunTest(&ChangedRevocationTime); }

// Guards against rejected requests during an outage of the store when the settings allow requests
// with keys that may have been removed meanwhile.
Test(configuration, a_daemon_may_serve_after_its_confirmation_expires) {
  RunTest(&ExpiredConfirmationMayServe);
}

// Guards against a daemon that replies 404 or 401 before it has read a configuration.
Test(configuration, nothing_is_denied_before_a_configuration_is_known) {
  RunTest(&NothingIsServedWithoutConfiguration);
}

// Guards against requests to draining or removed endpoints, and malformed rows that stop the
// daemon.
Test(configuration, draining_and_removed_endpoints_get_no_requests) {
  RunTest(&DrainingAndRemovedEndpointsGetNoRequests);
}

// Guards against a planned stop that breaks a stream or leaves the daemon's row in the store.
Test(configuration, a_planned_stop_completes_requests) { RunTest(&PlannedStopCompletesRequests); }

// Guards against a replica that misses a change, keeps a removed key, or stops being updated when
// its replication source stops.
Test(configuration, a_daemon_may_replicate_from_a_peer) { RunTest(&DaemonReplicatesFromPeer); }

// Guards against a daemon that fails to start because the port it got for UDP is in use for TCP, or
// vice versa. This happened once when tests ran in parallel.
Test(configuration, a_daemon_starts_while_others_hold_ports) { RunTest(&StartsWithManyPortsTaken); }

// Guards against lookup answers that callers cannot use.
Test(configuration, a_lookup_names_the_daemon) { RunTest(&LookupNamesTheDaemon); }
