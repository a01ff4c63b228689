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
constexpr Duration kReadingTime = std::chrono::milliseconds(1040);
constexpr Duration kRunTime = std::chrono::milliseconds(8500);
constexpr double kStreamsPerSecond = 58.0;
constexpr int kStreams = 4000;

struct PlacedStream {
  int daemon = 0;
  std::size_t engine = 0;
  /// Engine that receives the copy.
  std::size_t backup = 0;
  TimePoint read_at{};
  TimePoint ends{};
};

/// A fleet in which each daemon knows only its own streams and those of its neighbours on the ring,
/// as after a heartbeat without delay.
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
      m_hears.emplace_back(kDaemons, false);
      m_hears.back()[m_hears.size() - 1] = true;
      for (const PeerRecord& peer : directory.Neighbours()) {
        m_hears.back()[std::stoul(peer.name.substr(1))] = true;
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

  /// What became of a stream's placement.
  struct Placed {
    /// How long its prompt waits for others.
    Duration waits{};
    /// Whether the engine that receives the copy has room for it.
    bool copy_has_room = false;
    bool copy_is_elsewhere = false;
  };

  /// Places a stream as `daemon` sees the engines.
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
    const DirectoryEndpoint* copy = PlaceBackup(usable, request, *chosen);
    cr_assert_not_null(copy);
    const std::size_t engine = static_cast<std::size_t>(chosen - seen.data());
    const std::size_t backup = static_cast<std::size_t>(copy - seen.data());
    TimePoint begins = now;
    for (const PlacedStream& stream : m_streams) {
      if (stream.engine == engine) begins = std::max(begins, stream.read_at);
    }
    m_streams.push_back({daemon, engine, backup, begins + kReadingTime, begins + kRunTime});
    const bool is_elsewhere = copy->record.failure_domain != chosen->record.failure_domain;
    return {begins - now, KvCacheTokens(backup) <= kEngineMemory, is_elsewhere};
  }

  bool Hears(int daemon, int other) const {
    return m_hears[static_cast<std::size_t>(daemon)][static_cast<std::size_t>(other)];
  }
  const PeerDirectory& Directory(int daemon) const {
    return m_directories[static_cast<std::size_t>(daemon)];
  }

 private:
  /// Memory of all runs and copies at an engine.
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
      if (!Hears(daemon, stream.daemon)) continue;
      const std::int64_t unread = stream.read_at > now ? kPromptTokens : 0;
      seen[stream.engine].own.Add({"", unread, kMemoryTokens, true});
      seen[stream.backup].own.Add({"", 0, kMemoryTokens, false});
    }
    return seen;
  }

  std::vector<PeerDirectory> m_directories;
  std::vector<std::vector<bool>> m_hears;
  std::vector<DirectoryEndpoint> m_engines;
  std::vector<PlacedStream> m_streams;
};

/// Places streams at random daemons of a fleet and reports each.
void PlayStreams(std::uint64_t seed, const std::function<void(const Fleet::Placed&)>& report) {
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

// Guards against prompts that wait for one another while most engines read nothing, because the
// daemons that placed them there do not hear each other. 27% of the engines are reading.
Test(ring_placement, prompts_rarely_meet_in_a_fleet_of_strangers) {
  constexpr std::uint64_t kSeed = 20261204;
  int delayed = 0;
  PlayStreams(kSeed, [&delayed](const Fleet::Placed& placed) {
    if (placed.waits > Duration::zero()) ++delayed;
  });
  cr_assert_leq(delayed, kStreams / 20, "%d of %d streams wait, seed %lu", delayed, kStreams,
                kSeed);
}

// Guards against copies that all daemons place at the same engines, where there is no room for them
// while others are empty. Runs and copies take 48% of the memory of all engines.
Test(ring_placement, copies_find_room_in_a_fleet_of_strangers) {
  constexpr std::uint64_t kSeed = 20261205;
  int without_room = 0;
  PlayStreams(kSeed, [&without_room](const Fleet::Placed& placed) {
    if (!placed.copy_has_room) ++without_room;
    cr_assert(placed.copy_is_elsewhere);
  });
  cr_assert_leq(without_room, kStreams / 50, "%d of %d copies, seed %lu", without_room, kStreams,
                kSeed);
}

// Guards against daemons that take an engine for one that they hear all users of.
Test(ring_placement, daemons_that_share_a_near_engine_hear_each_other) {
  const Fleet fleet;
  for (int one = 0; one < kDaemons; ++one) {
    const RingView view = *fleet.Directory(one).View();
    for (int other = 0; other < kDaemons; ++other) {
      const double distance = std::abs(view.position - fleet.Directory(other).View()->position);
      const double apart = std::min(distance, 1.0 - distance);
      const bool may_share = apart <= 2 * view.heard_distance + 1e-9;
      cr_assert(!may_share || fleet.Hears(one, other), "d%d and d%d", one, other);
    }
  }
}

// Guards against small fleets that lose the order by prompt.
Test(ring_placement, a_fleet_that_hears_itself_has_no_ring) {
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
