#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "coordination/peer_directory.h"
#include "coordination/relay_placement.h"

using namespace fulmarpoint;

namespace {

constexpr int kDaemons = 90;
constexpr int kEngines = 224;
constexpr std::int64_t kPromptTokens = 5200;
constexpr std::int64_t kMemoryTokens = 6000;
constexpr std::int64_t kEngineMemory = 55000;
constexpr Duration kPrefillTime = std::chrono::milliseconds(1040);
constexpr Duration kStreamDuration = std::chrono::milliseconds(8500);
constexpr double kStreamsPerSecond = 58.0;
constexpr int kStreams = 4000;

struct PlacedStream {
  int daemon = 0;
  std::size_t engine = 0;
  /// Engine that receives the backup.
  std::size_t backup = 0;
  TimePoint prefilled_at{};
  TimePoint ends{};
};

/// A fleet in which each daemon has only its own streams and those of its neighbours on the ring,
/// as after heartbeats without delay.
class Fleet {
 public:
  Fleet() {
    for (int daemon = 0; daemon < kDaemons; ++daemon) {
      m_directories.emplace_back("d" + std::to_string(daemon), PeerDirectory::Options());
      for (int other = 0; other < kDaemons; ++other) {
        PeerRecord record;
        record.name = "d" + std::to_string(other);
        if (other != daemon) m_directories.back().Put(record, TimePoint{});
      }
    }
    for (const PeerDirectory& directory : m_directories) {
      m_sees.emplace_back(kDaemons, false);
      m_sees.back()[m_sees.size() - 1] = true;
      for (const PeerRecord& peer : directory.HeartbeatPeers()) {
        m_sees.back()[std::stoul(peer.name.substr(1))] = true;
      }
    }
    for (int engine = 0; engine < kEngines; ++engine) {
      DirectoryEndpoint endpoint;
      endpoint.record.id = "e" + std::to_string(engine);
      endpoint.record.failure_domain = std::string(1, static_cast<char>('a' + engine % 4));
      endpoint.record.slots = 12;
      m_engines.push_back(endpoint);
    }
  }

  /// Result of placing a stream.
  struct Placed {
    /// How long the prefill of its prompt waits for others.
    Duration prefill_delay{};
    /// Whether the engine that receives the backup has room for it.
    bool backup_has_room = false;
    bool backup_is_elsewhere = false;
  };

  /// Places a stream with the view that `daemon` has of the engines.
  Placed Place(int daemon, std::uint64_t prompt, TimePoint now) {
    m_streams.erase(
        std::remove_if(m_streams.begin(), m_streams.end(),
                       [now](const PlacedStream& stream) { return stream.ends <= now; }),
        m_streams.end());
    const std::vector<DirectoryEndpoint> seen = SeenBy(daemon, now);
    std::vector<const DirectoryEndpoint*> usable;
    for (const DirectoryEndpoint& endpoint : seen) usable.push_back(&endpoint);
    PlacementRequest request;
    request.now = now;
    request.prompt = prompt;
    request.prompt_tokens = kPromptTokens;
    request.kv_cache_tokens = kMemoryTokens;
    request.engine_kv_cache_tokens = kEngineMemory;
    request.ring = m_directories[static_cast<std::size_t>(daemon)].View();
    const DirectoryEndpoint* chosen = PlaceStream(usable, request);
    cr_assert_not_null(chosen);
    const DirectoryEndpoint* backup_endpoint = PlaceBackup(usable, request, *chosen);
    cr_assert_not_null(backup_endpoint);
    const std::size_t engine = static_cast<std::size_t>(chosen - seen.data());
    const std::size_t backup = static_cast<std::size_t>(backup_endpoint - seen.data());
    TimePoint begins = now;
    for (const PlacedStream& stream : m_streams) {
      if (stream.engine == engine) begins = std::max(begins, stream.prefilled_at);
    }
    m_streams.push_back({daemon, engine, backup, begins + kPrefillTime, begins + kStreamDuration});
    const bool is_elsewhere =
        backup_endpoint->record.failure_domain != chosen->record.failure_domain;
    return {begins - now, KvCacheTokens(backup) <= kEngineMemory, is_elsewhere};
  }

  bool SeesStreamsOf(int daemon, int other) const {
    return m_sees[static_cast<std::size_t>(daemon)][static_cast<std::size_t>(other)];
  }
  const PeerDirectory& Directory(int daemon) const {
    return m_directories[static_cast<std::size_t>(daemon)];
  }

