#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/configuration_freshness.h"
#include "coordination/heartbeat_payload_schedule.h"
#include "coordination/peer_directory.h"
#include "coordination/rendezvous_owner.h"
#include "protocol/identifiers.h"

using namespace fulmarpoint;

namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};

TimePoint At(int milliseconds) { return kStart + std::chrono::milliseconds(milliseconds); }

PeerRecord Record(const std::string& name, std::uint64_t incarnation = 1) {
  return {name, incarnation, name + ":7200", name + ":8740", "a"};
}

RelayHeartbeat Heartbeat(const std::string& name, std::uint32_t sequence,
                         std::uint64_t incarnation = 1) {
  RelayHeartbeat heartbeat;
  heartbeat.sender = StableHash(name);
  heartbeat.incarnation = incarnation;
  heartbeat.sequence = sequence;
  heartbeat.payload = HeartbeatPayload{name + ":8740", {}, {}};
  heartbeat.ready = true;
  return heartbeat;
}

}  // namespace

// Guards against lookups that return a daemon that is dead, not ready, or shutting down.
Test(peer_directory, lookups_return_peers_that_send_heartbeats) {
  PeerDirectory peers("self", {});
  peers.Put(Record("p"), kStart);
  cr_assert_eq(peers.CallerAddresses(kStart).size(), 0u, "no heartbeat has reported it ready");
  cr_assert(peers.OnHeartbeat(Heartbeat("p", 1), kStart));
  cr_assert_eq(peers.CallerAddresses(At(749)).size(), 1u);
  cr_assert_eq(peers.CallerAddresses(At(750)).size(), 0u);
  RelayHeartbeat leaving = Heartbeat("p", 2);
  leaving.leaving = true;
  peers.OnHeartbeat(leaving, At(1300));
  cr_assert_eq(peers.CallerAddresses(At(1300)).size(), 0u);
}

// Guards against a delayed datagram that overwrites newer state.
Test(peer_directory, old_heartbeats_are_ignored) {
  PeerDirectory peers("self", {});
  peers.Put(Record("p"), kStart);
  cr_assert(peers.OnHeartbeat(Heartbeat("p", 5), kStart));
  cr_assert_not(peers.OnHeartbeat(Heartbeat("p", 5), kStart));
  cr_assert_not(peers.OnHeartbeat(Heartbeat("p", 4), kStart));
  cr_assert(peers.OnHeartbeat(Heartbeat("p", 1, 2), kStart), "a restart resets the sequence");
  cr_assert_not(peers.OnHeartbeat(Heartbeat("p", 9, 1), kStart));
  cr_assert_not(peers.OnHeartbeat(Heartbeat("unknown", 1), kStart));
  peers.Remove("p");
  cr_assert_not(peers.OnHeartbeat(Heartbeat("p", 2, 2), kStart));
}

// Guards against a daemon that is considered dead because its heartbeats carry no payload.
Test(peer_directory, heartbeats_without_payload_count) {
  PeerDirectory peers("self", {});
  peers.Put(Record("p"), kStart);
  RelayHeartbeat heartbeat = Heartbeat("p", 1);
  heartbeat.payload.reset();
  const PeerRecord* sender = peers.OnHeartbeat(heartbeat, At(700));
  cr_assert(sender != nullptr && sender->name == "p");
  cr_assert(peers.IsReachable("p", At(1400)));
  cr_assert_eq(peers.CallerAddresses(At(1400)).size(), 1u, "the address comes from its row");
}

// Guards against daemons that compute different owners, and against one that owns most keys.
Test(rendezvous_owner, all_daemons_compute_the_same_owner) {
  constexpr int kFleetSize = 40;
  constexpr std::uint64_t kPrompts = 4000;
  std::vector<PeerRecord> fleet;
  for (int index = 0; index < kFleetSize; ++index)
    fleet.push_back(Record("d" + std::to_string(index)));
  std::map<std::string, int> prompts_of;
  for (std::uint64_t prompt = 0; prompt < kPrompts; ++prompt) {
    std::set<std::string> named;
    for (const PeerRecord& self : fleet) {
      std::vector<PeerRecord> peers = fleet;
      std::erase_if(peers, [&self](const PeerRecord& peer) { return peer.name == self.name; });
      const PeerRecord* owner = OwnerOf(prompt, self.name, peers);
      named.insert(owner == nullptr ? self.name : owner->name);
    }
    cr_assert_eq(named.size(), 1u);
    ++prompts_of[*named.begin()];
  }
  for (const auto& [name, prompts] : prompts_of) cr_assert_leq(prompts, 2 * 4000 / kFleetSize);
}

