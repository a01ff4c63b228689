#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "platform_world.h"
#include "raw_caller.h"

using namespace fulmarpoint;

namespace {

// Time in which the daemon applies a configuration.
constexpr Duration kApplyTime = std::chrono::milliseconds(150);
constexpr Duration kEarlyTimer = std::chrono::milliseconds(6);
// Longer than all callers of a test need for a first request.
constexpr Duration kIdleLimitOfMany = std::chrono::seconds(2);
constexpr Duration kShortIdleLimit = std::chrono::milliseconds(300);
const char kIdleLimit[] = R"("idleTimeoutMs":2000)";

/// Writes version `version` of the configuration with `from` replaced by `to`, and waits until it
/// is applied.
Task<void> Change(PlatformWorld& world, int version, std::string from, std::string to) {
  std::string text = PlatformWorld::Configuration(version);
  for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at)) {
    text.replace(at, from.size(), to);
    at += to.size();
  }
  world.store->Put("op", "config", text);
  co_await Sleep(kApplyTime);
}

Task<void> SetIdleLimit(PlatformWorld& world, int version, Duration limit) {
  const std::int64_t ms = std::chrono::duration_cast<std::chrono::milliseconds>(limit).count();
  co_await Change(world, version, kIdleLimit, R"("idleTimeoutMs":)" + std::to_string(ms));
}

Task<void> ExpectReply(RawCaller& caller, std::string status) {
  const std::string head = co_await caller.ReadHead();
  cr_assert_eq(head.find("HTTP/1.1 " + status), 0u, "the reply is: %s", head.c_str());
}

Task<void> LongerIdleLimit(PlatformWorld& world, ReplyingEndpoint&, RawCaller& caller) {
  co_await SetIdleLimit(world, 2, kShortIdleLimit);
  co_await UseOnce(caller);
  co_await Change(world, 3, kIdleLimit, kIdleLimit);
  co_await Sleep(kShortIdleLimit);
  co_await caller.Send(Request("GET", "later"));
  co_await ExpectReply(caller, "200");
}

Task<void> BusyAtIdleLimit(PlatformWorld& world, ReplyingEndpoint&, RawCaller& caller) {
  // More than the daemon's event loop learns of at once.
  constexpr std::size_t kCallers = 300;
  co_await UseOnce(caller);
  co_await SetIdleLimit(world, 2, kIdleLimitOfMany);
  const TimePoint start = SteadyNow();
  std::vector<std::unique_ptr<RawCaller>> callers;
  for (std::size_t count = 0; count < kCallers; ++count) {
    callers.push_back(std::make_unique<RawCaller>(world.loop.GetExecutor()));
    co_await callers.back()->Connect(world.daemon->CallerAddress());
    co_await UseOnce(*callers.back());
  }
  // A timer that expires before the requests arrive makes the loop look at all timers first.
  Spawn(world.loop.GetExecutor(), []() -> Task<void> { co_await Sleep(kEarlyTimer); });
  co_await Sleep(kEarlyTimer / 2);
  std::this_thread::sleep_for(kEarlyTimer);
  for (const std::unique_ptr<RawCaller>& sender : callers) sender->SendNow(Request("GET", "next"));
  cr_assert_lt((SteadyNow() - start).count(), kIdleLimitOfMany.count(), "the test is too slow");
  // The daemon shares the thread, so it reads nothing until the limit has passed.
  std::this_thread::sleep_for(kIdleLimitOfMany);
  std::size_t cut = 0;
  for (const std::unique_ptr<RawCaller>& sender : callers) {
    if ((co_await sender->ReadHead()).empty()) ++cut;
  }
  cr_assert_eq(cut, 0u, "%zu connections ended without a reply", cut);
}

Task<void> UnreadAtStop(PlatformWorld& world, ReplyingEndpoint&, RawCaller& caller) {
  co_await UseOnce(caller);
  co_await Sleep(kApplyTime);
  caller.SendNow(Request("GET", "next"));
  world.daemon->RequestStop([]() {});
  const std::string head = co_await caller.ReadHead();
  cr_assert_neq(head, "", "the connection ended without a reply");
}

Task<void> PipelinedAtListenerClose(PlatformWorld& world, ReplyingEndpoint& endpoint,
                                    RawCaller& caller) {
  co_await UseOnce(caller);
  endpoint.pause = kApplyTime * 2;
  co_await caller.Send(Request("GET", "a") + Request("GET", "b"));
  co_await PlatformWorld::WaitFor([&endpoint]() { return endpoint.seen.size() == 2; });
  world.daemon->RequestStop([]() {});
  co_await ExpectReply(caller, "200");
  cr_assert(co_await caller.ReadBody(5) == "short");
  const std::string head = co_await caller.ReadHead();
  cr_assert_neq(head, "", "a request that was read got no reply");
}

/// Sends one request in two parts and behind it a second one, with a change of the configuration
/// between the parts.
Task<void> ChangeWithin(PlatformWorld& world, RawCaller& caller, std::string from, std::string to,
                        std::string status) {
  co_await UseOnce(caller);
  const std::string request =
      Request("POST", "arriving", "Content-Length: 4\r\n") + "body" + Request("GET", "behind");
  co_await caller.Send(request.substr(0, 40));
  co_await Change(world, 2, std::move(from), std::move(to));
  co_await caller.Send(request.substr(40));
  co_await ExpectReply(caller, status);
}

