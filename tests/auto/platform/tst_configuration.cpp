#include <criterion/criterion.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <vector>

#include "platform_world.h"
#include "transport/http_server.h"
#include "transport/udp_socket.h"

using namespace fulmarpoint;

namespace {

void RunTest(Task<void> (*test)(PlatformWorld&)) {
  PlatformWorld world;
  world.Run([&world, test]() { return test(world); });
}

Task<int> StatusOf(PlatformWorld& world, std::string target, HttpHeaders headers = {}) {
  const HttpResult result = co_await world.Send("GET", std::move(target), std::move(headers));
  co_return result.error ? 0 : result.reply.status;
}

/// Sends requests until one is answered with `status`.
Task<void> AwaitStatus(PlatformWorld& world, std::string target, HttpHeaders headers, int status) {
  const TimePoint limit = SteadyNow() + std::chrono::seconds(20);
  while (co_await StatusOf(world, target, headers) != status) {
    cr_assert(SteadyNow() < limit, "no answer with status %d", status);
    co_await Sleep(std::chrono::milliseconds(5));
  }
}

Task<void> UnknownIsRefused(PlatformWorld& world) {
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
  co_await AwaitStatus(world, "/look/x", second, 401);
  cr_assert_eq(co_await StatusOf(world, "/look/x"), 200);
  world.store->Put("op", "config", PlatformWorld::Configuration(4));
  world.store->Put("op", "config", "not a configuration");
  world.store->DropHistory();
  co_await Sleep(std::chrono::milliseconds(100));
  cr_assert_eq(co_await StatusOf(world, "/look/x", second), 401, "an older version never returns");
}

Task<void> KeysNeedFreshness(PlatformWorld& world) {
  EndpointStandin& endpoint = world.AddEndpoint("orders", "a");
  // Longer than two watches, so that the proof holds while the store answers.
  world.settings.key_revocation = std::chrono::milliseconds(3600);
  co_await world.Start();
  cr_assert_eq(co_await StatusOf(world, "/look/x"), 200);
  world.store->Hang(true);
  co_await PlatformWorld::WaitFor([&world]() { return !world.daemon->IsReady(); });
  const std::size_t before = endpoint.seen.size();
  cr_assert_eq(co_await StatusOf(world, "/look/x"), 503, "the key may have been removed");
  cr_assert_eq(co_await StatusOf(world, "/nowhere/"), 503, "the route may have been added");
  cr_assert_eq(endpoint.seen.size(), before);
  cr_assert_eq(co_await StatusOf(world, "/open/x"), 200);
  const HttpResult lookup = co_await world.Lookup();
  cr_assert_eq(lookup.reply.status, 503);
  world.store->Hang(false);
  co_await AwaitStatus(world, "/look/x", HttpHeaders(), 200);
}

Task<void> ExpiredProofsMayServe(PlatformWorld& world) {
  EndpointStandin& endpoint = world.AddEndpoint("orders", "a");
  world.settings.key_revocation = std::chrono::milliseconds(600);
  world.settings.when_proof_expired = ExpiredConfigurationPolicy::kServe;
  co_await world.Start();
  world.store->Hang(true);
  // A daemon with an expired proof does not say that something does not exist.
  co_await AwaitStatus(world, "/nowhere/", HttpHeaders(), 503);
  const HttpHeaders unknown_key = OneHeader("Authorization", "Bearer wrong");
  cr_assert_eq(co_await StatusOf(world, "/look/x", unknown_key), 503, "it may have been added");
  const std::size_t before = endpoint.seen.size();
  cr_assert_eq(co_await StatusOf(world, "/look/x"), 200);
  cr_assert_eq(endpoint.seen.size(), before + 1);
  cr_assert(world.daemon->IsReady());
  const HttpResult lookup = co_await world.Lookup();
  cr_assert_eq(lookup.reply.status, 200);
  // Once the store is back, what it says counts again.
  world.store->Put("op", "config", PlatformWorld::Configuration(5, R"(["key-2"])"));
  world.store->Hang(false);
  co_await AwaitStatus(world, "/look/x", HttpHeaders(), 401);
}

Task<void> NothingIsServedWithoutConfiguration(PlatformWorld& world) {
  world.AddEndpoint("orders", "a");
  world.StartDaemon();
  cr_assert_eq(co_await StatusOf(world, "/look/x"), 503);
  const HttpResult lookup = co_await world.Lookup();
  cr_assert_eq(lookup.reply.status, 503);
  world.store->Put("op", "config", PlatformWorld::Configuration(1));
  co_await AwaitStatus(world, "/look/x", HttpHeaders(), 200);
}

Task<void> LeavingEndpointsGetNothing(PlatformWorld& world) {
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

Task<void> StopServesOut(PlatformWorld& world) {
  EndpointStandin& engine = world.AddEndpoint("drafts", "a");
  engine.event_interval = std::chrono::milliseconds(40);
  world.settings.lookup_keep = std::chrono::milliseconds(50);
  co_await world.Start();
  co_await PlatformWorld::WaitFor(
      [&world]() { return world.store->Has("fulmarpoint-daemons", "daemon-1"); });
  bool stopped = false;
  bool answered = false;
  Spawn(world.loop.GetExecutor(), [&]() -> Task<void> {
    const HttpResult result = co_await world.Send("POST", "/stream/x");
    cr_assert_not(result.error, "a planned stop cuts no request");
    answered = true;
  });
  co_await PlatformWorld::WaitFor([&engine]() { return !engine.seen.empty(); });
  world.daemon->RequestStop([&stopped]() { stopped = true; });
  const HttpResult lookup = co_await world.Lookup();
  cr_assert_eq(lookup.reply.status, 503, "no daemon is left to name");
  co_await PlatformWorld::WaitFor([&]() { return stopped && answered; });
  cr_assert_not(world.store->Has("fulmarpoint-daemons", "daemon-1"));
}

Task<void> PeersShareTheirReading(PlatformWorld& world) {
  world.AddEndpoint("orders", "a");
  world.settings.shared_reading_from = 2;
  co_await world.Start();
  world.peer = world.StartPeer("daemon-2");
  co_await PlatformWorld::WaitFor(
      [&world]() { return world.daemon->FollowsPeer() != world.peer->FollowsPeer(); });
  // The requests go to the daemon that follows the other.
  if (!world.daemon->FollowsPeer()) std::swap(world.daemon, world.peer);
  // A daemon follows from its start, before it has read all tables.
  co_await PlatformWorld::WaitFor([&world]() { return world.daemon->IsReady(); });
  const HttpHeaders second = OneHeader("Authorization", "Bearer key-2");
  cr_assert_eq(co_await StatusOf(world, "/look/x", second), 200);
  world.store->Put("op", "config", PlatformWorld::Configuration(5, R"(["key-1"])"));
  co_await AwaitStatus(world, "/look/x", second, 401);
  cr_assert(world.daemon->FollowsPeer());
  bool stopped = false;
  world.peer->RequestStop([&stopped]() { stopped = true; });
  co_await PlatformWorld::WaitFor([&]() { return stopped && !world.daemon->FollowsPeer(); });
  world.store->Put("op", "config", PlatformWorld::Configuration(6));
  co_await AwaitStatus(world, "/look/x", second, 200);
}

Task<void> NeighboursLendRepeats(PlatformWorld& world) {
  EndpointStandin& full = world.AddEndpoint("orders", "a");
  full.behaviour = EndpointBehaviour::kRefuse;
  world.AddEndpoint("orders", "b");
  // Each of two daemons may repeat three requests in a window.
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
    // The endpoint that has refused is left out for a while.
    co_await Sleep(std::chrono::milliseconds(150));
  }
  cr_assert_eq(full.seen.size(), 7u, "each request was refused first");
  cr_assert_eq(std::count(statuses.begin(), statuses.end(), 200), 6);
  cr_assert_eq(statuses.back(), 503, "the limit of the fleet holds");
}

Task<void> StartsBesideOthers(PlatformWorld& world) {
  constexpr int kTaken = 150;
  constexpr int kStarts = 400;
  std::vector<std::unique_ptr<UdpSocket>> udp;
  std::vector<std::unique_ptr<HttpServer>> tcp;
  for (int index = 0; index < kTaken; ++index) {
    udp.push_back(std::make_unique<UdpSocket>(world.loop.GetExecutor()));
    cr_assert_not(udp.back()->Open("127.0.0.1:0"));
    tcp.push_back(std::make_unique<HttpServer>(world.loop.GetExecutor(), HttpServerLimits(),
                                               HttpHandler(), HttpRejectionReply()));
    cr_assert_not(tcp.back()->Listen("127.0.0.1:0"));
  }
  for (int start = 0; start < kStarts; ++start) {
    world.StartPeer("daemon-2").reset();
    // Closed sockets are released by the loop.
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

// Guards against requests of strangers that run, and open routes that need a key.
Test(configuration, unknown_routes_and_keys_are_refused) { RunTest(&UnknownIsRefused); }

// Guards against a configuration that takes no effect, reverts, or is replaced by one that cannot
// be read.
Test(configuration, only_newer_versions_take_effect) { RunTest(&NewConfigurationTakesEffect); }

// Guards against requests that are refused although the fleet's limit on repeats is not used up.
Test(configuration, neighbours_lend_repeats) { RunTest(&NeighboursLendRepeats); }

// Guards against a removed key that still works on a daemon that is cut off from the store.
Test(configuration, keys_need_a_recent_proof) { RunTest(&KeysNeedFreshness); }

// Guards against an outage of the store that ends all service though removed keys may work on.
Test(configuration, expired_proofs_may_serve) { RunTest(&ExpiredProofsMayServe); }

// Guards against a daemon that denies what it does not know yet.
Test(configuration, nothing_is_denied_before_a_configuration_is_known) {
  RunTest(&NothingIsServedWithoutConfiguration);
}

// Guards against requests for endpoints that leave, and rows of other writers that stop the daemon.
Test(configuration, leaving_endpoints_get_nothing) { RunTest(&LeavingEndpointsGetNothing); }

// Guards against a planned stop that cuts a stream or leaves its row behind.
Test(configuration, a_planned_stop_serves_out) { RunTest(&StopServesOut); }

// Guards against a watcher that misses a change, keeps a removed key, or goes down with its
// reader.
Test(configuration, a_daemon_may_follow_a_peers_copy) { RunTest(&PeersShareTheirReading); }

// Guards against a daemon that does not start because its UDP port is taken for TCP, or the other
// way round: seen once when tests ran side by side.
Test(configuration, a_daemon_starts_beside_others) { RunTest(&StartsBesideOthers); }

// Guards against lookups that callers cannot use.
Test(configuration, a_lookup_names_the_daemon) { RunTest(&LookupNamesTheDaemon); }
