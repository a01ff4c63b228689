#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "coordination/peer_directory.h"
#include "coordination/prefill_rate_estimator.h"
#include "coordination/relay_placement.h"
#include "disturbed_pace.h"

using namespace fulmarpoint;

namespace {

constexpr int kDaemons = 72;
constexpr std::size_t kEngines = 180;
constexpr int kSlots = 16;
constexpr std::array<double, 3> kBaseFactors = {0.6, 1.0, 1.6};
constexpr std::int64_t kPromptTokens = 5200;
constexpr std::int64_t kKvCacheTokens = 5800;
constexpr std::int64_t kEngineKvCacheTokens = 55000;
constexpr Duration kPrefillTime = std::chrono::milliseconds(1040);
constexpr Duration kDecodeTime = std::chrono::milliseconds(7500);
constexpr Duration kShareInterval = std::chrono::milliseconds(500);
constexpr double kStreamsPerSecond = 47.0;
// About two thirds of what all engines together can do, so that each is needed.
constexpr double kManyStreamsPerSecond = 100.0;
constexpr int kStreams = 6000;
// Streams that are placed before the daemons have learned the paces.
constexpr int kWarmUpStreams = 1200;
constexpr TimePoint kStart{std::chrono::hours(1)};

/// An implausible pace of a usual engine in both directions, and extreme but plausible ones of a
/// usual, a slow and a fast engine.
struct WrongPace {
  double base = 1.0;
  double stated = 1.0;
};
constexpr std::array<WrongPace, 5> kWrongPaces = {
    {{1.0, 0.01}, {1.0, 1e6}, {1.0, 0.06}, {1.6, 0.06}, {0.6, 15.0}}};

/// How an engine states its pace.
enum class Reporting {
  kNone,
  kTrue,
  /// The first engines state `kWrongPaces`. All others state the true pace.
  kSomeWrong,
};

/// An engine that prefills one prompt at a time, in the order of their arrival.
struct Engine {
  DisturbedPace pace;
  EndpointLoad load;
  TimePoint prefill_free_at{};
  int streams = 0;
  int most_running = 0;
  int most_waiting = 0;
};

struct Daemon {
  explicit Daemon(const std::string& name) : peers(name, PeerDirectory::Options()) {}

  PeerDirectory peers;
  EndpointDirectory endpoints;
  PrefillRateEstimator prefill_rate;
  /// Those that receive this daemon's heartbeats.
  std::vector<std::size_t> listeners;
};

struct SimulationResult {
  Duration mean{};
  Duration p95{};
  std::vector<Engine> engines;

  double StreamsPerEngine(double base) const {
    int streams = 0;
    int count = 0;
    for (const Engine& engine : engines) {
      if (engine.pace.Base() != base) continue;
      streams += engine.streams;
      ++count;
    }
    return static_cast<double>(streams) / std::max(1, count);
  }
  int MostRunning() const {
    int most = 0;
    for (const Engine& engine : engines) most = std::max(most, engine.most_running);
    return most;
  }
  int MostWaiting() const {
    int most = 0;
    for (const Engine& engine : engines) most = std::max(most, engine.most_waiting);
    return most;
  }
};

/// Streams at random daemons of a fleet in which each daemon knows its own streams and those of its
/// neighbours on the ring, and learns loads and paces from replies and its neighbours' datagrams.
class Simulation {
 public:
  Simulation(std::uint64_t seed, Reporting reporting, double streams_per_second = kStreamsPerSecond)
      : m_random(seed), m_reporting(reporting), m_streams_per_second(streams_per_second) {
    for (std::size_t engine = 0; engine < kEngines; ++engine) {
      double base = kBaseFactors.at(m_random() % kBaseFactors.size());
      if (StatesWrongPace(engine)) base = kWrongPaces.at(engine).base;
      m_result.engines.push_back({DisturbedPace(base, kStart, m_random())});
      EndpointRecord record;
      record.id = "e" + std::to_string(engine);
      record.service = "chat";
      record.address = "10.0.0." + std::to_string(engine) + ":80";
      record.failure_domain = std::string(1, static_cast<char>('a' + engine % 4));
      record.slots = kSlots;
      record.incarnation = 1;
      m_records.push_back(record);
    }
    for (int daemon = 0; daemon < kDaemons; ++daemon) AddDaemon(daemon);
    for (std::size_t daemon = 0; daemon < m_daemons.size(); ++daemon) {
      for (const PeerRecord& peer : m_daemons[daemon]->peers.HeartbeatPeers()) {
        m_daemons[daemon]->listeners.push_back(std::stoul(peer.name.substr(1)));
      }
    }
  }

