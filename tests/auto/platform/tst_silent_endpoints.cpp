#include <criterion/criterion.h>

#include <string>
#include <utility>
#include <vector>

#include "platform_world.h"

using namespace fulmarpoint;

namespace {

// Longer than the relay waits for an event or a reply before it looks for another endpoint.
constexpr Duration kPause = std::chrono::milliseconds(1200);
constexpr int kEventsBeforePause = 4;
const char kUnreachableAddress[] = "127.0.0.1:9";
// More than the three requests that may lose their reply.
constexpr std::size_t kRequests = 4;

void AddPausingEndpoint(PlatformWorld& world, const std::string& service,
                        const std::string& domain) {
  EndpointStandin& endpoint = world.AddEndpoint(service, domain);
  endpoint.behaviour = EndpointBehaviour::kPause;
  endpoint.pause = kPause;
  endpoint.events_before_fault = kEventsBeforePause;
}

void DenyRetries(PlatformWorld& world) {
  world.settings.retry_share = 0.0;
  world.settings.retry_slack = 0.0;
}

/// Sends `kRequests` requests at the same time, each as the second one on its connection, and
/// returns the results.
Task<std::vector<HttpResult>> SendOnKeptConnections(PlatformWorld& world, std::string method,
                                                    std::string target) {
  HttpClientOptions options;
  options.max_idle_connections = kRequests;
  world.client = std::make_unique<HttpClient>(world.loop.GetExecutor(), options);
  std::vector<HttpResult> results;
  for (const std::string& path : {std::string("/unknown/"), target}) {
    results.clear();
    for (std::size_t index = 0; index < kRequests; ++index) {
      Spawn(world.loop.GetExecutor(), [&world, &results, method, path]() -> Task<void> {
        results.push_back(co_await world.Send(method, path));
      });
    }
    co_await PlatformWorld::WaitFor([&results]() { return results.size() == kRequests; });
  }
  co_return results;
}

Task<void> StreamsGoOnWithoutRetries(PlatformWorld& world) {
  AddPausingEndpoint(world, "drafts", "a");
  AddPausingEndpoint(world, "drafts", "b");
  DenyRetries(world);
  co_await world.Start();
  const std::vector<HttpResult> results =
      co_await SendOnKeptConnections(world, "POST", "/stream/x");
  for (const HttpResult& result : results) {
    cr_assert_not(result.error, "%s", result.error.message().c_str());
    cr_assert(result.reply.body == AllEvents(1, 10), "%s", result.reply.body.c_str());
  }
}

Task<void> StreamsGoOnWithoutAnotherEngine(PlatformWorld& world) {
  AddPausingEndpoint(world, "drafts", "a");
  co_await world.Start();
  world.store->Put("servers", "i-unreachable", EndpointRow(kUnreachableAddress, "drafts", "b"));
  const HttpResult result = co_await world.Send("POST", "/stream/x");
  cr_assert_not(result.error, "%s", result.error.message().c_str());
  cr_assert(result.reply.body == AllEvents(1, 10), "%s", result.reply.body.c_str());
  cr_assert_eq(world.endpoints[0]->seen.size(), 1u);
}

Task<void> CallsWaitWithoutRetries(PlatformWorld& world) {
  AddPausingEndpoint(world, "orders", "a");
  AddPausingEndpoint(world, "orders", "b");
  DenyRetries(world);
  co_await world.Start();
  const std::vector<HttpResult> results = co_await SendOnKeptConnections(world, "GET", "/look/x");
  for (const HttpResult& result : results) {
    cr_assert_not(result.error, "%s", result.error.message().c_str());
    cr_assert_eq(result.reply.status, 200, "%d", result.reply.status);
  }
}

Task<void> CallsWaitWithoutAnotherEndpoint(PlatformWorld& world) {
  AddPausingEndpoint(world, "orders", "a");
  co_await world.Start();
  const HttpResult result = co_await world.Send("GET", "/look/x");
  cr_assert_eq(result.reply.status, 200, "%d", result.reply.status);
  cr_assert_eq(world.endpoints[0]->seen.size(), 1u);
}

Task<void> CallsWaitIfNoOtherAccepts(PlatformWorld& world) {
  AddPausingEndpoint(world, "orders", "a");
  world.store->Put("servers", "i-unreachable", EndpointRow(kUnreachableAddress, "orders", "b"));
  co_await world.Start();
  const HttpResult result = co_await world.Send("GET", "/look/x");
  cr_assert_eq(result.reply.status, 200, "%d", result.reply.status);
  cr_assert_eq(world.endpoints[0]->seen.size(), 1u);
}

Task<void> StreamsGoOnIfTheOtherEngineRejects(PlatformWorld& world) {
  AddPausingEndpoint(world, "drafts", "a");
  // The quota allows three retries.
  world.settings.retry_share = 0.0;
  world.settings.retry_slack = 4.0;
  co_await world.Start();
  Spawn(world.loop.GetExecutor(), [&world]() -> Task<void> {
    co_await PlatformWorld::WaitFor([&world]() { return !world.endpoints[0]->seen.empty(); });
    world.AddEndpoint("drafts", "b").behaviour = EndpointBehaviour::kReject;
  });
  const HttpResult result = co_await world.Send("POST", "/stream/x");
  cr_assert_not(result.error, "%s", result.error.message().c_str());
  cr_assert(result.reply.body == AllEvents(1, 10), "%s", result.reply.body.c_str());
  cr_assert_geq(world.endpoints[1]->seen.size(), 1u, "the other engine was tried");
}

Task<void> CallsGoElsewhereWithRetries(PlatformWorld& world) {
  AddPausingEndpoint(world, "orders", "a");
  co_await world.Start();
  // In the other failure domain, so that the request reaches the slow endpoint first.
  EndpointStandin& other = world.AddEndpoint("orders", "b");
  world.endpoints[0]->pause = std::chrono::seconds(30);
  co_await Sleep(std::chrono::milliseconds(500));
  const HttpResult result = co_await world.Send("GET", "/look/x");
  cr_assert_eq(result.reply.status, 200, "%d", result.reply.status);
  cr_assert_eq(world.endpoints[0]->seen.size(), 1u, "the slow endpoint was tried first");
  cr_assert_eq(other.seen.size(), 1u);
}

}  // namespace

