#include <criterion/criterion.h>

#include <algorithm>
#include <utility>

#include "coordination/rendezvous_owner.h"
#include "platform_world.h"

using namespace fulmarpoint;

namespace {

const HttpHeaders kStreamHeaders = {{"Fulmarpoint-Model", "m"},
                                    {"Fulmarpoint-Token-Count", "5000,800"},
                                    {"Fulmarpoint-Prompt-Prefix", "5c1e07a2:200,91bd3f06:4800"}};

/// Returns the endpoint that has seen `count` requests; the test fails if there is none.
EndpointStandin& SeenBy(PlatformWorld& world, std::size_t count) {
  EndpointStandin* found = nullptr;
  for (const std::unique_ptr<EndpointStandin>& endpoint : world.endpoints) {
    if (endpoint->seen.size() == count) found = endpoint.get();
  }
  cr_assert_not_null(found);
  return *found;
}

void SetAll(PlatformWorld& world, EndpointBehaviour behaviour, int events) {
  for (const std::unique_ptr<EndpointStandin>& endpoint : world.endpoints) {
    endpoint->behaviour = behaviour;
    endpoint->events_before_fault = events;
  }
}

Task<void> WholeStream(PlatformWorld& world) {
  EndpointStandin& engine = world.AddEndpoint("drafts", "a");
  co_await world.Start();
  const HttpResult result = co_await world.Send("POST", "/stream/x", kStreamHeaders, "prompt");
  cr_assert_not(result.error);
  cr_assert(result.reply.body == AllEvents(1, 10));
  cr_assert(std::string(*FindHeader(result.reply.headers, "Fulmarpoint-Server-Seal")) ==
            "seal-i-1");
  cr_assert(engine.Header(0, "Fulmarpoint-Prompt-Prefix") == "5c1e07a2:200,91bd3f06:4800");
  cr_assert(engine.Header(0, "Last-Event-Id") == "");
  cr_assert(engine.Header(0, "Kv-From") == "");
}

Task<void> Resumed(PlatformWorld& world, EndpointBehaviour behaviour) {
  EndpointStandin& first = world.AddEndpoint("drafts", "a");
  co_await world.Start();
  first.behaviour = behaviour;
  first.events_before_fault = 4;
  first.event_interval = std::chrono::milliseconds(30);
  Spawn(world.loop.GetExecutor(), [&world]() -> Task<void> {
    co_await PlatformWorld::WaitFor([&world]() { return !world.endpoints[0]->seen.empty(); });
    world.AddEndpoint("drafts", "b");
  });
  const HttpResult result = co_await world.Send("POST", "/stream/x", kStreamHeaders, "prompt");
  cr_assert_not(result.error);
  cr_assert(result.reply.body == AllEvents(1, 10));
  EndpointStandin& second = *world.endpoints[1];
  cr_assert_eq(second.seen.size(), 1u);
  cr_assert(second.Header(0, "Last-Event-Id") == "4");
  cr_assert(second.Header(0, "Fulmarpoint-Request-Id") ==
            first.Header(0, "Fulmarpoint-Request-Id"));
  co_await PlatformWorld::WaitFor([&first]() {
    return first.behaviour == EndpointBehaviour::kBreak || first.seen[0].caller_disconnected;
  });
}

Task<void> ResumedAfterBreak(PlatformWorld& world) {
  return Resumed(world, EndpointBehaviour::kBreak);
}

Task<void> ResumedAfterStall(PlatformWorld& world) {
  return Resumed(world, EndpointBehaviour::kStall);
}

Task<void> ResumedAfterGap(PlatformWorld& world) {
  return Resumed(world, EndpointBehaviour::kSkip);
}

Task<void> ResumedFromBackup(PlatformWorld& world) {
  world.AddEndpoint("drafts", "a");
  world.AddEndpoint("drafts", "b");
  co_await world.Start();
  SetAll(world, EndpointBehaviour::kBreak, 5);
  const HttpResult result = co_await world.Send("POST", "/stream/x", kStreamHeaders, "prompt");
  cr_assert(result.reply.body == AllEvents(1, 10));
  const std::size_t last = world.endpoints[0]->seen.size() - 1;
  EndpointStandin& first = world.endpoints[0]->Header(0, "Last-Event-Id").empty()
                               ? *world.endpoints[0]
                               : *world.endpoints[1];
  EndpointStandin& second =
      &first == world.endpoints[0].get() ? *world.endpoints[1] : *world.endpoints[0];
  cr_assert_eq(last, 0u);
  cr_assert(first.Header(0, "Fulmarpoint-Kv-Backup") == second.Address());
  const std::string backup = second.Address() + "/" + first.Header(0, "Fulmarpoint-Request-Id");
  cr_assert(second.Header(0, "Kv-From") == backup);
}

Task<void> LostBackupIsReplaced(PlatformWorld& world) {
  EndpointStandin& engine = world.AddEndpoint("drafts", "a");
  co_await world.Start();
  engine.total_events = 100000;
  engine.event_interval = std::chrono::milliseconds(10);
  EndpointStandin* second = nullptr;
  Spawn(world.loop.GetExecutor(), [&world, &engine, &second]() -> Task<void> {
    co_await PlatformWorld::WaitFor([&engine]() { return !engine.seen.empty(); });
    second = &world.AddEndpoint("drafts", "b");
    co_await PlatformWorld::WaitFor([&engine]() { return !engine.backup_targets.empty(); });
    // Let the stream continue for some events, so that the backup is complete when the engine
    // fails.
    co_await Sleep(std::chrono::milliseconds(100));
    second->total_events = 60;
    engine.behaviour = EndpointBehaviour::kBreak;
    engine.events_before_fault = engine.sent;
  });
  const HttpResult result = co_await world.Send("POST", "/stream/x", kStreamHeaders, "prompt");
  cr_assert_not(result.error);
  cr_assert(result.reply.body == AllEvents(1, 60));
  cr_assert(engine.backup_targets[0] == second->Address());
  cr_assert(second->Header(0, "Kv-From") == engine.Address() + "/copy-1");
}

Task<void> UnusedBackupIsFreed(PlatformWorld& world) {
  EndpointStandin& engine = world.AddEndpoint("drafts", "a");
  co_await world.Start();
  engine.total_events = 40;
  engine.event_interval = std::chrono::milliseconds(10);
  Spawn(world.loop.GetExecutor(), [&world, &engine]() -> Task<void> {
    co_await PlatformWorld::WaitFor([&engine]() { return !engine.seen.empty(); });
    world.AddEndpoint("drafts", "b");
  });
  const HttpResult result = co_await world.Send("POST", "/stream/x", kStreamHeaders, "prompt");
  cr_assert(result.reply.body == AllEvents(1, 40));
  co_await PlatformWorld::WaitFor([&engine]() { return !engine.freed_backups.empty(); });
  cr_assert(engine.freed_backups[0] == "copy-1");
}

Task<void> AbortIsVisible(PlatformWorld& world) {
  world.AddEndpoint("drafts", "a");
  co_await world.Start();
  SetAll(world, EndpointBehaviour::kBreak, 1);
  const HttpResult result =
      co_await world.Send("POST", "/stream/x", OneHeader("Fulmarpoint-Deadline-Ms", "1500"));
  cr_assert(result.error, "a stream that ends early must not look complete");
  cr_assert_eq(result.reply.body.find("da\n"), std::string::npos);
}

Task<void> CallerResumes(PlatformWorld& world) {
  EndpointStandin& engine = world.AddEndpoint("drafts", "a");
  co_await world.Start();
  HttpHeaders headers = kStreamHeaders;
  headers.push_back({"Last-Event-Id", "7"});
  const HttpResult result = co_await world.Send("POST", "/stream/x", headers);
  cr_assert(result.reply.body == AllEvents(8, 10));
  cr_assert(engine.Header(0, "Last-Event-Id") == "7");
}

Task<void> CallerThatLeavesEndsTheAttempt(PlatformWorld& world) {
  EndpointStandin& engine = world.AddEndpoint("drafts", "a");
  engine.total_events = 100000;
  co_await world.Start();
  HttpClientRequest request;
  request.address = world.daemon->CallerAddress();
  request.method = "POST";
  request.target = "/stream/x";
  request.host = "h.example";
  request.headers = OneHeader("Fulmarpoint-Request-Id", "r");
  request.headers.push_back({"Authorization", "Bearer key-1"});
  request.timeout = std::chrono::milliseconds(150);
  co_await world.client->Send(std::move(request));
  co_await PlatformWorld::WaitFor([&engine]() { return engine.seen[0].caller_disconnected; });
}

Task<void> RejectedStreamsGoElsewhere(PlatformWorld& world) {
  world.AddEndpoint("drafts", "a").behaviour = EndpointBehaviour::kReject;
  world.AddEndpoint("drafts", "a").behaviour = EndpointBehaviour::kMisdirect;
  world.AddEndpoint("drafts", "b");
  co_await world.Start();
  const HttpResult result = co_await world.Send("POST", "/stream/x", kStreamHeaders);
  cr_assert(result.reply.body == AllEvents(1, 10));
  SeenBy(world, 1);
}

Task<void> RejectedWithoutAnyAttempt(PlatformWorld& world) {
  EndpointStandin& engine = world.AddEndpoint("drafts", "a");
  engine.behaviour = EndpointBehaviour::kReject;
  co_await world.Start();
  const HttpResult result = co_await world.Send("POST", "/stream/x", kStreamHeaders);
  cr_assert_eq(result.reply.status, 503);
  cr_assert(FindHeader(result.reply.headers, "Retry-After").has_value());
}

constexpr std::uint64_t kPrompt = 0x91bd3f06;

PeerRecord UnreachablePeer(int index) {
  PeerRecord record;
  record.name = "silent-" + std::to_string(index);
  record.incarnation = 1;
  record.peer_address = "127.0.0.1:9";
  record.caller_address = "127.0.0.1:9";
  record.failure_domain = "z";
  return record;
}

/// Returns names of three daemons of which the second owns the prompt and the third is no neighbour
/// of the first, in a fleet with the `unreachable` others.
std::vector<std::string> ChooseNames(const std::vector<PeerRecord>& unreachable) {
  for (int number = 0; number < 10000; ++number) {
    const std::string suffix = "-" + std::to_string(number);
    const std::vector<std::string> names = {"first" + suffix, "owner" + suffix, "third" + suffix};
    std::vector<PeerRecord> peers = unreachable;
    for (int index : {1, 2}) {
      peers.push_back(UnreachablePeer(0));
      peers.back().name = names[static_cast<std::size_t>(index)];
    }
    const PeerRecord* owner = OwnerOf(kPrompt, names[0], peers);
    if (owner == nullptr || owner->name != names[1]) continue;
    PeerDirectory directory(names[0], PeerDirectory::Options());
    for (const PeerRecord& peer : peers) directory.Put(peer, TimePoint{});
    const std::vector<PeerRecord> neighbours = directory.HeartbeatPeers();
    const auto is_third = [&names](const PeerRecord& peer) { return peer.name == names[2]; };
    if (std::none_of(neighbours.begin(), neighbours.end(), is_third)) return names;
  }
  cr_assert(false, "no names fit");
  return {};
}

Task<void> ResumedAtAnotherDaemon(PlatformWorld& world) {
  constexpr int kUnreachablePeers = 40;
  constexpr int kEngines = 12;
  std::vector<PeerRecord> unreachable;
  for (int index = 0; index < kUnreachablePeers; ++index)
    unreachable.push_back(UnreachablePeer(index));
  for (const PeerRecord& record : unreachable) {
    world.store->Put("fulmarpoint-daemons", record.name, ToJson(record));
  }
  for (int engine = 0; engine < kEngines; ++engine) world.AddEndpoint("drafts", "a");
  const std::vector<std::string> names = ChooseNames(unreachable);
  world.settings.name = names[0];
  co_await world.Start();
  world.peer = world.StartPeer(names[1]);
  std::unique_ptr<RelayDaemon> third = world.StartPeer(names[2]);
  for (const std::string& name : names) {
    co_await PlatformWorld::WaitFor(
        [&world, &name]() { return world.store->Has("fulmarpoint-daemons", name); });
  }
  co_await PlatformWorld::WaitFor([&]() { return third->IsServing() && world.peer->IsServing(); });
  // Each daemon receives the others' rows within its next watch.
  co_await Sleep(std::chrono::milliseconds(1500));
  HttpResult result = co_await world.Send("POST", "/stream/x", kStreamHeaders, "prompt");
  cr_assert_not(result.error);
  EndpointStandin& engine = SeenBy(world, 1);
  std::swap(world.daemon, third);
  HttpHeaders resumed = kStreamHeaders;
  resumed.push_back({"Last-Event-Id", "4"});
  result = co_await world.Send("POST", "/stream/x", resumed, "prompt");
  cr_assert_not(result.error, "%s", result.error.message().c_str());
  cr_assert_eq(result.reply.status, 200);
  cr_assert(result.reply.body == AllEvents(5, 10));
  cr_assert_eq(engine.seen.size(), 2u, "the engine that holds the prompt");
}

}  // namespace

