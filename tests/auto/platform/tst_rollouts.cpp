#include <criterion/criterion.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "platform_world.h"

using namespace fulmarpoint;

namespace {

constexpr Duration kRequestInterval = std::chrono::milliseconds(4);
constexpr Duration kRolloutTime = std::chrono::seconds(16);
// Requirements: the share and number of requests that a bad version may receive during its rollout,
// and the number that it may fail before it receives no more.
constexpr double kExposureShare = 0.1;
constexpr std::size_t kExposureSlack = 50;
constexpr std::size_t kMaxFailures = 50;
// Longer than the lease, its send margin and the validity of directives.
constexpr Duration kOutageTime = std::chrono::milliseconds(5000);
// From a restore of the store until the operator writes again what the copy lacks.
constexpr Duration kOperatorDelay = std::chrono::milliseconds(100);
const char kNewVersion[] = "v2";

void AddEndpoints(PlatformWorld& world, const std::string& version, EndpointBehaviour behaviour) {
  for (const char* domain : {"a", "b"}) {
    EndpointStandin& endpoint = world.AddEndpoint("orders", domain);
    endpoint.version = version;
    endpoint.behaviour = behaviour;
    world.List(endpoint, "orders", domain);
  }
}

void Order(PlatformWorld& world, const std::string& version, Duration within = kRolloutTime) {
  const double seconds = std::chrono::duration<double>(within).count();
  const nlohmann::json order = {{"service", "orders"}, {"to", version}, {"overS", seconds}};
  world.store->Put("op", "rollout/orders", order.dump());
}

std::string StateOf(const PlatformWorld& world) {
  const std::string value = world.store->Value("status", "rollout/orders");
  return value.empty() ? "" : nlohmann::json::parse(value).at("state").get<std::string>();
}

struct Attempts {
  std::size_t old_version = 0;
  std::size_t new_version = 0;
};

Attempts CountAttempts(const PlatformWorld& world) {
  Attempts attempts;
  for (const std::unique_ptr<EndpointStandin>& endpoint : world.endpoints) {
    (endpoint->version == kNewVersion ? attempts.new_version : attempts.old_version) +=
        endpoint->seen.size();
  }
  return attempts;
}

struct Traffic {
  int sent = 0;
  int failed = 0;
  bool stopped = false;
};

/// Sends calls to the daemons in turn until `traffic.stopped`.
Task<void> SendCalls(PlatformWorld& world, Traffic& traffic) {
  while (!traffic.stopped) {
    if (world.peer && traffic.sent % 2 == 0) std::swap(world.daemon, world.peer);
    ++traffic.sent;
    const HttpResult result = co_await world.Send("GET", "/look/x");
    if (result.reply.status != 200) ++traffic.failed;
    co_await Sleep(kRequestInterval);
  }
}

Task<void> GoodVersionTakesOver(PlatformWorld& world) {
  AddEndpoints(world, "v1", EndpointBehaviour::kAnswer);
  co_await world.Start();
  Traffic traffic;
  Spawn(world.loop.GetExecutor(), [&]() { return SendCalls(world, traffic); });
  co_await Sleep(std::chrono::milliseconds(300));
  const TimePoint ordered = SteadyNow();
  Order(world, kNewVersion);
  AddEndpoints(world, kNewVersion, EndpointBehaviour::kAnswer);
  co_await PlatformWorld::WaitFor([&]() { return StateOf(world) == "running"; });
  co_await PlatformWorld::WaitFor([&]() { return StateOf(world) == "done"; });
  cr_assert_leq((SteadyNow() - ordered).count(), kRolloutTime.count(), "done in time");
  // The operator stops the old version's endpoints at once.
  const std::size_t before = CountAttempts(world).old_version;
  for (int index : {0, 1}) world.store->Remove("servers", world.endpoints[index]->Id());
  co_await Sleep(std::chrono::seconds(1));
  const std::size_t settled = CountAttempts(world).old_version;
  co_await Sleep(std::chrono::milliseconds(300));
  cr_assert_eq(CountAttempts(world).old_version, settled, "%zu before", before);
  traffic.stopped = true;
  cr_assert_eq(traffic.failed, 0, "%d of %d", traffic.failed, traffic.sent);
}

Task<void> BadVersionIsRolledBack(PlatformWorld& world) {
  AddEndpoints(world, "v1", EndpointBehaviour::kAnswer);
  co_await world.Start();
  Traffic traffic;
  Spawn(world.loop.GetExecutor(), [&]() { return SendCalls(world, traffic); });
  co_await Sleep(std::chrono::milliseconds(300));
  Order(world, kNewVersion);
  AddEndpoints(world, kNewVersion, EndpointBehaviour::kFail);
  co_await PlatformWorld::WaitFor([&]() { return StateOf(world) == "rolled_back"; });
  const Attempts attempts = CountAttempts(world);
  cr_assert_leq(attempts.new_version, kMaxFailures, "%zu", attempts.new_version);
  const double allowed =
      kExposureShare * static_cast<double>(attempts.old_version + attempts.new_version) +
      kExposureSlack;
  cr_assert_leq(static_cast<double>(attempts.new_version), allowed);
  co_await Sleep(std::chrono::seconds(1));
  cr_assert_eq(CountAttempts(world).new_version, attempts.new_version,
               "nothing more after the end");
  traffic.stopped = true;
  cr_assert_eq(traffic.failed, 0, "calls that failed at the new version ran at the old one");
}

Task<void> RolloutOutlivesItsController(PlatformWorld& world) {
  AddEndpoints(world, "v1", EndpointBehaviour::kAnswer);
  co_await world.Start();
  world.peer = world.StartPeer("daemon-2");
  co_await PlatformWorld::WaitFor([&]() { return world.peer->IsServing(); });
  Traffic traffic;
  Spawn(world.loop.GetExecutor(), [&]() { return SendCalls(world, traffic); });
  Order(world, kNewVersion);
  AddEndpoints(world, kNewVersion, EndpointBehaviour::kAnswer);
  co_await PlatformWorld::WaitFor([&]() { return StateOf(world) == "running"; });
  // Each of the two daemons is lost once, so that whichever holds the lease is replaced while the
  // other goes on.
  traffic.stopped = true;
  co_await Sleep(std::chrono::milliseconds(200));
  for (std::unique_ptr<RelayDaemon>* lost : {&world.peer, &world.daemon}) {
    const std::string name = lost == &world.peer ? "daemon-3" : "daemon-4";
    lost->reset();
    *lost = world.StartPeer(name);
    co_await PlatformWorld::WaitFor([&]() { return (*lost)->IsServing(); });
  }
  Traffic later_traffic;
  Spawn(world.loop.GetExecutor(), [&]() { return SendCalls(world, later_traffic); });
  co_await PlatformWorld::WaitFor([&]() { return StateOf(world) == "done"; });
  later_traffic.stopped = true;
  co_await Sleep(std::chrono::milliseconds(200));
  cr_assert_eq(later_traffic.failed, 0, "%d of %d", later_traffic.failed, later_traffic.sent);
}

Task<void> StoreOutageDelaysRollout(PlatformWorld& world) {
  // Long enough for requests with a key to be accepted during the outage.
  world.settings.key_revocation_time = std::chrono::minutes(1);
  AddEndpoints(world, "v1", EndpointBehaviour::kAnswer);
  co_await world.Start();
  Traffic traffic;
  Spawn(world.loop.GetExecutor(), [&]() { return SendCalls(world, traffic); });
  Order(world, kNewVersion, kRolloutTime + kOutageTime + std::chrono::seconds(3));
  AddEndpoints(world, kNewVersion, EndpointBehaviour::kAnswer);
  co_await PlatformWorld::WaitFor([&]() { return StateOf(world) == "running"; });
  co_await PlatformWorld::WaitFor([&]() { return CountAttempts(world).new_version > 0; });
  // Longer than the lease, so that the controller stops and directives expire.
  world.store->FailWith(503);
  co_await Sleep(kOutageTime);
  const std::size_t before = CountAttempts(world).new_version;
  co_await Sleep(std::chrono::milliseconds(500));
  cr_assert_eq(CountAttempts(world).new_version, before,
               "without a controller the old version runs");
  world.store->FailWith(0);
  co_await PlatformWorld::WaitFor([&]() { return StateOf(world) == "done"; });
  traffic.stopped = true;
  co_await Sleep(std::chrono::milliseconds(200));
  cr_assert_eq(traffic.failed, 0, "%d of %d", traffic.failed, traffic.sent);
}

Task<void> WithdrawnOrderHasNoEffect(PlatformWorld& world) {
  AddEndpoints(world, "v1", EndpointBehaviour::kAnswer);
  co_await world.Start();
  Order(world, kNewVersion);
  co_await PlatformWorld::WaitFor([&]() { return StateOf(world) == "running"; });
  world.store->Remove("op", "rollout/orders");
  AddEndpoints(world, kNewVersion, EndpointBehaviour::kAnswer);
  // Without an order all versions are used alike.
  co_await PlatformWorld::WaitFor([&]() { return StateOf(world) == "rolled_back"; });
  Traffic traffic;
  Spawn(world.loop.GetExecutor(), [&]() { return SendCalls(world, traffic); });
  co_await PlatformWorld::WaitFor([&]() { return CountAttempts(world).new_version > 10; });
  traffic.stopped = true;
  co_await Sleep(std::chrono::milliseconds(200));
  cr_assert_eq(traffic.failed, 0);
}

/// Restores the store from its copy and writes again, with other row versions, what the copy lacks.
Task<void> RestoreAndWriteAgain(PlatformWorld& world) {
  world.store->Restore();
  co_await Sleep(kOperatorDelay);
  const char* domain = "a";
  for (const std::unique_ptr<EndpointStandin>& endpoint : world.endpoints) {
    if (endpoint->version != kNewVersion) continue;
    world.List(*endpoint, "orders", domain);
    domain = "b";
  }
  Order(world, kNewVersion);
}

Task<void> RestoredOrderDoesNotStartAgain(PlatformWorld& world) {
  AddEndpoints(world, "v1", EndpointBehaviour::kAnswer);
  co_await world.Start();
  world.store->TakeCopy();
  Traffic traffic;
  Spawn(world.loop.GetExecutor(), [&]() { return SendCalls(world, traffic); });
  Order(world, kNewVersion);
  AddEndpoints(world, kNewVersion, EndpointBehaviour::kFail);
  co_await PlatformWorld::WaitFor([&]() { return StateOf(world) == "rolled_back"; });
  const std::size_t before = CountAttempts(world).new_version;
  co_await RestoreAndWriteAgain(world);
  const TimePoint end = SteadyNow() + kOutageTime;
  while (SteadyNow() < end) {
    cr_assert_neq(StateOf(world), "running", "the rollout has ended");
    co_await Sleep(kRequestInterval);
  }
  cr_assert_eq(CountAttempts(world).new_version, before, "nothing more after the end");
  traffic.stopped = true;
  co_await Sleep(std::chrono::milliseconds(200));
}

Task<void> RolloutGoesOnAfterRestore(PlatformWorld& world) {
  AddEndpoints(world, "v1", EndpointBehaviour::kAnswer);
  co_await world.Start();
  world.store->TakeCopy();
  Traffic traffic;
  Spawn(world.loop.GetExecutor(), [&]() { return SendCalls(world, traffic); });
  Order(world, kNewVersion);
  AddEndpoints(world, kNewVersion, EndpointBehaviour::kAnswer);
  co_await PlatformWorld::WaitFor([&]() { return CountAttempts(world).new_version > 0; });
  co_await RestoreAndWriteAgain(world);
  for (const std::unique_ptr<EndpointStandin>& endpoint : world.endpoints) {
    if (endpoint->version == kNewVersion) endpoint->behaviour = EndpointBehaviour::kFail;
  }
  co_await PlatformWorld::WaitFor([&]() { return StateOf(world) == "rolled_back"; });
  const Attempts attempts = CountAttempts(world);
  co_await Sleep(std::chrono::seconds(1));
  cr_assert_eq(CountAttempts(world).new_version, attempts.new_version,
               "nothing more after the end");
  traffic.stopped = true;
  co_await Sleep(std::chrono::milliseconds(200));
}

Task<void> EndIsWrittenAgain(PlatformWorld& world) {
  AddEndpoints(world, "v1", EndpointBehaviour::kAnswer);
  co_await world.Start();
  world.store->TakeCopy();
  Traffic traffic;
  Spawn(world.loop.GetExecutor(), [&]() { return SendCalls(world, traffic); });
  Order(world, kNewVersion);
  AddEndpoints(world, kNewVersion, EndpointBehaviour::kFail);
  co_await PlatformWorld::WaitFor([&]() { return StateOf(world) == "rolled_back"; });
  // All daemons know the end.
  co_await Sleep(std::chrono::seconds(2));
  co_await RestoreAndWriteAgain(world);
  co_await PlatformWorld::WaitFor([&]() { return StateOf(world) == "rolled_back"; });
  traffic.stopped = true;
  co_await Sleep(std::chrono::milliseconds(200));
}

}  // namespace

