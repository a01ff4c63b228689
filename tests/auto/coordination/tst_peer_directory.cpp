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

// Guards against callers that are sent to a daemon that is dead, not ready, or about to stop.
Test(peer_directory, lookups_name_peers_that_answer) {
  PeerDirectory peers("self", {});
  peers.Put(Record("p"), kStart);
  cr_assert_eq(peers.CallerAddresses(kStart).size(), 0u, "it has not said that it is ready");
  cr_assert(peers.OnHeartbeat(Heartbeat("p", 1), kStart));
  cr_assert_eq(peers.CallerAddresses(At(749)).size(), 1u);
  cr_assert_eq(peers.CallerAddresses(At(750)).size(), 0u);
  RelayHeartbeat leaving = Heartbeat("p", 2);
  leaving.leaving = true;
  peers.OnHeartbeat(leaving, At(1300));
  cr_assert_eq(peers.CallerAddresses(At(1300)).size(), 0u);
}

// Guards against a delayed datagram that revives what has changed since.
Test(peer_directory, old_heartbeats_do_not_count) {
  PeerDirectory peers("self", {});
  peers.Put(Record("p"), kStart);
  cr_assert(peers.OnHeartbeat(Heartbeat("p", 5), kStart));
  cr_assert_not(peers.OnHeartbeat(Heartbeat("p", 5), kStart));
  cr_assert_not(peers.OnHeartbeat(Heartbeat("p", 4), kStart));
  cr_assert(peers.OnHeartbeat(Heartbeat("p", 1, 2), kStart), "a restart begins anew");
  cr_assert_not(peers.OnHeartbeat(Heartbeat("p", 9, 1), kStart));
  cr_assert_not(peers.OnHeartbeat(Heartbeat("unknown", 1), kStart));
  peers.Remove("p");
  cr_assert_not(peers.OnHeartbeat(Heartbeat("p", 2, 2), kStart));
}

// Guards against a daemon that is taken for dead because its heartbeats carry no news.
Test(peer_directory, heartbeats_without_news_count) {
  PeerDirectory peers("self", {});
  peers.Put(Record("p"), kStart);
  RelayHeartbeat heartbeat = Heartbeat("p", 1);
  heartbeat.payload.reset();
  const PeerRecord* sender = peers.OnHeartbeat(heartbeat, At(700));
  cr_assert(sender != nullptr && sender->name == "p");
  cr_assert(peers.IsReachable("p", At(1400)));
  cr_assert_eq(peers.CallerAddresses(At(1400)).size(), 1u, "its row names the address");
}

// Guards against daemons that ask another one than was told, and against one that remembers all.
Test(home_daemon, all_daemons_name_the_same_one) {
  constexpr int kFleet = 40;
  constexpr std::uint64_t kPrompts = 4000;
  std::vector<PeerRecord> fleet;
  for (int index = 0; index < kFleet; ++index) fleet.push_back(Record("d" + std::to_string(index)));
  std::map<std::string, int> prompts_of;
  for (std::uint64_t prompt = 0; prompt < kPrompts; ++prompt) {
    std::set<std::string> named;
    for (const PeerRecord& self : fleet) {
      std::vector<PeerRecord> peers = fleet;
      std::erase_if(peers, [&self](const PeerRecord& peer) { return peer.name == self.name; });
      const PeerRecord* home = OwnerOf(prompt, self.name, peers);
      named.insert(home == nullptr ? self.name : home->name);
    }
    cr_assert_eq(named.size(), 1u);
    ++prompts_of[*named.begin()];
  }
  for (const auto& [name, prompts] : prompts_of) cr_assert_leq(prompts, 2 * 4000 / kFleet);
}

// Guards against news that one lost datagram hides, and against heartbeats that repeat what all
// know.
Test(news_schedule, news_are_sent_twice_and_then_now_and_then) {
  HeartbeatPayloadSchedule schedule;
  HeartbeatPayload news{"p:1", {}, {}};
  int sent = 0;
  for (int millis = 0; millis < 10000; millis += 200) {
    if (schedule.MarkSentIfDue(news, At(millis))) ++sent;
  }
  cr_assert(sent >= 10 && sent <= 12, "%d of 50", sent);
  news.failed_endpoints.push_back("e");
  cr_assert(schedule.MarkSentIfDue(news, At(10015)));
  cr_assert(schedule.MarkSentIfDue(news, At(10030)));
  cr_assert_not(schedule.MarkSentIfDue(news, At(10230)));
  news.failed_endpoints.clear();
  cr_assert(schedule.MarkSentIfDue(news, At(10235)));
}

// Guards against a daemon that was paused taking all others for dead.
Test(peer_directory, silence_during_an_own_pause_is_forgiven) {
  PeerDirectory peers("self", {});
  peers.Put(Record("p"), kStart);
  peers.OnHeartbeat(Heartbeat("p", 1), kStart);
  peers.RestartTimeouts(At(5000));
  cr_assert(peers.IsReachable("p", At(5100)));
}