// Guards against streams that are closed although their engines are only silent for a moment.
Test(silent_endpoints, streams_go_on_without_retry_quota) { RunTest(&StreamsGoOnWithoutRetries); }

// Guards against a stream that leaves its silent engine for one that does not accept it.
Test(silent_endpoints, a_stream_goes_on_if_no_other_engine_accepts_it) {
  RunTest(&StreamsGoOnWithoutAnotherEngine);
}

// Guards against calls that fail although their endpoints would have replied before the deadline.
Test(silent_endpoints, calls_wait_without_retry_quota) { RunTest(&CallsWaitWithoutRetries); }

// Guards against a call that fails because its only endpoint is silent for a moment.
Test(silent_endpoints, a_call_waits_if_there_is_no_other_endpoint) {
  RunTest(&CallsWaitWithoutAnotherEndpoint);
}

// Guards against calls that wait for a silent endpoint although another one is free.
Test(silent_endpoints, a_call_goes_elsewhere_with_retry_quota) {
  RunTest(&CallsGoElsewhereWithRetries);
}

// Guards against a call that leaves its silent endpoint for one that does not accept it.
Test(silent_endpoints, a_call_waits_if_no_other_endpoint_accepts_it) {
  RunTest(&CallsWaitIfNoOtherAccepts);
}

// Guards against a stream that ends because the engine to which it was moved rejects it.
Test(silent_endpoints, a_stream_goes_on_if_the_other_engine_rejects_it) {
  RunTest(&StreamsGoOnIfTheOtherEngineRejects);
}
