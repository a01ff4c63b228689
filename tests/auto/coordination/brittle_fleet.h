#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "coordination/endpoint_directory.h"
#include "coordination/relay_placement.h"

namespace fulmarpoint::brittle {

inline constexpr Duration kPath = std::chrono::milliseconds(1);
inline constexpr Duration kWork = std::chrono::milliseconds(30);
inline constexpr Duration kRestart = std::chrono::seconds(3);
inline constexpr Duration kRun = std::chrono::seconds(12);
inline constexpr int kSlots = 6;
// Requests that a brittle engine lets wait.
inline constexpr int kWaiting = 1;
inline constexpr int kMaxTries = 6;

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

}  // namespace fulmarpoint::brittle
