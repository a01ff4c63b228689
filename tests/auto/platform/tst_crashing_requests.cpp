#include <criterion/criterion.h>

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "platform_world.h"

using namespace fulmarpoint;

namespace {

constexpr int kEndpoints = 12;
const char kCrashingTarget[] = "/look/crash";
const char kHarmlessTarget[] = "/look/fine";
// Requirement: after the daemons could exchange their crash messages, at most three more requests,
// of two attempts each, reach endpoints.
constexpr int kMaxRetries = 3;
constexpr std::size_t kAttemptsPerRequest = 2;
constexpr Duration kQuarantineDelay = std::chrono::milliseconds(900);

void AddEndpointsThatCrash(PlatformWorld& world) {
  for (int index = 0; index < kEndpoints; ++index) {
    EndpointStandin& endpoint = world.AddEndpoint("orders", index % 2 == 0 ? "a" : "b");
    endpoint.behaviour = EndpointBehaviour::kCrash;
    endpoint.crashing_target = kCrashingTarget;
  }
}

std::size_t AttemptsOf(const PlatformWorld& world, const std::string& target) {
  std::size_t attempts = 0;
  for (const std::unique_ptr<EndpointStandin>& endpoint : world.endpoints) {
    attempts += static_cast<std::size_t>(
        std::count_if(endpoint->seen.begin(), endpoint->seen.end(),
                      [&](const SeenRequest& seen) { return seen.request.target == target; }));
  }
  return attempts;
}

bool IsRejectedAsPoison(const HttpResult& result) {
  return result.reply.status == 503 &&
         result.reply.body.find("refused_crashing") != std::string::npos;
}

/// Sends a request to `daemon` by making it `world.daemon` during the call.
Task<HttpResult> SendAt(PlatformWorld& world, std::unique_ptr<RelayDaemon>& daemon,
                        std::string target) {
  std::swap(world.daemon, daemon);
  HttpResult result = co_await world.Send("GET", std::move(target));
  std::swap(world.daemon, daemon);
  co_return result;
}

/// Completes when the lookup answers of `daemon` list all three daemons.
Task<void> WaitForPeers(PlatformWorld& world, std::unique_ptr<RelayDaemon>& daemon) {
  std::size_t listed = 0;
  while (listed < 3) {
    std::swap(world.daemon, daemon);
    const HttpResult lookup = co_await world.Lookup();
    std::swap(world.daemon, daemon);
    listed = nlohmann::json::parse(lookup.reply.body).at("addrs").size();
    co_await Sleep(std::chrono::milliseconds(5));
  }
}

// Time after its start from which a daemon must know what the fleet knows.
constexpr Duration kContactTime = std::chrono::seconds(3);

using Daemons = std::vector<std::unique_ptr<RelayDaemon>>;

/// Starts three daemons that list each other. The first is `world.daemon`.
Task<void> StartFleet(PlatformWorld& world, Daemons& others) {
  co_await world.Start();
  for (const char* name : {"daemon-2", "daemon-3"}) others.push_back(world.StartPeer(name));
  for (std::unique_ptr<RelayDaemon>& daemon : others) {
    co_await PlatformWorld::WaitFor([&]() { return daemon->IsServing(); });
    co_await WaitForPeers(world, daemon);
  }
}

/// Replaces a daemon by a new process with its name, and lets it run for `kContactTime`.
Task<void> Restart(PlatformWorld& world, std::unique_ptr<RelayDaemon>& daemon, std::string name) {
  daemon.reset();
  daemon = world.StartPeer(name);
  co_await PlatformWorld::WaitFor([&]() { return daemon->IsServing(); });
  co_await Sleep(kContactTime);
}

Task<void> FleetQuarantinesPoisonRequest(PlatformWorld& world) {
  AddEndpointsThatCrash(world);
  Daemons daemons;
  co_await StartFleet(world, daemons);
  for (std::unique_ptr<RelayDaemon>& daemon : daemons) {
    const HttpResult result = co_await SendAt(world, daemon, kCrashingTarget);
    cr_assert_eq(result.reply.status, 502, "%d", result.reply.status);
  }
  const std::size_t attempts = AttemptsOf(world, kCrashingTarget);
  cr_assert_eq(attempts, daemons.size() * kAttemptsPerRequest, "%zu", attempts);
  std::size_t retries = 0;
  HttpResult own;
  while (!IsRejectedAsPoison(own)) {
    cr_assert_leq(retries++, kMaxRetries);
    co_await Sleep(kQuarantineDelay);
    own = co_await world.Send("GET", kCrashingTarget);
  }
  for (std::unique_ptr<RelayDaemon>& daemon : daemons) {
    const HttpResult refused = co_await SendAt(world, daemon, kCrashingTarget);
    cr_assert(IsRejectedAsPoison(refused), "%s", refused.reply.body.c_str());
    const HttpResult fine = co_await SendAt(world, daemon, kHarmlessTarget);
    cr_assert_eq(fine.reply.status, 200, "other requests go on: %d", fine.reply.status);
  }
  const std::size_t all_attempts = AttemptsOf(world, kCrashingTarget);
  cr_assert_leq(all_attempts, attempts + (retries - 1) * kAttemptsPerRequest, "%zu", all_attempts);
}

/// Sends requests at once until the daemon keeps a connection to each endpoint.
Task<void> KeepConnections(PlatformWorld& world) {
  const auto is_used = [](const std::unique_ptr<EndpointStandin>& endpoint) {
    return !endpoint->seen.empty();
  };
  for (const std::unique_ptr<EndpointStandin>& endpoint : world.endpoints) {
    endpoint->behaviour = EndpointBehaviour::kPause;
    endpoint->pause = std::chrono::milliseconds(100);
  }
  int left = kEndpoints;
  for (int request = 0; request < kEndpoints; ++request) {
    Spawn(world.loop.GetExecutor(), [&world, &left]() -> Task<void> {
      co_await world.Send("GET", kHarmlessTarget);
      --left;
    });
  }
  co_await PlatformWorld::WaitFor([&left]() { return left == 0; });
  cr_assert(std::all_of(world.endpoints.begin(), world.endpoints.end(), is_used));
  for (const std::unique_ptr<EndpointStandin>& endpoint : world.endpoints) {
    endpoint->behaviour = EndpointBehaviour::kCrash;
  }
}

Task<void> CrashesOnKeptConnectionsCount(PlatformWorld& world) {
  AddEndpointsThatCrash(world);
  co_await world.Start();
  co_await KeepConnections(world);
  const HttpResult result = co_await world.Send("GET", kCrashingTarget);
  cr_assert_eq(result.reply.status, 502, "%d", result.reply.status);
  const std::size_t attempts = AttemptsOf(world, kCrashingTarget);
  cr_assert_eq(attempts, kAttemptsPerRequest, "%zu", attempts);
}

/// Sends the crashing request at all daemons in turn until it is rejected.
Task<void> SendUntilRejected(PlatformWorld& world, Daemons& others) {
  for (std::unique_ptr<RelayDaemon>& daemon : others) {
    const HttpResult result = co_await SendAt(world, daemon, kCrashingTarget);
    cr_assert_eq(result.reply.status, 502, "%d", result.reply.status);
  }
  HttpResult own;
  for (int retries = 0; !IsRejectedAsPoison(own); ++retries) {
    cr_assert_leq(retries, kMaxRetries);
    co_await Sleep(kQuarantineDelay);
    own = co_await world.Send("GET", kCrashingTarget);
  }
}

Task<void> RestartedDaemonsKeepQuarantine(PlatformWorld& world) {
  AddEndpointsThatCrash(world);
  Daemons others;
  co_await StartFleet(world, others);
  co_await SendUntilRejected(world, others);
  const std::size_t attempts = AttemptsOf(world, kCrashingTarget);
  others.push_back(std::move(world.daemon));
  const char* names[] = {"daemon-2", "daemon-3", "daemon-1"};
  // The first one is restarted again at the end: all that knew the crashes themselves are gone.
  for (std::size_t turn = 0; turn < 4; ++turn) {
    std::unique_ptr<RelayDaemon>& daemon = others[turn % 3];
    co_await Restart(world, daemon, names[turn % 3]);
    const HttpResult refused = co_await SendAt(world, daemon, kCrashingTarget);
    cr_expect(IsRejectedAsPoison(refused), "turn %zu: %d", turn, refused.reply.status);
    const HttpResult fine = co_await SendAt(world, daemon, kHarmlessTarget);
    cr_expect_eq(fine.reply.status, 200, "turn %zu: %d", turn, fine.reply.status);
  }
  cr_assert_eq(AttemptsOf(world, kCrashingTarget), attempts, "%zu, %zu", attempts,
               AttemptsOf(world, kCrashingTarget));
}

/// Restarts one of three daemons after two crashes; it may be the one that counts them.
Task<void> CrashesCountAcrossARestart(PlatformWorld& world, std::size_t restarted) {
  AddEndpointsThatCrash(world);
  Daemons daemons;
  co_await StartFleet(world, daemons);
  daemons.push_back(std::move(world.daemon));
  const char* names[] = {"daemon-2", "daemon-3", "daemon-1"};
  std::unique_ptr<RelayDaemon>& sender = daemons[(restarted + 1) % 3];
  HttpResult result = co_await SendAt(world, sender, kCrashingTarget);
  co_await Sleep(kQuarantineDelay);
  co_await Restart(world, daemons[restarted], names[restarted]);
  result = co_await SendAt(world, sender, kCrashingTarget);
  co_await Sleep(kQuarantineDelay);
  result = co_await SendAt(world, sender, kCrashingTarget);
  cr_expect(IsRejectedAsPoison(result), "%s: %d after four crashes", names[restarted],
            result.reply.status);
}

constexpr int kEngines = 20;
const char kPoisonPart[] = "dead:40";
const char kSharedPart[] = "5c1e07a2:200";

/// Sends a stream with its own part in the prompt, and with the poison part if `is_poison`.
Task<HttpResult> SendStreamAt(PlatformWorld& world, std::unique_ptr<RelayDaemon>& daemon,
                              int number, bool is_poison) {
  std::string prompt = kSharedPart;
  if (is_poison) prompt += std::string(",") + kPoisonPart;
  prompt += "," + std::to_string(number + 1) + ":90";
  HttpHeaders headers = {{"Fulmarpoint-Model", "m"},
                         {"Fulmarpoint-Token-Count", "330,100"},
                         {"Fulmarpoint-Prompt-Prefix", prompt}};
  std::swap(world.daemon, daemon);
  HttpResult result = co_await world.Send("POST", "/stream/" + std::to_string(number),
                                          std::move(headers), "prompt");
  std::swap(world.daemon, daemon);
  co_return result;
}

Task<void> FleetQuarantinesPoisonPart(PlatformWorld& world) {
  for (int index = 0; index < kEngines; ++index) {
    EndpointStandin& engine = world.AddEndpoint("drafts", index % 2 == 0 ? "a" : "b");
    engine.behaviour = EndpointBehaviour::kCrash;
    engine.crashing_part = kPoisonPart;
  }
  Daemons daemons;
  co_await StartFleet(world, daemons);
  int number = 0;
  int retries = -1;
  HttpResult poison;
  while (!IsRejectedAsPoison(poison)) {
    cr_assert_leq(++retries, kMaxRetries + 1, "the first two requests make the part known");
    poison = co_await SendStreamAt(world, daemons[0], number++, true);
    co_await Sleep(kQuarantineDelay);
    const HttpResult sound = co_await SendStreamAt(world, daemons[1], number++, false);
    cr_assert_eq(sound.reply.status, 200, "%d", sound.reply.status);
    cr_assert_not(sound.error);
  }
  for (std::unique_ptr<RelayDaemon>& daemon : daemons) {
    const HttpResult rejected = co_await SendStreamAt(world, daemon, number++, true);
    cr_assert(IsRejectedAsPoison(rejected), "%s", rejected.reply.body.c_str());
    const HttpResult sound = co_await SendStreamAt(world, daemon, number++, false);
    cr_assert_eq(sound.reply.status, 200, "%d", sound.reply.status);
  }
}

Task<void> StalledEndpointsCountOnceUnlisted(PlatformWorld& world) {
  for (const char* domain : {"a", "b", "c", "d", "e", "f"}) {
    world.AddEndpoint("orders", domain).behaviour = EndpointBehaviour::kStall;
  }
  co_await world.Start();
  HttpResult result;
  std::size_t requests = 0;
  while (!IsRejectedAsPoison(result)) {
    cr_assert_leq(++requests, 6u, "six endpoints are lost");
    result = co_await world.Send("GET", kCrashingTarget);
    // Remove the rows of stalled endpoints, as the platform does.
    for (const std::unique_ptr<EndpointStandin>& endpoint : world.endpoints) {
      if (!endpoint->seen.empty()) world.store->Remove("servers", endpoint->Id());
    }
    co_await Sleep(kQuarantineDelay);
  }
  cr_assert_leq(AttemptsOf(world, kCrashingTarget), 3u + kMaxRetries, "%zu",
                AttemptsOf(world, kCrashingTarget));
}

Task<void> BrokenConnectionsQuarantineNothing(PlatformWorld& world) {
  for (const char* domain : {"a", "b", "c", "d"}) {
    world.AddEndpoint("orders", domain).behaviour = EndpointBehaviour::kBreak;
  }
  co_await world.Start();
  for (int request = 0; request < 4; ++request) {
    co_await world.Send("GET", kHarmlessTarget);
    // Endpoints that have failed are in cool-down for a while.
    co_await Sleep(std::chrono::milliseconds(500));
  }
  cr_assert_geq(AttemptsOf(world, kHarmlessTarget), 4u, "%zu", AttemptsOf(world, kHarmlessTarget));
  co_await Sleep(kQuarantineDelay);
  for (const std::unique_ptr<EndpointStandin>& endpoint : world.endpoints) {
    endpoint->behaviour = EndpointBehaviour::kAnswer;
  }
  // The endpoints' cool-down lasts some seconds at most.
  HttpResult result;
  for (int request = 0; request < 20 && result.reply.status != 200; ++request) {
    co_await Sleep(std::chrono::milliseconds(300));
    result = co_await world.Send("GET", kHarmlessTarget);
    cr_assert_not(IsRejectedAsPoison(result), "the endpoints' processes go on");
  }
  cr_assert_eq(result.reply.status, 200, "%d", result.reply.status);
}

}  // namespace

