#include <criterion/criterion.h>

#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "coordination/endpoint_directory.h"
#include "coordination/relay_placement.h"

using namespace fulmarpoint;

namespace {

constexpr Duration kPath = std::chrono::milliseconds(1);
constexpr Duration kWork = std::chrono::milliseconds(30);
constexpr Duration kRestart = std::chrono::seconds(3);
constexpr Duration kRun = std::chrono::seconds(12);
constexpr int kSlots = 6;
// Requests that a brittle engine lets wait.
constexpr int kWaiting = 1;
constexpr int kMaxTries = 6;

/// Load and size of a fleet. `load` is relative to what its engines can run.
struct Scenario {
  int daemons = 8;
  int engines = 4;
  int limit = 8;
  double load = 3.0;
};

/// An engine that crashes if it has to reject more than `limit` requests within a second.
struct Engine {
  EndpointRecord record;
  int running = 0;
  int waiting = 0;
  std::deque<TimePoint> rejections;
  TimePoint back_at{};
  int crashes = 0;
};

/// Daemons that place calls at brittle engines, in virtual time. Each daemon knows what it sends
/// and what replies say.
class BrittleFleet {
 public:
  BrittleFleet(const Scenario& scenario, std::uint64_t seed)
      : m_scenario(scenario), m_random(seed) {
    for (int engine = 0; engine < scenario.engines; ++engine) {
      Engine added;
      added.record.id = "e" + std::to_string(engine);
      added.record.service = "orders";
      added.record.address = "10.0.0." + std::to_string(engine) + ":1";
      added.record.failure_domain = std::string(1, static_cast<char>('a' + engine % 4));
      added.record.slots = kSlots;
      m_engines.push_back(added);
    }
    for (int daemon = 0; daemon < scenario.daemons; ++daemon) {
      m_daemons.push_back(std::make_unique<EndpointDirectory>());
      for (const Engine& engine : m_engines) {
        m_daemons.back()->Put(engine.record, m_now);
        m_daemons.back()->OnRejectionLimit(engine.record, scenario.limit,
                                           static_cast<std::size_t>(scenario.daemons), m_now);
      }
    }
  }

  void Run() {
    const double per_second = m_scenario.load * m_scenario.engines * kSlots /
                              std::chrono::duration<double>(kWork).count();
    std::exponential_distribution<double> gap(per_second);
    const TimePoint end = m_now + kRun;
    TimePoint next = m_now;
    while (next < end) {
      Step(next);
      m_now = next;
      const std::size_t daemon = m_random() % m_daemons.size();
      Try(daemon, {}, 0);
      next += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(m_random)));
    }
    Step(end);
  }

  int Crashes() const {
    int crashes = 0;
    for (const Engine& engine : m_engines) crashes += engine.crashes;
    return crashes;
  }
  int Served() const { return m_served; }

 private:
  struct Event {
    TimePoint at{};
    std::function<void()> run;
    bool operator>(const Event& other) const { return at > other.at; }
  };

  void At(TimePoint at, std::function<void()> run) { m_events.push({at, std::move(run)}); }

  void Step(TimePoint until) {
    while (!m_events.empty() && m_events.top().at <= until) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.at;
      event.run();
    }
  }

  void Try(std::size_t daemon, std::set<EndpointId> excluded, int tries) {
    if (tries >= kMaxTries) return;
    EndpointDirectory& directory = *m_daemons[daemon];
    PlacementRequest request;
    request.failure_domain = std::string(1, static_cast<char>('a' + daemon % 4));
    request.daemon = "daemon-" + std::to_string(daemon);
    request.now = m_now;
    request.excluded = excluded;
    const DirectoryEndpoint* chosen =
        PlaceCall(directory.Usable("orders", m_now), request, m_random);
    if (chosen == nullptr) return;
    const std::size_t index = static_cast<std::size_t>(std::stoi(chosen->record.id.substr(1)));
    directory.AddUse({chosen->record.id});
    At(m_now + kPath,
       [this, daemon, index, excluded, tries]() { Arrive(daemon, index, excluded, tries); });
  }

  void Arrive(std::size_t daemon, std::size_t index, std::set<EndpointId> excluded, int tries) {
    Engine& engine = m_engines[index];
    excluded.insert(engine.record.id);
    if (m_now < engine.back_at) {
      At(m_now + kPath, [this, daemon, index, excluded, tries]() {
        m_daemons[daemon]->RemoveUse({m_engines[index].record.id});
        m_daemons[daemon]->OnFailure(m_engines[index].record.id, m_now);
        Try(daemon, excluded, tries + 1);
      });
      return;
    }
    if (engine.running < kSlots) {
      Begin(daemon, index);
    } else if (engine.waiting < kWaiting) {
      ++engine.waiting;
      m_waiting[index].push_back(daemon);
    } else {
      Reject(engine);
      At(m_now + kPath, [this, daemon, index, excluded, tries, load = LoadOf(engine)]() {
        Answer(daemon, index, load);
        m_daemons[daemon]->OnRejected(m_engines[index].record.id, m_now);
        Try(daemon, excluded, tries + 1);
      });
    }
  }

  void Begin(std::size_t daemon, std::size_t index) {
    Engine& engine = m_engines[index];
    ++engine.running;
    At(m_now + kWork, [this, daemon, index, crashes = engine.crashes]() {
      Engine& ended = m_engines[index];
      if (ended.crashes != crashes) {
        m_daemons[daemon]->RemoveUse({ended.record.id});
        return;
      }
      --ended.running;
      ++m_served;
      if (ended.waiting > 0) {
        --ended.waiting;
        const std::size_t next = m_waiting[index].front();
        m_waiting[index].pop_front();
        Begin(next, index);
      }
      At(m_now + kPath,
         [this, daemon, index, load = LoadOf(ended)]() { Answer(daemon, index, load); });
    });
  }

  void Reject(Engine& engine) {
    engine.rejections.push_back(m_now);
    while (m_now - engine.rejections.front() > std::chrono::seconds(1))
      engine.rejections.pop_front();
    if (engine.rejections.size() <= static_cast<std::size_t>(m_scenario.limit)) return;
    ++engine.crashes;
    engine.back_at = m_now + kRestart;
    engine.running = 0;
    engine.waiting = 0;
    engine.rejections.clear();
    std::deque<std::size_t>& waiting =
        m_waiting[static_cast<std::size_t>(&engine - m_engines.data())];
    for (const std::size_t daemon : waiting) m_daemons[daemon]->RemoveUse({engine.record.id});
    waiting.clear();
  }

  static EndpointLoad LoadOf(const Engine& engine) {
    return {engine.running, engine.waiting, kSlots, std::nullopt};
  }

  void Answer(std::size_t daemon, std::size_t index, const EndpointLoad& load) {
    const EndpointRecord& record = m_engines[index].record;
    // In the order of `ReportEndpointState()`; the relay counts a call until its reply was read.
    m_daemons[daemon]->OnRejectionLimit(record, m_scenario.limit, m_daemons.size(), m_now);
    m_daemons[daemon]->OnLoad(record, load, m_now);
    m_daemons[daemon]->RemoveUse({record.id});
  }

  Scenario m_scenario;
  Random m_random;
  TimePoint m_now{std::chrono::seconds(100)};
  std::vector<Engine> m_engines;
  std::vector<std::unique_ptr<EndpointDirectory>> m_daemons;
  std::map<std::size_t, std::deque<std::size_t>> m_waiting;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  int m_served = 0;
};

}  // namespace