Task<void> SmallerHeadLimit(PlatformWorld& world, ReplyingEndpoint&, RawCaller& caller) {
  co_await ChangeWithin(world, caller, R"("maxHeaderBytes":4096)", R"("maxHeaderBytes":1024)",
                        "200");
}

Task<void> SmallerBodyLimit(PlatformWorld& world, ReplyingEndpoint&, RawCaller& caller) {
  co_await ChangeWithin(world, caller, R"("maxBodyBytes":65536)", R"("maxBodyBytes":1024)", "200");
}

Task<void> ShorterHeadTimeout(PlatformWorld& world, ReplyingEndpoint&, RawCaller& caller) {
  co_await ChangeWithin(world, caller, R"("headerTimeoutMs":2000)", R"("headerTimeoutMs":100)",
                        "200");
}

Task<void> DroppedRoute(PlatformWorld& world, ReplyingEndpoint&, RawCaller& caller) {
  co_await ChangeWithin(world, caller, R"("/look/")", R"("/gone/")", "404");
}

Task<void> DroppedKey(PlatformWorld& world, ReplyingEndpoint&, RawCaller& caller) {
  co_await ChangeWithin(world, caller, R"("key-1")", R"("key-9")", "401");
}

Task<void> MovedRoute(PlatformWorld& world, ReplyingEndpoint&, RawCaller& caller) {
  co_await ChangeWithin(world, caller, R"("service":"orders")", R"("service":"drafts")", "503");
}

/// Changes the configuration while the endpoint works on a request with another one behind it.
Task<void> ChangeDuringCall(PlatformWorld& world, ReplyingEndpoint& endpoint, RawCaller& caller,
                            std::string from, std::string to, std::string second_status) {
  co_await UseOnce(caller);
  endpoint.pause = kApplyTime * 2;
  co_await caller.Send(Request("GET", "a") + Request("GET", "b"));
  co_await PlatformWorld::WaitFor([&endpoint]() { return endpoint.seen.size() == 2; });
  co_await Change(world, 2, std::move(from), std::move(to));
  co_await ExpectReply(caller, "200");
  cr_assert(co_await caller.ReadBody(5) == "short");
  co_await ExpectReply(caller, std::move(second_status));
}

Task<void> RouteDroppedDuringCall(PlatformWorld& world, ReplyingEndpoint& endpoint,
                                  RawCaller& caller) {
  co_await ChangeDuringCall(world, endpoint, caller, R"("/look/")", R"("/gone/")", "404");
}

Task<void> RouteMovedDuringCall(PlatformWorld& world, ReplyingEndpoint& endpoint,
                                RawCaller& caller) {
  co_await ChangeDuringCall(world, endpoint, caller, R"("service":"orders")",
                            R"("service":"drafts")", "503");
}

Task<void> ShorterTimeoutDuringCall(PlatformWorld& world, ReplyingEndpoint& endpoint,
                                    RawCaller& caller) {
  co_await ChangeDuringCall(world, endpoint, caller, R"("timeoutMs":3000)", R"("timeoutMs":100)",
                            "502");
}

void StopAtOnce(RelaySettings& settings) {
  settings.lookup_ttl = Duration::zero();
  settings.stop_grace = std::chrono::seconds(60);
}

}  // namespace

// Guards against a connection that is closed after the idle limit of an earlier configuration.
Test(configuration_changes, a_longer_idle_limit_holds_for_idle_connections) {
  RunTest(LongerIdleLimit);
}

// Guards against a busy daemon that closes connections on which requests have arrived in time.
Test(configuration_changes, requests_that_arrived_before_the_idle_limit_are_answered) {
  RunTest(BusyAtIdleLimit);
}

// Guards against a stop that closes a connection on which a request has arrived.
Test(configuration_changes, an_unread_request_is_answered_at_a_stop) {
  RunTest(UnreadAtStop, StopAtOnce);
}

// Guards against a stop that drops a request which was read behind another one.
Test(configuration_changes, a_pipelined_request_is_answered_at_a_stop) {
  RunTest(PipelinedAtListenerClose, StopAtOnce);
}

// Guards against a change of limits that ends a connection on which a request is arriving.
Test(configuration_changes, an_arriving_request_outlasts_a_smaller_head_limit) {
  RunTest(SmallerHeadLimit);
}

Test(configuration_changes, an_arriving_request_outlasts_a_smaller_body_limit) {
  RunTest(SmallerBodyLimit);
}

Test(configuration_changes, an_arriving_request_outlasts_a_shorter_head_timeout) {
  RunTest(ShorterHeadTimeout);
}

// Guards against an arriving request that gets no reply because its route, key or service is gone.
Test(configuration_changes, an_arriving_request_for_a_dropped_route_is_rejected) {
  RunTest(DroppedRoute);
}

Test(configuration_changes, an_arriving_request_with_a_dropped_key_is_rejected) {
  RunTest(DroppedKey);
}

Test(configuration_changes, an_arriving_request_for_a_service_without_endpoints_is_rejected) {
  RunTest(MovedRoute);
}

// Guards against a change that cuts a request in progress or loses the one behind it.
Test(configuration_changes, a_call_in_progress_outlasts_its_route) {
  RunTest(RouteDroppedDuringCall);
}

Test(configuration_changes, a_call_in_progress_outlasts_a_move_of_its_route) {
  RunTest(RouteMovedDuringCall);
}

Test(configuration_changes, a_call_in_progress_keeps_its_timeout) {
  RunTest(ShorterTimeoutDuringCall);
}