// Guards against a payload that is lost with one datagram, and against heartbeats that carry an
// unchanged payload each time.
Test(heartbeat_payload_schedule, payload_is_sent_twice_and_then_at_intervals) {
  HeartbeatPayloadSchedule schedule;
  HeartbeatPayload payload{"p:1", {}, {}};
  int sent = 0;
  for (int millis = 0; millis < 10000; millis += 200) {
    if (schedule.MarkSentIfDue(payload, At(millis))) ++sent;
  }
  cr_assert(sent >= 10 && sent <= 12, "%d of 50", sent);
  payload.failed_endpoints.push_back("e");
  cr_assert(schedule.MarkSentIfDue(payload, At(10015)));
  cr_assert(schedule.MarkSentIfDue(payload, At(10030)));
  cr_assert_not(schedule.MarkSentIfDue(payload, At(10230)));
  payload.failed_endpoints.clear();
  cr_assert(schedule.MarkSentIfDue(payload, At(10235)));
}

// Guards against a daemon that considers all others dead after its own pause.
Test(peer_directory, own_pause_restarts_the_timeouts) {
  PeerDirectory peers("self", {});
  peers.Put(Record("p"), kStart);
  peers.OnHeartbeat(Heartbeat("p", 1), kStart);
  peers.RestartTimeouts(At(5000));
  cr_assert(peers.IsReachable("p", At(5100)));
}

// Guards against traffic between daemons that grows with the fleet, and against daemons without
// neighbours that monitor them.
Test(peer_directory, neighbours_are_few_and_symmetric) {
  constexpr int kFleetSize = 60;
  PeerDirectory::Options options;
  std::vector<PeerDirectory> fleet;
  for (int self = 0; self < kFleetSize; ++self) {
    fleet.emplace_back("d" + std::to_string(self), options);
    for (int peer = 0; peer < kFleetSize; ++peer) {
      fleet.back().Put(Record("d" + std::to_string(peer)), kStart);
    }
  }
  const auto has = [&fleet](int self, int peer) {
    const std::vector<PeerRecord> neighbours =
        fleet[static_cast<std::size_t>(self)].HeartbeatPeers();
    const std::string name = "d" + std::to_string(peer);
    return std::any_of(neighbours.begin(), neighbours.end(),
                       [&name](const PeerRecord& record) { return record.name == name; });
  };
  for (int self = 0; self < kFleetSize; ++self) {
    cr_assert_eq(fleet[static_cast<std::size_t>(self)].HeartbeatPeers().size(),
                 options.max_neighbours);
    for (int peer = 0; peer < kFleetSize; ++peer) {
      if (self != peer) cr_assert_eq(has(self, peer), has(peer, self));
    }
  }
}

// Guards against rows of dead daemons that are never removed, and rows of live ones that are.
Test(peer_directory, silent_neighbours_are_removed_eventually) {
  PeerDirectory peers("self", {});
  peers.Put(Record("p"), kStart);
  peers.Put(Record("q"), kStart);
  peers.OnHeartbeat(Heartbeat("p", 1), At(29000));
  const std::vector<std::string> lost = peers.LostNeighbours(At(30000));
  cr_assert_eq(lost.size(), 1u);
  cr_assert(lost[0] == "q");
}

