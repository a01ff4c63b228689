#include <criterion/criterion.h>

#include "platform_world.h"

using namespace fulmarpoint;

namespace {

/// A way in which an engine loses a stream that it may have run, and the status that its caller
/// receives.
struct Loss {
  const char* name;
  EndpointBehaviour behaviour;
  int events_before;
  int status;
};

const Loss kLosses[] = {
    {"closed before the head", EndpointBehaviour::kBreak, 0, 502},
    {"silent until the deadline", EndpointBehaviour::kStall, 0, 502},
    {"a failure of the engine's own", EndpointBehaviour::kFail, 0, 500},
    {"an answer without a seal", EndpointBehaviour::kUnsealed, 0, 502},
    {"an answer to another request", EndpointBehaviour::kStray, 0, 502},
};

const Loss kLossesMidway[] = {
    {"broken off", EndpointBehaviour::kBreak, 4, 200},
    {"silent", EndpointBehaviour::kStall, 4, 200},
    {"an event is missing", EndpointBehaviour::kSkip, 4, 200},
};

HttpHeaders StreamHeaders() {
  return {{"Fulmarpoint-Model", "m"},
          {"Fulmarpoint-Token-Count", "5000,800"},
          {"Fulmarpoint-Prompt-Prefix", "5c1e07a2:200,91bd3f06:4800"},
          {"Fulmarpoint-Deadline-Ms", "1500"}};
}

std::size_t Runs(const PlatformWorld& world) {
  std::size_t runs = 0;
  for (const std::unique_ptr<EndpointStandin>& engine : world.endpoints)
    runs += engine->seen.size();
  return runs;
}

/// Sends a stream that may not be resumed to engines that all lose it.
Task<HttpResult> SendToLosingEngines(PlatformWorld& world, const Loss& loss) {
  for (const char* domain : {"a", "a", "b"}) {
    EndpointStandin& engine = world.AddEndpoint("drafts", domain);
    engine.behaviour = loss.behaviour;
    engine.events_before_fault = loss.events_before;
  }
  co_await world.Start();
  co_return co_await world.Send("POST", "/stream/once/x", StreamHeaders(), "prompt");
}

Task<void> LostBeforeTheFirstEvent(PlatformWorld& world, const Loss& loss) {
  const HttpResult result = co_await SendToLosingEngines(world, loss);
  cr_assert_not(result.error, "%s: %s", loss.name, result.error.message().c_str());
  cr_expect_eq(result.reply.status, loss.status, "%s: %d", loss.name, result.reply.status);
  cr_expect_eq(Runs(world), 1u, "%s: %zu runs", loss.name, Runs(world));
}

Task<void> LostMidway(PlatformWorld& world, const Loss& loss) {
  const HttpResult result = co_await SendToLosingEngines(world, loss);
  cr_expect(result.error, "%s: the stream must not look complete", loss.name);
  cr_expect_eq(Runs(world), 1u, "%s: %zu runs", loss.name, Runs(world));
}

Task<void> NotRunByThreeEngines(PlatformWorld& world) {
  world.AddEndpoint("drafts", "a").behaviour = EndpointBehaviour::kReject;
  world.AddEndpoint("drafts", "a").behaviour = EndpointBehaviour::kMisdirect;
  // Nothing listens there.
  world.store->Put("servers", "i-unreachable", EndpointRow("127.0.0.1:9", "drafts", "a"));
  world.AddEndpoint("drafts", "b");
  co_await world.Start();
  const HttpResult result = co_await world.Send("POST", "/stream/once/x", StreamHeaders());
  cr_assert_eq(result.reply.status, 200);
  cr_assert(result.reply.body == AllEvents(1, 10));
  cr_assert_eq(world.endpoints[2]->seen.size(), 1u);
}

Task<void> ResumableStream(PlatformWorld& world) {
  for (const char* domain : {"a", "b"}) {
    world.AddEndpoint("drafts", domain).behaviour = EndpointBehaviour::kFail;
  }
  co_await world.Start();
  Spawn(world.loop.GetExecutor(), [&world]() -> Task<void> {
    co_await PlatformWorld::WaitFor([&world]() { return Runs(world) > 0; });
    world.AddEndpoint("drafts", "b");
  });
  const HttpResult result = co_await world.Send("POST", "/stream/x", StreamHeaders());
  cr_assert_eq(result.reply.status, 200);
  cr_assert(result.reply.body == AllEvents(1, 10));
  cr_assert_gt(Runs(world), 1u);
}

void RunEach(const Loss& loss, Task<void> (*test)(PlatformWorld&, const Loss&)) {
  PlatformWorld world;
  world.Run([&]() { return test(world, loss); });
}

}  // namespace

// Guards against a stream that may not be resumed and runs twice because its answer was lost.
Test(streams_at_most_once, a_stream_that_may_have_run_is_not_sent_again) {
  for (const Loss& loss : kLosses) RunEach(loss, &LostBeforeTheFirstEvent);
}

// Guards against a stream that may not be resumed and is continued from a second run.
Test(streams_at_most_once, a_stream_that_broke_off_is_not_sent_again) {
  for (const Loss& loss : kLossesMidway) RunEach(loss, &LostMidway);
}

// Guards against a stream that is given up although no engine has run it.
Test(streams_at_most_once, a_stream_that_has_not_run_goes_to_another_engine) {
  RunTest(&NotRunByThreeEngines);
}

// Guards against a stream that may be resumed and is given up after the first engine's failure.
Test(streams_at_most_once, a_resumable_stream_is_sent_again) { RunTest(&ResumableStream); }