// Guards against a poison request that crashes one endpoint after another, sent through all
// daemons.
Test(crashing_requests, the_fleet_quarantines_them_and_serves_others) {
  RunTest(&FleetQuarantinesPoisonRequest);
}

// Guards against a poison request that each daemon passes on once more after a restart.
Test(crashing_requests, restarted_daemons_keep_the_quarantine) {
  RunTest(&RestartedDaemonsKeepQuarantine);
}

// Guards against a poison request whose crashes are counted anew because the daemon that counts
// them was restarted.
Test(crashing_requests, crashes_count_across_restarts) {
  for (std::size_t restarted = 0; restarted < 3; ++restarted) {
    PlatformWorld world;
    world.Run([&]() { return CrashesCountAcrossARestart(world, restarted); });
  }
}

// Guards against a poison request that is never quarantined because its endpoints hang instead of
// refusing connections.
Test(crashing_requests, stalled_endpoints_count_once_they_are_unlisted) {
  RunTest(&StalledEndpointsCountOnceUnlisted);
}

// Guards against requests that are quarantined because connections broke without a crash.
Test(crashing_requests, broken_connections_quarantine_nothing) {
  RunTest(&BrokenConnectionsQuarantineNothing);
}

// Guards against requests that differ as a whole and crash one engine after the other because of a
// part of their prompts, and against rejecting those that share only the other parts.
Test(crashing_requests, the_fleet_quarantines_a_poison_part) {
  RunTest(&FleetQuarantinesPoisonPart);
}

// Guards against a call that crashes more endpoints than its route allows attempts, because the end
// of a kept connection is taken for an idle one that the endpoint has closed.
Test(crashing_requests, crashes_on_kept_connections_count) {
  RunTest(&CrashesOnKeptConnectionsCount);
}