// Guards against lookups of distant daemons that name a lost one for half a minute, against all of
// its neighbours calling the store at once, and against a daemon that is cut off and removes the
// rows of all others.
Test(peer_directory, a_lost_daemon_is_removed_by_its_nearest_neighbour_within_seconds) {
  constexpr int kFleetSize = 40;
  const PeerDirectory::Options options;
  int early = 0;
  int removing = 0;
  for (int self = 1; self < kFleetSize; ++self) {
    PeerDirectory peers("d" + std::to_string(self), options);
    for (int peer = 0; peer < kFleetSize; ++peer) {
      peers.Put(Record("d" + std::to_string(peer)), kStart);
      if (peer > 0) peers.OnHeartbeat(Heartbeat("d" + std::to_string(peer), 1), At(5900));
    }
    early += static_cast<int>(peers.LostNeighbours(At(4100)).size());
    removing += static_cast<int>(peers.LostNeighbours(At(6000)).size());
    PeerDirectory isolated("d" + std::to_string(self), options);
    for (int peer = 0; peer < kFleetSize; ++peer) {
      isolated.Put(Record("d" + std::to_string(peer)), kStart);
    }
    cr_assert_eq(isolated.LostNeighbours(At(6000)).size(), 0u, "it hears no other daemon");
  }
  cr_assert_eq(early, 2, "the next daemon on either side");
  cr_assert_eq(removing, static_cast<int>(options.max_neighbours));
}

// Guards against lookups that name a daemon that had ended before the store was restored from a
// copy with its row, and against its row staying there.
Test(peer_directory, a_copy_brings_no_ended_daemon_back) {
  constexpr int kFleetSize = 40;
  PeerDirectory peers("self", {});
  for (int peer = 0; peer < kFleetSize; ++peer) {
    peers.Put(Record("d" + std::to_string(peer)), kStart);
  }
  const auto is_named = [&peers](const std::string& name) {
    const std::vector<std::string> addresses = peers.CallerAddresses(kStart);
    return std::count(addresses.begin(), addresses.end(), name + ":8740") > 0;
  };
  for (int peer = 0; peer < kFleetSize; ++peer)
    peers.MarkEnded("d" + std::to_string(peer), At(10000));
  cr_assert_eq(peers.CallerAddresses(kStart).size(), 0u);
  cr_assert_eq(peers.AvailablePeers(kStart).size(), 0u);
  cr_assert_eq(peers.LostNeighbours(kStart).size(), PeerDirectory::Options().max_neighbours);
  peers.OnHeartbeat(Heartbeat("d1", 1), kStart);
  peers.Put(Record("d2", 2), kStart);
  peers.OnHeartbeat(Heartbeat("d2", 1, 2), kStart);
  cr_assert(is_named("d1"), "it lives");
  cr_assert(is_named("d2"), "a later process has started");
  cr_assert_geq(peers.CallerAddresses(At(10000)).size(), kFleetSize - 10u,
                "their rows are still there");
}

// Guards against a row that a later version or a later process of the daemon cannot read.
Test(peer_directory, records_round_trip) {
  const PeerRecord record = Record("p", 123456789012345);
  cr_assert(ParsePeerRecord(ToJson(record)) == record);
  cr_assert_not(ParsePeerRecord("{\"name\":\"p\"}").has_value());
  cr_assert_not(ParsePeerRecord("not json").has_value());
}

// Guards against a key that still works after its removal on a daemon that was paused or
// partitioned.
Test(configuration_freshness, holds_from_the_start_of_the_call) {
  ConfigurationFreshness freshness(std::chrono::seconds(5));
  cr_assert_not(freshness.IsConfirmed(kStart));
  freshness.Confirm(kStart);
  cr_assert(freshness.IsConfirmed(At(4999)));
  cr_assert_not(freshness.IsConfirmed(At(5000)));
  freshness.Confirm(At(-1000));
  cr_assert(freshness.IsConfirmed(At(4999)), "a late answer to an earlier call changes nothing");
}

// Guards against a daemon that stops serving in an outage of the store although its settings allow
// removed keys to keep working, and against one that serves without any configuration.
Test(configuration_freshness, an_expired_confirmation_permits_requests_if_configured) {
  ConfigurationFreshness rejecting(std::chrono::seconds(5), ExpiredConfigurationPolicy::kReject);
  ConfigurationFreshness serving(std::chrono::seconds(5), ExpiredConfigurationPolicy::kServe);
  cr_assert_not(serving.Permits(kStart), "nothing was ever confirmed");
  rejecting.Confirm(kStart);
  serving.Confirm(kStart);
  cr_assert(rejecting.Permits(At(4999)));
  cr_assert_not(rejecting.Permits(At(5000)));
  cr_assert(serving.Permits(At(3600000)));
  cr_assert_not(serving.IsConfirmed(At(5000)), "the confirmation itself expires");
}

