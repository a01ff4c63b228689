#include <criterion/criterion.h>

#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include "platform_world.h"

using namespace fulmarpoint;

namespace {

/// Returns the headers of a stream such that any two exceed the KV cache of an engine. Streams with
/// the same `prompt` prefer the engine that has it cached.
HttpHeaders LargeStream(const std::string& prompt) {
  HttpHeaders headers;
  headers.push_back({"Fulmarpoint-Model", "m"});
  headers.push_back({"Fulmarpoint-Token-Count", "40000,800"});
  headers.push_back({"Fulmarpoint-Prompt-Prefix", prompt + ":40000"});
  return headers;
}

constexpr const char* kUrgent = "/stream/x";
constexpr const char* kLessUrgent = "/stream/once/x";

void Replace(std::string& text, const std::string& from, const std::string& to) {
  const std::size_t at = text.find(from);
  cr_assert_neq(at, std::string::npos);
  text.replace(at, from.size(), to);
}

/// Starts the daemon with a configuration in which the routes to "drafts" differ in priority.
Task<void> StartWithPriorities(PlatformWorld& world) {
  std::string configuration = PlatformWorld::Configuration(1);
  const std::size_t less_urgent = configuration.find("\"quote\"");
  std::string streams = configuration.substr(less_urgent);
  Replace(streams, "\"priority\":1", "\"priority\":2");
  world.store->Put("op", "config", configuration.substr(0, less_urgent) + streams);
  world.settings.queues_streams = true;
  world.StartDaemon();
  co_await PlatformWorld::WaitFor([&world]() { return world.daemon->IsServing(); });
}

/// A stream in the background.
struct Sent {
  HttpResult result;
  bool has_ended = false;
};

void SendInBackground(PlatformWorld& world, Sent& sent, const std::string& target,
                      const std::string& prompt) {
  Spawn(world.loop.GetExecutor(), [&world, &sent, target, prompt]() -> Task<void> {
    sent.result = co_await world.Send("POST", target, LargeStream(prompt));
    sent.has_ended = true;
  });
}

/// Sends a less urgent and then an urgent stream while another one runs, and checks that the urgent
/// one goes first and both are served. The daemon stalls for `stall` while they wait.
Task<void> UrgentGoesFirst(PlatformWorld& world, Duration stall) {
  EndpointStandin& engine = world.AddEndpoint("drafts", "a");
  engine.event_interval = std::chrono::milliseconds(60);
  co_await StartWithPriorities(world);
  Sent running;
  Sent less_urgent;
  Sent urgent;
  SendInBackground(world, running, kLessUrgent, "5c1e07a1");
  co_await PlatformWorld::WaitFor([&engine]() { return engine.seen.size() == 1; });
  SendInBackground(world, less_urgent, kLessUrgent, "5c1e07a2");
  co_await Sleep(std::chrono::milliseconds(60));
  SendInBackground(world, urgent, kUrgent, "5c1e07a3");
  if (stall > Duration::zero()) co_await Sleep(stall);
  std::this_thread::sleep_for(stall);
  co_await PlatformWorld::WaitFor([&engine]() { return engine.seen.size() == 2; });
  co_await Sleep(std::chrono::milliseconds(300));
  cr_assert_eq(engine.seen.size(), 2u, "the engine has room for one stream at a time");
  co_await PlatformWorld::WaitFor([&]() { return less_urgent.has_ended && urgent.has_ended; });
  for (const Sent* sent : {&running, &less_urgent, &urgent}) {
    cr_assert(sent->result.reply.body == AllEvents(1, 10));
  }
  cr_assert_eq(engine.seen.size(), 3u);
  cr_assert(engine.seen[1].request.target == kUrgent);
  cr_assert(engine.seen[2].request.target == kLessUrgent);
}

Task<void> UrgentGoesFirstWithoutStall(PlatformWorld& world) {
  return UrgentGoesFirst(world, Duration::zero());
}

// Longer than the interval at which waiting streams look for an engine, so that the timers of all
// expire together.
constexpr Duration kStall = std::chrono::milliseconds(120);

Task<void> UrgentGoesFirstAfterStall(PlatformWorld& world) {
  return UrgentGoesFirst(world, kStall);
}

Task<void> RejectedBeforeTheDeadline(PlatformWorld& world) {
  EndpointStandin& engine = world.AddEndpoint("drafts", "a");
  engine.event_interval = std::chrono::milliseconds(40);
  co_await StartWithPriorities(world);
  co_await world.Send("POST", kUrgent, LargeStream("5c1e07a4"));
  engine.event_interval = std::chrono::milliseconds(400);
  Sent running;
  SendInBackground(world, running, kUrgent, "5c1e07a1");
  co_await PlatformWorld::WaitFor([&engine]() { return engine.seen.size() == 2; });
  HttpHeaders headers = LargeStream("5c1e07a2");
  headers.push_back({"Fulmarpoint-Deadline-Ms", "1200"});
  const TimePoint sent_at = SteadyNow();
  const HttpResult rejected = co_await world.Send("POST", kUrgent, headers);
  const Duration elapsed = SteadyNow() - sent_at;
  cr_assert_eq(rejected.reply.status, 503);
  const std::optional<std::string_view> retry_after =
      FindHeader(rejected.reply.headers, "Retry-After");
  cr_assert(retry_after.has_value());
  cr_assert_geq(std::stod(std::string(*retry_after)), 0.2);
  cr_assert_lt(elapsed, std::chrono::milliseconds(1100));
  cr_assert_eq(engine.seen.size(), 2u, "the rejected stream was not sent");
  co_await PlatformWorld::WaitFor([&running]() { return running.has_ended; });
}

Task<void> ServedOnceAnEngineAccepts(PlatformWorld& world) {
  EndpointStandin& engine = world.AddEndpoint("drafts", "a");
  engine.behaviour = EndpointBehaviour::kReject;
  co_await StartWithPriorities(world);
  Spawn(world.loop.GetExecutor(), [&engine]() -> Task<void> {
    co_await Sleep(std::chrono::milliseconds(700));
    engine.behaviour = EndpointBehaviour::kAnswer;
  });
  const HttpResult result = co_await world.Send("POST", kUrgent, LargeStream("5c1e07a2"));
  cr_assert(result.reply.body == AllEvents(1, 10));
}

Task<void> NothingIsSentAfterTheCallerLeft(PlatformWorld& world) {
  EndpointStandin& engine = world.AddEndpoint("drafts", "a");
  engine.event_interval = std::chrono::milliseconds(80);
  co_await StartWithPriorities(world);
  Sent running;
  SendInBackground(world, running, kUrgent, "5c1e07a1");
  co_await PlatformWorld::WaitFor([&engine]() { return engine.seen.size() == 1; });
  HttpClientRequest request;
  request.address = world.daemon->CallerAddress();
  request.method = "POST";
  request.target = kUrgent;
  request.host = "h.example";
  request.headers = LargeStream("5c1e07a2");
  request.headers.push_back({"Fulmarpoint-Request-Id", "leaves"});
  request.headers.push_back({"Authorization", "Bearer key-1"});
  request.timeout = std::chrono::milliseconds(200);
  const HttpResult left = co_await world.client->Send(std::move(request));
  cr_assert(left.error);
  co_await PlatformWorld::WaitFor([&running]() { return running.has_ended; });
  co_await Sleep(std::chrono::milliseconds(200));
  cr_assert_eq(engine.seen.size(), 1u);
}

}  // namespace

// Guards against capacity that goes to whichever stream polls first when an engine has room again.
Test(waiting_streams, the_more_urgent_goes_first) { RunTest(&UrgentGoesFirstWithoutStall); }

// Guards against a stream that is rejected because a stall of the daemon makes it look for an
// engine before a more urgent one does.
Test(waiting_streams, a_stall_of_the_daemon_rejects_no_stream) {
  RunTest(&UrgentGoesFirstAfterStall);
}

// Guards against callers that are held until their deadline, and against streams that are sent
// although they cannot end in time.
Test(waiting_streams, rejected_before_the_deadline_with_retry_after) {
  RunTest(&RejectedBeforeTheDeadline);
}

// Guards against streams that end after a number of tries although their callers still wait.
Test(waiting_streams, served_once_an_engine_accepts) { RunTest(&ServedOnceAnEngineAccepts); }

// Guards against prompts that are processed for nobody.
Test(waiting_streams, nothing_is_sent_after_the_caller_left) {
  RunTest(&NothingIsSentAfterTheCallerLeft);
}