  SimulationResult Run() {
    std::exponential_distribution<double> pause(m_streams_per_second);
    TimePoint now = kStart;
    TimePoint next_share = now;
    for (int stream = 0; stream < kStreams; ++stream) {
      now += Duration(static_cast<Duration::rep>(pause(m_random) * 1e6));
      while (next_share <= now) {
        RunEventsUntil(next_share);
        SharePaces(next_share);
        next_share += kShareInterval;
      }
      RunEventsUntil(now);
      Place(m_random() % kDaemons, stream >= kWarmUpStreams, now);
    }
    std::sort(m_first_events.begin(), m_first_events.end());
    Duration sum{};
    for (const Duration first_event : m_first_events) sum += first_event;
    m_result.mean = sum / static_cast<Duration::rep>(m_first_events.size());
    m_result.p95 = m_first_events[m_first_events.size() * 95 / 100];
    return std::move(m_result);
  }

 private:
  struct Event {
    TimePoint at{};
    std::function<void()> run;

    bool operator<(const Event& other) const { return at > other.at; }
  };

  void AddDaemon(int index) {
    m_daemons.push_back(std::make_unique<Daemon>("d" + std::to_string(index)));
    for (int other = 0; other < kDaemons; ++other) {
      PeerRecord record;
      record.name = "d" + std::to_string(other);
      if (other != index) m_daemons.back()->peers.Put(record, kStart);
    }
    for (const EndpointRecord& record : m_records) m_daemons.back()->endpoints.Put(record, kStart);
  }

  void RunEventsUntil(TimePoint until) {
    while (!m_events.empty() && m_events.top().at <= until) {
      const Event event = m_events.top();
      m_events.pop();
      event.run();
    }
  }

  void SharePaces(TimePoint now) {
    for (const std::unique_ptr<Daemon>& daemon : m_daemons) {
      for (const EndpointPace& pace : daemon->endpoints.TakeNewPaces(now)) {
        for (const std::size_t listener : daemon->listeners) {
          m_daemons[listener]->endpoints.OnPeerPace(pace, now);
        }
      }
    }
  }

  /// Calls `change` for the directories of the daemon and of those that receive its heartbeats.
  void ForViewers(std::size_t daemon, const std::function<void(EndpointDirectory&)>& change) {
    change(m_daemons[daemon]->endpoints);
    for (const std::size_t listener : m_daemons[daemon]->listeners) {
      change(m_daemons[listener]->endpoints);
    }
  }

  bool StatesWrongPace(std::size_t engine) const {
    return m_reporting == Reporting::kSomeWrong && engine < kWrongPaces.size();
  }

  std::optional<double> StatedPace(std::size_t engine, TimePoint now) {
    if (m_reporting == Reporting::kNone) return std::nullopt;
    if (StatesWrongPace(engine)) return kWrongPaces.at(engine).stated;
    return m_result.engines[engine].pace.At(now);
  }

  void Place(std::size_t daemon, bool is_measured, TimePoint now) {
    PlacementRequest request;
    request.now = now;
    request.prompt = m_random();
    request.prompt_tokens = kPromptTokens;
    request.kv_cache_tokens = kKvCacheTokens;
    request.engine_kv_cache_tokens = kEngineKvCacheTokens;
    request.ring = m_daemons[daemon]->peers.View();
    request.tie_seed = m_random();
    request.prefill_time = m_daemons[daemon]
                               ->prefill_rate.EstimateTimeToFirstEvent(kPromptTokens)
                               .value_or(Duration::zero());
    const DirectoryEndpoint* chosen =
        PlaceStream(m_daemons[daemon]->endpoints.Usable("chat", now), request);
    cr_assert_not_null(chosen);
    const std::size_t index = std::stoul(chosen->record.id.substr(1));
    const std::int64_t backlog = chosen->PendingPrefillTokens() + kPromptTokens;
    Engine& engine = m_result.engines[index];
    const TimePoint begins = std::max(now, engine.prefill_free_at);
    const TimePoint first_event = engine.pace.Finish(begins, kPrefillTime);
    engine.prefill_free_at = first_event;
    if (is_measured) {
      ++engine.streams;
      m_first_events.push_back(first_event - now);
    }
    ++engine.load.waiting;
    const EndpointUse pending = {m_records[index].id, kPromptTokens, kKvCacheTokens, true};
    ForViewers(daemon, [&](EndpointDirectory& directory) { directory.AddUse(pending); });
    if (is_measured) {
      engine.most_waiting = std::max(engine.most_waiting, engine.load.waiting);
      engine.most_running =
          std::max(engine.most_running, engine.load.waiting + engine.load.running);
    }
    m_events.push({first_event, [this, daemon, index, backlog, now, first_event]() {
                     OnFirstEvent(daemon, index, backlog, now, first_event);
                   }});
    m_events.push({engine.pace.Finish(first_event, kDecodeTime), [this, daemon, index]() {
                     --m_result.engines[index].load.running;
                     const EndpointUse use = {m_records[index].id, 0, kKvCacheTokens, true};
                     ForViewers(daemon,
                                [&](EndpointDirectory& directory) { directory.RemoveUse(use); });
                   }});
  }