// Guards against brittle engines that crash in series because daemons go on sending what these have
// no room for, and against daemons that leave them idle instead.
Test(brittle_endpoints, overload_does_not_crash_them_in_series) {
  for (const Scenario& scenario :
       {Scenario{8, 4, 8, 3.0}, Scenario{8, 4, 20, 3.0}, Scenario{3, 4, 5, 2.0},
        Scenario{8, 18, 8, 2.0}, Scenario{30, 12, 20, 3.0}, Scenario{6, 4, 8, 1.0}}) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      BrittleFleet fleet(scenario, seed);
      fleet.Run();
      const int allowed = 2 + scenario.engines / 10;
      const double capacity = scenario.engines * kSlots *
                              std::chrono::duration<double>(kRun).count() /
                              std::chrono::duration<double>(kWork).count();
      const double share = fleet.Served() / (std::min(1.0, scenario.load) * capacity);
      cr_expect_leq(fleet.Crashes(), allowed,
                    "%d daemons, %d engines, limit %d, load %.1f, seed %d: %d crashes",
                    scenario.daemons, scenario.engines, scenario.limit, scenario.load,
                    static_cast<int>(seed), fleet.Crashes());
      cr_expect_geq(share, 0.6, "%d daemons, %d engines, limit %d, load %.1f, seed %d: share %.2f",
                    scenario.daemons, scenario.engines, scenario.limit, scenario.load,
                    static_cast<int>(seed), share);
    }
  }
}

// Guards against engines with a small limit that crash in series although each daemon keeps to its
// budget.
Test(brittle_endpoints, a_small_limit_is_kept_by_all_daemons_together) {
  const Scenario scenario{8, 4, 2, 1.0};
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    BrittleFleet fleet(scenario, seed);
    fleet.Run();
    cr_expect_leq(fleet.Crashes(), 2, "seed %d: %d crashes", static_cast<int>(seed),
                  fleet.Crashes());
  }
}

// Guards against an engine that counts as brittle for good, and against one that is spared although
// its replies do not say that it is brittle.
Test(brittle_endpoints, a_reply_without_the_statement_ends_it) {
  constexpr TimePoint kNow{std::chrono::seconds(1)};
  RejectionBudget budget;
  cr_assert_not(budget.IsBrittle(kNow));
  cr_assert(budget.Admits(100, 0, kNow));
  budget.OnStatement({8, 16, 8, 0}, kNow);
  cr_assert(budget.IsBrittle(kNow));
  cr_assert(budget.Admits(1, 0, kNow), "its share of the slots is two");
  cr_assert_not(budget.Admits(2, 0, kNow));
  cr_assert(budget.PauseAfterRejection(kNow) == std::chrono::seconds(2));
  budget.OnStatement({std::nullopt, 16, 8, 0}, kNow);
  cr_assert_not(budget.IsBrittle(kNow));
  cr_assert(budget.PauseAfterRejection(kNow) == Duration::zero());
  budget.OnStatement({0, 16, 8, 0}, kNow);
  cr_assert(budget.PauseAfterRejection(kNow) == std::chrono::seconds(5));
  cr_assert_not(budget.IsBrittle(kNow + std::chrono::seconds(5)), "the statement is old");
}