 private:
  /// KV cache tokens of all streams and backups at an engine.
  std::int64_t KvCacheTokens(std::size_t engine) const {
    std::int64_t tokens = 0;
    for (const PlacedStream& stream : m_streams) {
      if (stream.engine == engine) tokens += kMemoryTokens;
      if (stream.backup == engine) tokens += kMemoryTokens;
    }
    return tokens;
  }

  std::vector<DirectoryEndpoint> SeenBy(int daemon, TimePoint now) const {
    std::vector<DirectoryEndpoint> seen = m_engines;
    for (const PlacedStream& stream : m_streams) {
      if (!SeesStreamsOf(daemon, stream.daemon)) continue;
      const std::int64_t unread = stream.prefilled_at > now ? kPromptTokens : 0;
      seen[stream.engine].own.Add({"", unread, kMemoryTokens, true});
      seen[stream.backup].own.Add({"", 0, kMemoryTokens, false});
    }
    return seen;
  }

  std::vector<PeerDirectory> m_directories;
  std::vector<std::vector<bool>> m_sees;
  std::vector<DirectoryEndpoint> m_engines;
  std::vector<PlacedStream> m_streams;
};

/// Places streams at random daemons of a fleet and calls `report` for each.
void SimulateStreams(std::uint64_t seed, const std::function<void(const Fleet::Placed&)>& report) {
  Random random(seed);
  Fleet fleet;
  std::exponential_distribution<double> pause(kStreamsPerSecond);
  TimePoint now(std::chrono::hours(1));
  for (int stream = 0; stream < kStreams; ++stream) {
    now += Duration(static_cast<Duration::rep>(pause(random) * 1e6));
    const int daemon = static_cast<int>(random() % kDaemons);
    report(fleet.Place(daemon, random(), now));
  }
}

}  // namespace

// Guards against prompts that wait for each other while most engines are idle, because the daemons
// that placed them exchange no heartbeats. 27% of the engines are in prefill.
Test(ring_placement, prompts_rarely_wait_when_daemons_see_few_others) {
  constexpr std::uint64_t kSeed = 20261204;
  int delayed = 0;
  SimulateStreams(kSeed, [&delayed](const Fleet::Placed& placed) {
    if (placed.prefill_delay > Duration::zero()) ++delayed;
  });
  cr_assert_leq(delayed, kStreams / 20, "%d of %d streams wait, seed %lu", delayed, kStreams,
                kSeed);
}

// Guards against backups that all daemons place at the same engines, which have no room for them
// while others are empty. Streams and backups occupy 48% of the KV cache of all engines.
Test(ring_placement, backups_find_room_when_daemons_see_few_others) {
  constexpr std::uint64_t kSeed = 20261205;
  int without_room = 0;
  SimulateStreams(kSeed, [&without_room](const Fleet::Placed& placed) {
    if (!placed.backup_has_room) ++without_room;
    cr_assert(placed.backup_is_elsewhere);
  });
  cr_assert_leq(without_room, kStreams / 50, "%d of %d backups, seed %lu", without_room, kStreams,
                kSeed);
}

// Guards against daemons that assume to see all users of an engine although they do not.
Test(ring_placement, daemons_that_share_a_near_engine_see_each_other) {
  const Fleet fleet;
  for (int one = 0; one < kDaemons; ++one) {
    const RingView view = *fleet.Directory(one).View();
    for (int other = 0; other < kDaemons; ++other) {
      const double distance = std::abs(view.position - fleet.Directory(other).View()->position);
      const double apart = std::min(distance, 1.0 - distance);
      const bool may_share = apart <= 2 * view.visible_distance + 1e-9;
      cr_assert(!may_share || fleet.SeesStreamsOf(one, other), "d%d and d%d", one, other);
    }
  }
}

// Guards against small fleets that do not rank engines by prompt.
Test(ring_placement, a_fleet_in_which_all_see_each_other_has_no_ring_view) {
  PeerDirectory directory("d0", PeerDirectory::Options());
  PeerRecord record;
  for (int peer = 1; peer <= 10; ++peer) {
    record.name = "d" + std::to_string(peer);
    directory.Put(record, TimePoint{});
  }
  cr_assert_not(directory.View().has_value());
  record.name = "d11";
  directory.Put(record, TimePoint{});
  cr_assert(directory.View().has_value());
}
