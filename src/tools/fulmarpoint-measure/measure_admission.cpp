#include "measure_admission.h"

#include <algorithm>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "coordination/admission.h"
#include "measure.h"
#include "utils/random.h"
#include "virtual_time.h"

namespace fulmarpoint {

namespace {

using nlohmann::json;

constexpr int kSlots = 64;
constexpr Duration kMeanServiceTime = std::chrono::seconds(2);
constexpr Duration kDuration = std::chrono::minutes(2);
// Callers give up after this time in the queue.
constexpr Duration kCallerTimeout = std::chrono::seconds(4);
// Fraction of all requests that the large organisation sends.
constexpr double kLargeOrganisationShare = 0.9;

struct Scenario {
  std::uint64_t seed = 1;
  double load = 1.0;
  bool admission = true;
  /// Number of small organisations.
  int organisations = 20;
};

struct Counts {
  int arrived = 0;
  int rejected = 0;
  int answered = 0;
  /// Slot time spent on requests whose callers had given up before the start, in seconds.
  double wasted_seconds = 0.0;
  std::vector<double> waits_ms;
};

class Simulation {
 public:
  explicit Simulation(const Scenario& scenario) : m_scenario(scenario), m_random(scenario.seed) {
    std::vector<AdmissionAction> actions;
    m_admission.Handle(AdmissionSlotsChanged{kSlots}, m_time.Now(), actions);
  }

  void Run() {
    ScheduleArrival();
    ScheduleTimer();
    m_time.RunUntil(TimePoint(kDuration));
  }

  Counts m_large;
  Counts m_small;
  std::size_t m_max_organisations = 0;
  std::size_t m_max_waiting = 0;

 private:
  struct Item {
    bool large = false;
    TimePoint arrived{};
  };

  double Draw() { return std::uniform_real_distribution<double>(0.0, 1.0)(m_random); }

  Duration Exponential(Duration mean) {
    std::exponential_distribution<double> draw(1.0 / static_cast<double>(mean.count()));
    return Duration(static_cast<Duration::rep>(draw(m_random)) + 1);
  }

  void ScheduleArrival() {
    const double rate = m_scenario.load * kSlots / static_cast<double>(kMeanServiceTime.count());
    m_time.After(Exponential(Duration(static_cast<Duration::rep>(1.0 / rate))), [this] {
      AddRequest();
      ScheduleArrival();
    });
  }

  void ScheduleTimer() {
    m_time.After(std::chrono::milliseconds(100), [this] {
      if (m_scenario.admission) Handle(AdmissionTimerFired{});
      ScheduleTimer();
    });
  }

  void AddRequest() {
    const std::uint64_t id = ++m_last_request_id;
    const bool large = Draw() < kLargeOrganisationShare;
    m_items[id] = {large, m_time.Now()};
    ++CountsOf(id).arrived;
    if (!m_scenario.admission) {
      m_queue.push_back(id);
      m_max_waiting = std::max(m_max_waiting, m_queue.size());
      FillSlots();
      return;
    }
    const int number = static_cast<int>(Draw() * m_scenario.organisations);
    const OrganisationId organisation = large ? "large" : "small-" + std::to_string(number);
    Handle(AdmissionRequested{id, organisation, 1, 100000, Priority::kNormal,
                              m_time.Now() + std::chrono::minutes(10)});
    m_time.After(kCallerTimeout, [this, id] { Handle(AdmissionAbandoned{id}); });
  }

  void Handle(const AdmissionEvent& event) {
    std::vector<AdmissionAction> actions;
    m_admission.Handle(event, m_time.Now(), actions);
    for (const AdmissionAction& action : actions) {
      if (const auto* admit = std::get_if<Admit>(&action)) {
        Start(admit->request);
      } else {
        ++CountsOf(std::get<RejectRequest>(action).request).rejected;
      }
    }
    m_max_organisations = std::max(m_max_organisations, m_admission.ActiveOrganisations());
    m_max_waiting = std::max(m_max_waiting, m_admission.Waiting());
  }

  void FillSlots() {
    while (m_busy < kSlots && !m_queue.empty()) {
      const std::uint64_t id = m_queue.front();
      m_queue.pop_front();
      Start(id);
    }
  }

  void Start(std::uint64_t id) {
    ++m_busy;
    const Duration wait = m_time.Now() - m_items[id].arrived;
    const bool caller_waits = wait <= kCallerTimeout;
    const Duration service_time = Exponential(kMeanServiceTime);
    Counts& counts = CountsOf(id);
    if (caller_waits) {
      counts.waits_ms.push_back(static_cast<double>(wait.count()) / 1000.0);
    } else {
      counts.wasted_seconds += static_cast<double>(service_time.count()) / 1e6;
    }
    m_time.After(service_time, [this, id, caller_waits] {
      --m_busy;
      if (caller_waits) ++CountsOf(id).answered;
      m_items.erase(id);
      if (m_scenario.admission) {
        Handle(AdmissionEnded{id});
      } else {
        FillSlots();
      }
    });
  }

  Counts& CountsOf(std::uint64_t id) { return m_items[id].large ? m_large : m_small; }

  Scenario m_scenario;
  Random m_random;
  VirtualTime m_time;
  Admission m_admission;
  std::deque<std::uint64_t> m_queue;
  std::map<std::uint64_t, Item> m_items;
  std::uint64_t m_last_request_id = 0;
  int m_busy = 0;
};

json Describe(const Counts& counts) {
  std::vector<double> waits = counts.waits_ms;
  std::sort(waits.begin(), waits.end());
  const auto quantile = [&waits](double share) {
    return waits.empty()
               ? 0.0
               : waits[static_cast<std::size_t>(share * static_cast<double>(waits.size() - 1))];
  };
  return {{"arrived", counts.arrived},    {"refused", counts.rejected},
          {"answered", counts.answered},  {"wasted_slot_seconds", counts.wasted_seconds},
          {"wait_ms_p50", quantile(0.5)}, {"wait_ms_p95", quantile(0.95)},
          {"wait_ms_max", quantile(1.0)}};
}

json RunScenario(const Scenario& scenario) {
  Simulation simulation(scenario);
  const double before = ProcessCpuMicroseconds();
  simulation.Run();
  const double arrived = simulation.m_large.arrived + simulation.m_small.arrived;
  return {{"load_percent", static_cast<int>(scenario.load * 100)},
          {"mode", scenario.admission ? "admission" : "baseline: unbounded queue"},
          {"organisations", scenario.organisations + 1},
          {"large", Describe(simulation.m_large)},
          {"small", Describe(simulation.m_small)},
          {"most_organisations_with_state", simulation.m_max_organisations},
          {"most_waiting", simulation.m_max_waiting},
          {"cpu_us_per_request_with_simulation",
           (ProcessCpuMicroseconds() - before) / std::max(1.0, arrived)}};
}

}  // namespace

nlohmann::json MeasureAdmission(const MeasureOptions& options) {
  const std::vector<int> loads =
      options.sizes.empty() ? std::vector<int>{50, 90, 150, 300, 1000} : options.sizes;
  json rows = json::array();
  for (int load : loads) {
    for (bool admission : {false, true}) {
      rows.push_back(RunScenario({options.seed, load / 100.0, admission}));
    }
  }
  rows.push_back(RunScenario({options.seed, 3.0, true, 46000}));
  return {{"measurement", "admission"}, {"seed", options.seed}, {"slots", kSlots}, {"rows", rows}};
}

}  // namespace fulmarpoint