// Guards against a removed key that works for as long as the settings at the start allowed
// (review/12), and against a confirmation that is lost when they change.
Test(configuration_freshness, changed_limits_apply_to_the_last_confirmation) {
  ConfigurationFreshness freshness(std::chrono::seconds(5), ExpiredConfigurationPolicy::kReject);
  freshness.Confirm(kStart);
  freshness.SetLimits(std::chrono::milliseconds(2500), ExpiredConfigurationPolicy::kReject);
  cr_assert(freshness.Permits(At(2499)));
  cr_assert_not(freshness.Permits(At(2500)));
  freshness.SetLimits(std::chrono::milliseconds(2500), ExpiredConfigurationPolicy::kServe);
  cr_assert(freshness.Permits(At(2500)));
  freshness.SetLimits(std::chrono::seconds(5), ExpiredConfigurationPolicy::kReject);
  cr_assert(freshness.Permits(At(4999)));
}

// Guards against requests that are rejected soon after the store becomes unreachable because the
// last confirmation was already old. The configuration may change at any time before that.
Test(configuration_freshness, most_of_the_validity_is_left_when_the_store_is_lost) {
  constexpr Duration kReplicationDelay = std::chrono::milliseconds(300);
  for (const int validity_ms : {3000, 5000, 20000}) {
    const Duration validity = std::chrono::milliseconds(validity_ms);
    const Duration watch = ConfigurationWatchWait(validity, kReplicationDelay);
    const Duration needed = validity * 6 / 10;
    for (Duration change{}; change <= watch; change += watch / 20) {
      for (Duration loss = change; loss < change + watch; loss += watch / 20) {
        ConfigurationFreshness freshness(validity);
        const TimePoint start(std::chrono::hours(1));
        // A change ends a watch early; the next watch gets no answer.
        freshness.Confirm(start);
        const TimePoint lost = start + loss + kReplicationDelay;
        cr_assert(freshness.IsConfirmed(lost + needed - Duration(1)), "validity %d ms",
                  validity_ms);
      }
    }
  }
}

// Guards against lookups that name a daemon which cannot reach any endpoint, where its heartbeats
// do not arrive, and against a row that says nothing of it.
Test(peer_directory, isolated_daemons_that_are_no_neighbours_are_left_out) {
  PeerDirectory::Options options;
  options.max_neighbours = 0;
  PeerDirectory peers("self", options);
  peers.Put(Record("p"), kStart);
  cr_assert_eq(peers.CallerAddresses(kStart).size(), 1u);
  PeerRecord isolated = Record("p");
  isolated.is_isolated = true;
  const std::optional<PeerRecord> read = ParsePeerRecord(ToJson(isolated));
  cr_assert(read && *read == isolated);
  peers.Put(*read, At(100));
  cr_assert_eq(peers.CallerAddresses(At(100)).size(), 0u);
  peers.Put(*ParsePeerRecord(ToJson(Record("p"))), At(200));
  cr_assert_eq(peers.CallerAddresses(At(200)).size(), 1u);
}

// Guards against callers that spread over daemons which cannot serve them, away from the one that
// was ready last, while no daemon is ready.
Test(peer_directory, the_daemons_that_were_ready_last_are_known) {
  PeerDirectory::Options options;
  options.max_neighbours = 0;
  PeerDirectory peers("self", options);
  for (const char* name : {"early", "late", "ready"}) peers.Put(Record(name), kStart);
  const auto isolate = [&peers](const std::string& name, TimePoint at) {
    PeerRecord record = Record(name);
    record.is_isolated = true;
    peers.Put(record, at);
  };
  isolate("early", At(0));
  isolate("late", At(5000));
  const Duration period = std::chrono::seconds(1);
  PeerDirectory::LastReady last = peers.LastReadyDaemons(period, At(100), At(6000));
  cr_assert_eq(last.addresses.size(), 1u);
  cr_assert_eq(last.addresses[0], "late:8740");
  cr_assert_not(last.includes_self);
  last = peers.LastReadyDaemons(period, At(5900), At(6000));
  cr_assert_eq(last.addresses.size(), 1u);
  cr_assert(last.includes_self);
  last = peers.LastReadyDaemons(period, At(9000), At(9000));
  cr_assert_eq(last.addresses.size(), 0u);
  cr_assert(last.includes_self);
}
