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

#include "coordination/relay_placement.h"
#include "disturbed_pace.h"

using namespace fulmarpoint;

namespace {

constexpr std::size_t kDaemons = 72;
constexpr std::size_t kEndpoints = 60;
// Daemons to which each daemon sends the paces that it learns.
constexpr std::size_t kNeighbours = 10;
constexpr int kSlots = 8;
constexpr std::array<double, 3> kBaseFactors = {0.6, 1.0, 1.6};
constexpr Duration kCallTime = std::chrono::milliseconds(100);
constexpr Duration kShareInterval = std::chrono::milliseconds(500);
// About 40% of what all endpoints together can do.
constexpr double kCallsPerSecond = 1500.0;
constexpr int kCalls = 30000;
// Calls that are placed before the daemons have learned the paces.
constexpr int kWarmUpCalls = 6000;
constexpr TimePoint kStart{std::chrono::hours(1)};

// Calls that arrive at an endpoint in a disturbance wait there until daemons learn of it.
constexpr int kMaxPresent = 28;

/// An endpoint that runs calls in the order of their arrival, as many at a time as it has slots.
struct Endpoint {
  DisturbedPace pace;
  /// When each slot is free.
  std::array<TimePoint, kSlots> free_at{};
  int calls = 0;
  int present = 0;
  int most_present = 0;
};

struct CallTimes {
  Duration mean{};
  Duration p95{};
  int most_present = 0;
  std::array<int, 3> calls_by_base{};
};

/// Calls at random daemons, each of which knows only its own calls and what endpoints report.
class CallSimulation {
 public:
  CallSimulation(std::uint64_t seed, bool reports_pace)
      : m_random(seed), m_reports_pace(reports_pace) {
    for (std::size_t index = 0; index < kEndpoints; ++index) {
      const double base = kBaseFactors.at(index % kBaseFactors.size());
      m_endpoints.push_back({DisturbedPace(base, kStart, m_random())});
      EndpointRecord record;
      record.id = "e" + std::to_string(index);
      record.service = "search";
      record.address = "10.0.0." + std::to_string(index) + ":80";
      record.failure_domain = std::string(1, static_cast<char>('a' + index % 4));
      record.slots = kSlots;
      record.incarnation = 1;
      m_records.push_back(record);
    }
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      m_directories.push_back(std::make_unique<EndpointDirectory>());
      for (const EndpointRecord& record : m_records) m_directories.back()->Put(record, kStart);
    }
  }

  CallTimes Run() {
    std::exponential_distribution<double> pause(kCallsPerSecond);
    TimePoint now = kStart;
    TimePoint next_share = now;
    for (int call = 0; call < kCalls; ++call) {
      now += Duration(static_cast<Duration::rep>(pause(m_random) * 1e6));
      RunEventsUntil(now);
      if (now >= next_share) {
        SharePaces(now);
        next_share = now + kShareInterval;
      }
      Place(m_random() % kDaemons, call >= kWarmUpCalls, now);
    }
    CallTimes result;
    std::sort(m_times.begin(), m_times.end());
    Duration sum{};
    for (const Duration time : m_times) sum += time;
    result.mean = sum / static_cast<Duration::rep>(m_times.size());
    result.p95 = m_times[m_times.size() * 95 / 100];
    for (std::size_t index = 0; index < kEndpoints; ++index) {
      result.most_present = std::max(result.most_present, m_endpoints[index].most_present);
      result.calls_by_base.at(index % kBaseFactors.size()) += m_endpoints[index].calls;
    }
    return result;
  }

 private:
  struct Event {
    TimePoint at{};
    std::function<void()> run;

    bool operator<(const Event& other) const { return at > other.at; }
  };

  void RunEventsUntil(TimePoint until) {
    while (!m_events.empty() && m_events.top().at <= until) {
      const Event event = m_events.top();
      m_events.pop();
      event.run();
    }
  }