// Guards against traffic between daemons that grows with the fleet, and against daemons that nobody
// watches.
Test(peer_directory, neighbours_are_few_and_mutual) {
  constexpr int kFleet = 60;
  PeerDirectory::Options options;
  std::vector<PeerDirectory> fleet;
  for (int self = 0; self < kFleet; ++self) {
    fleet.emplace_back("d" + std::to_string(self), options);
    for (int peer = 0; peer < kFleet; ++peer) {
      fleet.back().Put(Record("d" + std::to_string(peer)), kStart);
    }
  }
  const auto has = [&fleet](int self, int peer) {
    const std::vector<PeerRecord> neighbours = fleet[static_cast<std::size_t>(self)].Neighbours();
    const std::string name = "d" + std::to_string(peer);
    return std::any_of(neighbours.begin(), neighbours.end(),
                       [&name](const PeerRecord& record) { return record.name == name; });
  };
  for (int self = 0; self < kFleet; ++self) {
    cr_assert_eq(fleet[static_cast<std::size_t>(self)].Neighbours().size(), options.max_neighbours);
    for (int peer = 0; peer < kFleet; ++peer) {
      if (self != peer) cr_assert_eq(has(self, peer), has(peer, self));
    }
  }
}

// Guards against rows of dead daemons that stay forever, and rows of live ones that are removed.
Test(peer_directory, silent_neighbours_are_lost_in_the_end) {
  PeerDirectory peers("self", {});
  peers.Put(Record("p"), kStart);
  peers.Put(Record("q"), kStart);
  peers.OnHeartbeat(Heartbeat("p", 1), At(29000));
  const std::vector<std::string> lost = peers.Lost(At(30000));
  cr_assert_eq(lost.size(), 1u);
  cr_assert(lost[0] == "q");
}

// Guards against a row that cannot be read by the next version of the daemon or by a later start.
Test(peer_directory, records_survive_the_store) {
  const PeerRecord record = Record("p", 123456789012345);
  cr_assert(ParsePeerRecord(ToJson(record)) == record);
  cr_assert_not(ParsePeerRecord("{\"name\":\"p\"}").has_value());
  cr_assert_not(ParsePeerRecord("not json").has_value());
}

// Guards against a key that still works after its removal on a daemon that was paused or cut off.
Test(freshness_proof, holds_from_the_start_of_the_call) {
  ConfigurationFreshness proof(std::chrono::seconds(5));
  cr_assert_not(proof.IsConfirmed(kStart));
  proof.Confirm(kStart);
  cr_assert(proof.IsConfirmed(At(4999)));
  cr_assert_not(proof.IsConfirmed(At(5000)));
  proof.Confirm(At(-1000));
  cr_assert(proof.IsConfirmed(At(4999)), "a late answer to an earlier call changes nothing");
}

// Guards against a daemon that stops all service in an outage of the store though removed keys may
// work on, and against one that serves without any configuration.
Test(freshness_proof, an_expired_proof_permits_requests_where_it_may) {
  ConfigurationFreshness refusing(std::chrono::seconds(5), ExpiredConfigurationPolicy::kRefuse);
  ConfigurationFreshness serving(std::chrono::seconds(5), ExpiredConfigurationPolicy::kServe);
  cr_assert_not(serving.Permits(kStart), "nothing was ever proven");
  refusing.Confirm(kStart);
  serving.Confirm(kStart);
  cr_assert(refusing.Permits(At(4999)));
  cr_assert_not(refusing.Permits(At(5000)));
  cr_assert(serving.Permits(At(3600000)));
  cr_assert_not(serving.IsConfirmed(At(5000)), "the proof itself expires");
}

// Guards against requests that are refused soon after the store is lost because the last proof was
// already old: the configuration may have changed at any moment before.
Test(freshness_proof, most_of_the_validity_is_left_when_the_store_is_lost) {
  constexpr Duration kFollowDelay = std::chrono::milliseconds(300);
  for (const int validity_ms : {3000, 5000, 20000}) {
    const Duration validity = std::chrono::milliseconds(validity_ms);
    const Duration watch = ProofWatchTime(validity, kFollowDelay);
    const Duration needed = validity * 6 / 10;
    for (Duration change{}; change <= watch; change += watch / 20) {
      for (Duration loss = change; loss < change + watch; loss += watch / 20) {
        ConfigurationFreshness proof(validity);
        const TimePoint start(std::chrono::hours(1));
        // A watch ends early with a change; the next one is lost.
        proof.Confirm(start);
        const TimePoint lost = start + loss + kFollowDelay;
        cr_assert(proof.IsConfirmed(lost + needed - Duration(1)), "validity %d ms", validity_ms);
      }
    }
  }
}