// Guards against events that are modified, lost or duplicated.
Test(streams, a_stream_is_forwarded_unchanged) { RunTest(&WholeStream); }

// Guards against a stream that ends because its engine failed, and against partial events.
Test(streams, a_broken_attempt_is_resumed_elsewhere) { RunTest(&ResumedAfterBreak); }

// Guards against a stream that hangs because its engine has stalled, and against two concurrent
// attempts.
Test(streams, a_stalled_attempt_is_resumed_elsewhere) { RunTest(&ResumedAfterStall); }

// Guards against a stream with a missing event.
Test(streams, an_attempt_with_a_gap_is_resumed_elsewhere) { RunTest(&ResumedAfterGap); }

// Guards against a resumed attempt that reads its whole prompt again.
Test(streams, a_stream_is_resumed_from_its_backup) { RunTest(&ResumedFromBackup); }

// Guards against a stream that is left without a KV cache backup after the engine that held the
// backup is lost.
Test(streams, a_lost_backup_is_replaced) { RunTest(&LostBackupIsReplaced); }

// Guards against backups that occupy memory and a slot after their attempt has ended.
Test(streams, an_unused_backup_is_freed) { RunTest(&UnusedBackupIsFreed); }

// Guards against an interrupted stream that looks complete.
Test(streams, a_stream_that_cannot_be_resumed_is_aborted) { RunTest(&AbortIsVisible); }

// Guards against a caller that resumes and receives the same events again.
Test(streams, a_caller_resumes_after_its_last_event) { RunTest(&CallerResumes); }

// Guards against engines that keep working for callers that have disconnected.
Test(streams, a_caller_that_leaves_ends_the_attempt) { RunTest(&CallerThatLeavesEndsTheAttempt); }

// Guards against an error reply although another engine could have run the stream.
Test(streams, a_rejected_stream_goes_to_another_engine) { RunTest(&RejectedStreamsGoElsewhere); }

// Guards against a rejection without Retry-After.
Test(streams, a_stream_without_any_attempt_is_rejected) { RunTest(&RejectedWithoutAnyAttempt); }

// Guards against prompts that are read again because the daemon at which a caller resumes has no
// record of the stream.
Test(streams, another_daemon_finds_the_engine_that_holds_the_prompt) {
  RunTest(&ResumedAtAnotherDaemon);
}
