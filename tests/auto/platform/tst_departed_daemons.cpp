#include <criterion/criterion.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "platform_world.h"

using namespace fulmarpoint;

namespace {

// Streams of the size below that fill the KV cache of the only engine.
constexpr std::size_t kStreams = 8;
constexpr Duration kStopGrace = std::chrono::seconds(2);
// Time for several heartbeats between two daemons.
constexpr Duration kHeartbeatTime = std::chrono::milliseconds(800);

HttpHeaders PromptHeaders(std::size_t number) {
  return {{"Fulmarpoint-Model", "m"},
          {"Fulmarpoint-Token-Count", "6000,800"},
          {"Fulmarpoint-Prompt-Prefix", std::to_string(number + 1) + ":6000"}};
}

/// Fills the KV cache of the only engine with streams of `daemon` that do not end by themselves.
Task<void> FillEngine(PlatformWorld& world, EndpointStandin& engine, std::string daemon) {
  engine.total_events = 100000;
  engine.event_interval = std::chrono::milliseconds(20);
  for (std::size_t number = 0; number < kStreams; ++number) {
    Spawn(world.loop.GetExecutor(), [&world, number, daemon]() -> Task<void> {
      HttpClientRequest request;
      request.address = daemon;
      request.method = "POST";
      request.target = "/stream/x";
      request.host = "h.example";
      request.headers = PromptHeaders(number);
      request.headers.push_back({"Fulmarpoint-Request-Id", "long-" + std::to_string(number)});
      request.headers.push_back({"Authorization", "Bearer key-1"});
      request.timeout = std::chrono::seconds(20);
      co_await world.client->Send(std::move(request));
    });
  }
  co_await PlatformWorld::WaitFor([&engine]() { return engine.seen.size() == kStreams; });
  co_await Sleep(kHeartbeatTime);
}

Task<void> Stop(std::unique_ptr<RelayDaemon>& daemon) {
  bool stopped = false;
  daemon->RequestStop([&stopped]() { stopped = true; });
  co_await PlatformWorld::WaitFor([&stopped]() { return stopped; });
  daemon.reset();
}

Task<void> ReleasedAfterTheStop(PlatformWorld& world) {
  EndpointStandin& engine = world.AddEndpoint("drafts", "a");
  world.settings.stop_grace = kStopGrace;
  co_await world.Start();
  world.peer = world.StartPeer("daemon-2");
  co_await PlatformWorld::WaitFor([&world]() { return world.peer->IsServing(); });
  co_await FillEngine(world, engine, world.peer->CallerAddress());
  HttpResult result = co_await world.Send("POST", "/stream/y", PromptHeaders(kStreams));
  cr_assert_eq(result.reply.status, 503, "the engine is full: %d", result.reply.status);
  co_await Stop(world.peer);
  engine.total_events = 10;
  co_await Sleep(kStopGrace);
  result = co_await world.Send("POST", "/stream/y", PromptHeaders(kStreams));
  cr_assert_eq(result.reply.status, 200, "its memory is free: %d", result.reply.status);
  cr_assert(result.reply.body == AllEvents(1, 10));
}

}  // namespace

// Guards against engines that count as full for good because a daemon that used them has left.
Test(departed_daemons, their_use_of_engines_is_released) { RunTest(&ReleasedAfterTheStop); }