  void OnFirstEvent(std::size_t daemon, std::size_t index, std::int64_t backlog, TimePoint placed,
                    TimePoint now) {
    Engine& engine = m_result.engines[index];
    --engine.load.waiting;
    ++engine.load.running;
    const EndpointUse pending = {m_records[index].id, kPromptTokens, kKvCacheTokens, true};
    const EndpointUse decoding = {m_records[index].id, 0, kKvCacheTokens, true};
    ForViewers(daemon, [&](EndpointDirectory& directory) {
      directory.RemoveUse(pending);
      directory.AddUse(decoding);
    });
    Daemon& owner = *m_daemons[daemon];
    EndpointLoad load = engine.load;
    load.slots = kSlots;
    load.pace = StatedPace(index, now);
    owner.endpoints.OnLoad(m_records[index], load, now);
    const std::optional<Duration> expected = owner.prefill_rate.EstimateTimeToFirstEvent(backlog);
    const double elapsed = static_cast<double>((now - placed).count());
    if (expected) {
      const double ratio = elapsed / static_cast<double>(expected->count());
      owner.endpoints.OnFirstEvent(m_records[index].id, ratio, now);
    }
    owner.prefill_rate.Observe(backlog, now - placed);
  }

  Random m_random;
  Reporting m_reporting;
  double m_streams_per_second;
  SimulationResult m_result;
  std::vector<EndpointRecord> m_records;
  std::vector<std::unique_ptr<Daemon>> m_daemons;
  std::priority_queue<Event> m_events;
  std::vector<Duration> m_first_events;
};

void Print(const char* name, std::uint64_t seed, const SimulationResult& result) {
  std::fprintf(stderr,
               "seed %lu, %s: first event mean %ld ms, p95 %ld ms; streams per engine of base "
               "0.6/1/1.6: %.1f/%.1f/%.1f; most at one engine: %d, in prefill %d\n",
               seed, name, static_cast<long>(result.mean.count() / 1000),
               static_cast<long>(result.p95.count() / 1000), result.StreamsPerEngine(0.6),
               result.StreamsPerEngine(1.0), result.StreamsPerEngine(1.6), result.MostRunning(),
               result.MostWaiting());
}

constexpr std::array<std::uint64_t, 3> kSeeds = {20261206, 20261207, 20261208};

}  // namespace

// Guards against streams that wait at slow engines while fast ones have room, and against daemons
// that do not hear each other and all select the same fast engine.
Test(uneven_engines, streams_start_sooner_with_reported_paces_and_no_engine_is_overloaded) {
  for (const std::uint64_t seed : kSeeds) {
    const SimulationResult without = Simulation(seed, Reporting::kNone).Run();
    const SimulationResult with = Simulation(seed, Reporting::kTrue).Run();
    Print("without paces", seed, without);
    Print("with paces", seed, with);
    cr_expect_lt(with.mean.count() * 100, without.mean.count() * 85, "seed %lu", seed);
    cr_expect_lt(with.p95.count() * 100, without.p95.count() * 85, "seed %lu", seed);
    cr_expect_gt(with.StreamsPerEngine(0.6), with.StreamsPerEngine(1.0), "seed %lu", seed);
    cr_expect_gt(with.StreamsPerEngine(1.0), with.StreamsPerEngine(1.6), "seed %lu", seed);
    cr_expect_leq(with.MostRunning(), kSlots, "seed %lu", seed);
    cr_expect_leq(with.MostWaiting(), std::max(4, without.MostWaiting()), "seed %lu", seed);
  }
}

// Guards against an engine that gets no work, or all of it, because it states an absurd pace.
Test(uneven_engines, an_engine_with_a_wrong_pace_is_neither_starved_nor_flooded) {
  const std::uint64_t seed = kSeeds.front();
  const SimulationResult result =
      Simulation(seed, Reporting::kSomeWrong, kManyStreamsPerSecond).Run();
  Print("some wrong paces", seed, result);
  const double mean = static_cast<double>(kStreams - kWarmUpStreams) / kEngines;
  for (std::size_t index = 0; index < kWrongPaces.size(); ++index) {
    const Engine& engine = result.engines[index];
    std::fprintf(stderr, "engine of base %.1f that states %g: %d streams, most %d, in prefill %d\n",
                 engine.pace.Base(), kWrongPaces.at(index).stated, engine.streams,
                 engine.most_running, engine.most_waiting);
    cr_expect_gt(engine.streams, mean / 10, "engine %zu, seed %lu", index, seed);
    cr_expect_lt(engine.streams, mean * 4, "engine %zu, seed %lu", index, seed);
    cr_expect_leq(engine.most_running, kSlots, "engine %zu, seed %lu", index, seed);
    cr_expect_leq(engine.most_waiting, 4, "engine %zu, seed %lu", index, seed);
  }
}