  void SharePaces(TimePoint now) {
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      for (const EndpointPace& pace : m_directories[daemon]->TakeNewPaces(now)) {
        for (std::size_t step = 1; step <= kNeighbours / 2; ++step) {
          m_directories[(daemon + step) % kDaemons]->OnPeerPace(pace, now);
          m_directories[(daemon + kDaemons - step) % kDaemons]->OnPeerPace(pace, now);
        }
      }
    }
  }

  void Place(std::size_t daemon, bool is_measured, TimePoint now) {
    PlacementRequest request;
    request.now = now;
    request.failure_domain = std::string(1, static_cast<char>('a' + daemon % 4));
    const DirectoryEndpoint* chosen =
        PlaceCall(m_directories[daemon]->Usable("search", now), request, m_random);
    cr_assert_not_null(chosen);
    const std::size_t index = std::stoul(chosen->record.id.substr(1));
    Endpoint& endpoint = m_endpoints[index];
    TimePoint& slot = *std::min_element(endpoint.free_at.begin(), endpoint.free_at.end());
    slot = endpoint.pace.Finish(std::max(now, slot), kCallTime);
    ++endpoint.present;
    if (is_measured) {
      ++endpoint.calls;
      endpoint.most_present = std::max(endpoint.most_present, endpoint.present);
      m_times.push_back(slot - now);
    }
    const EndpointUse use{m_records[index].id};
    m_directories[daemon]->AddUse(use);
    const TimePoint done = slot;
    m_events.push({done, [this, daemon, index, use, done]() {
                     m_directories[daemon]->RemoveUse(use);
                     OnReply(daemon, index, done);
                   }});
  }

  void OnReply(std::size_t daemon, std::size_t index, TimePoint now) {
    Endpoint& endpoint = m_endpoints[index];
    --endpoint.present;
    EndpointLoad load;
    load.running = std::min(endpoint.present, kSlots);
    load.waiting = endpoint.present - load.running;
    load.slots = kSlots;
    if (m_reports_pace) load.pace = endpoint.pace.At(now);
    m_directories[daemon]->OnLoad(m_records[index], load, now);
  }

  Random m_random;
  bool m_reports_pace;
  std::vector<Endpoint> m_endpoints;
  std::vector<EndpointRecord> m_records;
  std::vector<std::unique_ptr<EndpointDirectory>> m_directories;
  std::priority_queue<Event> m_events;
  std::vector<Duration> m_times;
};

void Print(const char* name, std::uint64_t seed, const CallTimes& times) {
  std::fprintf(stderr,
               "seed %lu, %s: call mean %.1f ms, p95 %.1f ms; calls at base 0.6/1/1.6: %d/%d/%d; "
               "most at one endpoint: %d\n",
               seed, name, static_cast<double>(times.mean.count()) / 1000,
               static_cast<double>(times.p95.count()) / 1000, times.calls_by_base[0],
               times.calls_by_base[1], times.calls_by_base[2], times.most_present);
}

}  // namespace

// Guards against calls that run at slow endpoints while fast ones have free slots, and against
// daemons that know nothing of each other's calls and all select the same fast endpoints.
Test(uneven_endpoints, calls_end_sooner_with_reported_paces_and_do_not_crowd) {
  for (const std::uint64_t seed : {20261206UL, 20261207UL, 20261208UL}) {
    const CallTimes without = CallSimulation(seed, false).Run();
    const CallTimes with = CallSimulation(seed, true).Run();
    Print("without paces", seed, without);
    Print("with paces", seed, with);
    cr_expect_lt(with.mean, without.mean, "seed %lu", seed);
    cr_expect_lt(with.p95, without.p95, "seed %lu", seed);
    cr_expect_gt(with.calls_by_base[0], with.calls_by_base[1], "seed %lu", seed);
    cr_expect_gt(with.calls_by_base[1], with.calls_by_base[2], "seed %lu", seed);
    cr_expect_leq(with.most_present, kMaxPresent, "seed %lu", seed);
  }
}