// Guards against a good version that is not fully in use by the order's deadline, and calls that
// fail because the old version's endpoints have stopped.
Test(rollouts, a_good_version_takes_over_in_time) { RunTest(&GoodVersionTakesOver); }

// Guards against a bad version that receives unlimited traffic once its endpoints are listed, or
// still receives traffic after the rollback.
Test(rollouts, a_bad_version_is_rolled_back) { RunTest(&BadVersionIsRolledBack); }

// Guards against a rollout that stops when the daemon that controls it is lost.
Test(rollouts, a_rollout_outlives_its_controller) { RunTest(&RolloutOutlivesItsController); }

// Guards against a new version that is used while no controller can stop it, and a rollout that
// does not continue after an outage of the store.
Test(rollouts, a_store_outage_only_delays_a_rollout) { RunTest(&StoreOutageDelaysRollout); }

// Guards against an order that still limits a version after the operator has withdrawn it.
Test(rollouts, a_withdrawn_order_has_no_effect) { RunTest(&WithdrawnOrderHasNoEffect); }

// Guards against an ended rollout that starts again, and a version found bad that receives requests
// again, when the store is restored from a copy and the operator writes the order again.
Test(rollouts, a_restored_order_does_not_start_again) { RunTest(&RestoredOrderDoesNotStartAgain); }

// Guards against a version that is not rolled back because its rollout's controller was elected
// before the store was restored from a copy.
Test(rollouts, a_rollout_goes_on_after_a_restore) { RunTest(&RolloutGoesOnAfterRestore); }

// Guards against an operator who never learns how a rollout ended, because the store was restored
// from a copy that lacks the end.
Test(rollouts, an_end_is_written_again_after_a_restore) { RunTest(&EndIsWrittenAgain); }
