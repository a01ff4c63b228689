#include "measure_control_plane.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "measure.h"
#include "simulation/fleet.h"

namespace fulmarpoint {

namespace {

using std::chrono::seconds;

constexpr Duration kDay = std::chrono::hours(24);
constexpr int kReplacementsPerDay = 130;
constexpr int kFleetOfReplacements = 350;

CatalogueEntry ServiceEntry(int number, int max_concurrent) {
  CatalogueEntry entry;
  entry.service = "service-" + std::to_string(number);
  entry.owner = "ops";
  entry.model = "model-" + std::to_string(number);
  entry.version = "v1";
  entry.versions = {"v1", "v2"};
  entry.limits.max_concurrent = max_concurrent;
  for (int i = 0; i < 10; ++i) {
    OrganisationAccess access;
    access.organisation = "organisation-" + std::to_string(i);
    access.key_hashes = {std::string(64, 'a')};
    entry.organisations.push_back(access);
  }
  return entry;
}

/// A fleet with a load of changes and replacements, and what each phase of it costs.
class Scenario {
 public:
  Scenario(int daemons, std::uint64_t seed) : m_fleet({}, seed), m_random(seed) {
    m_fleet.on_action = [this](int index, const ControlPlane::Action& action) {
      OnAction(index, action);
    };
    m_fleet.AddMany(daemons);
    m_fleet.RunFor(seconds(90));
    for (int i = 0; i < 29; ++i) {
      Change(ServiceEntry(i, 10));
      m_fleet.RunFor(seconds(3));
    }
    m_fleet.RunFor(seconds(60));
  }

  /// Runs one phase and returns its costs. Changes come every 20 s, ten times as
  /// often as 410 a day, so that a phase of minutes contains several.
  nlohmann::json Run(const char* name, Duration duration, bool with_changes) {
    ResetCounters();
    const double cpu = ProcessCpuMicroseconds();
    const std::uint64_t events = m_fleet.Events();
    const TimePoint end = m_fleet.Now() + duration;
    const Duration replacement_interval =
        kDay / kReplacementsPerDay * kFleetOfReplacements / m_fleet.Size();
    TimePoint next_replacement = m_fleet.Now() + replacement_interval / 2;
    TimePoint next_change = m_fleet.Now() + seconds(5);
    while (m_fleet.Now() < end) {
      m_fleet.RunFor(seconds(1));
      if (with_changes && m_fleet.Now() >= next_change) {
        Change(ServiceEntry(static_cast<int>(m_random() % 29), ++m_limit));
        next_change += seconds(20);
      }
      if (replacement_possible && m_fleet.Now() >= next_replacement) {
        m_fleet.Replace(static_cast<int>(m_random() % static_cast<std::uint64_t>(m_fleet.Size())));
        next_replacement += replacement_interval;
      }
    }
    return Summarise(name, duration, ProcessCpuMicroseconds() - cpu, m_fleet.Events() - events);
  }

  Fleet& GetFleet() { return m_fleet; }
  bool replacement_possible = true;

 private:
  void Change(const CatalogueEntry& entry) {
    CatalogueWriter::Apply apply;
    apply.entries = {entry};
    apply.author = "measure";
    int writer = 0;
    do {
      writer = static_cast<int>(m_random() % static_cast<std::uint64_t>(m_fleet.Size()));
    } while (!m_fleet.IsActive(writer));
    m_started[m_fleet.Apply(writer, std::move(apply))] = m_fleet.Now();
  }

  void OnAction(int index, const ControlPlane::Action& action) {
    if (const auto* change = std::get_if<CatalogueReplica::RevisionChanged>(&action)) {
      const auto first = m_revisions.try_emplace(change->revision, m_fleet.Now()).first;
      // A new process that loads an older revision says nothing about the spread of that revision.
      const bool is_new = m_fleet.At(index).started > first->second;
      if (m_count_spread && !is_new) m_spread.push_back(m_fleet.Now() - first->second);
      ++m_changes_at[index];
    } else if (const auto* done = std::get_if<CatalogueWriter::ApplyFinished>(&action)) {
      const auto started = m_started.find(done->id);
      if (started == m_started.end()) return;
      ++m_statuses[std::string(NameOf(kApplyStatusNames, done->report.status))];
      if (done->report.status == ApplyStatus::kAccepted) {
        m_accept.push_back(m_fleet.Now() - started->second);
        m_unknown += done->report.unknown.size();
      }
    }
  }

  void ResetCounters() {
    for (int i = 0; i < m_fleet.Size(); ++i) {
      Fleet::Daemon& daemon = m_fleet.At(i);
      daemon.datagrams_sent = daemon.datagrams_received = 0;
      daemon.bytes_sent = daemon.bytes_received = daemon.delta_bytes = 0;
    }
    m_store_before = m_fleet.Store();
    m_spread.clear();
    m_accept.clear();
    m_statuses.clear();
    m_unknown = 0;
    m_count_spread = true;
  }

  static double Seconds(Duration duration) {
    return std::chrono::duration<double>(duration).count();
  }
  static double Quantile(std::vector<Duration> values, double share) {
    if (values.empty()) return 0;
    std::sort(values.begin(), values.end());
    const double position = share * static_cast<double>(values.size() - 1);
    return Seconds(values[static_cast<std::size_t>(position)]);
  }

  nlohmann::json Summarise(const char* name, Duration duration, double cpu, std::uint64_t events) {
    const double time = Seconds(duration);
    const double daemons = m_fleet.Size();
    double bytes = 0;
    double largest = 0;
    double datagrams = 0;
    double deltas = 0;
    std::size_t state = 0;
    int accepting = 0;
    for (int i = 0; i < m_fleet.Size(); ++i) {
      const Fleet::Daemon& daemon = m_fleet.At(i);
      const double own =
          static_cast<double>(daemon.bytes_sent + daemon.bytes_received + daemon.delta_bytes);
      bytes += own;
      largest = std::max(largest, own);
      deltas += static_cast<double>(daemon.delta_bytes);
      datagrams += static_cast<double>(daemon.datagrams_sent + daemon.datagrams_received);
      if (!daemon.running) continue;
      state = std::max(state, daemon.control->StateBytes());
      accepting += daemon.control->AcceptsWork(m_fleet.Now()) ? 1 : 0;
    }
    const Fleet::StoreCounts& store = m_fleet.Store();
    const double per_daemon = time * daemons;
    return {
        {"phase", name},
        {"seconds", time},
        {"bytes_per_second_and_daemon", bytes / per_daemon},
        {"bytes_per_second_of_the_busiest_daemon", largest / time},
        {"delta_bytes_per_second_and_daemon", deltas / per_daemon},
        {"datagrams_per_second_and_daemon", datagrams / per_daemon},
        {"cpu_us_per_event", cpu / static_cast<double>(events)},
        {"cpu_share_of_a_core_per_daemon", cpu / 1e6 / per_daemon},
        {"largest_state_bytes", state},
        {"daemons_accepting_work_at_the_end", accepting},
        {"store_reads_per_second", static_cast<double>(store.reads - m_store_before.reads) / time},
        {"store_writes_per_second",
         static_cast<double>(store.writes - m_store_before.writes) / time},
        {"changes", m_statuses},
        {"seconds_until_answer_p50", Quantile(m_accept, 0.5)},
        {"seconds_until_answer_max", Quantile(m_accept, 1.0)},
        {"daemons_unknown_in_answers", m_unknown},
        {"seconds_from_first_to_daemon_p50", Quantile(m_spread, 0.5)},
        {"seconds_from_first_to_daemon_p99", Quantile(m_spread, 0.99)},
        {"seconds_from_first_to_daemon_max", Quantile(m_spread, 1.0)}};
  }

  Fleet m_fleet;
  Random m_random;
  int m_limit = 100;
  bool m_count_spread = false;
  Fleet::StoreCounts m_store_before;
  std::map<std::uint64_t, TimePoint> m_revisions;
  std::map<std::uint64_t, TimePoint> m_started;
  std::map<int, std::uint64_t> m_changes_at;
  std::map<std::string, int> m_statuses;
  std::vector<Duration> m_spread;
  std::vector<Duration> m_accept;
  std::size_t m_unknown = 0;
};

bool IsInFirstRegion(int index) { return index % 4 < 2; }

nlohmann::json MeasureFleet(int daemons, std::uint64_t seed) {
  Scenario scenario(daemons, seed);
  Fleet& fleet = scenario.GetFleet();
  nlohmann::json phases = nlohmann::json::array();
  phases.push_back(scenario.Run("changes every 20 s, replacements", seconds(600), true));
  scenario.replacement_possible = false;

  for (int i = 3; i < daemons; i += 4) fleet.Crash(i);
  phases.push_back(scenario.Run("loss of a failure domain", seconds(60), true));
  for (int i = 3; i < daemons; i += 4) fleet.Replace(i);
  phases.push_back(scenario.Run("return of the failure domain", seconds(60), true));

  fleet.is_cut = [](int a, int b) { return IsInFirstRegion(a) != IsInFirstRegion(b); };
  fleet.read_fault = fleet.write_fault = [](int index) {
    return IsInFirstRegion(index) ? StoreFault::kNone : StoreFault::kDown;
  };
  phases.push_back(scenario.Run("regions parted, first minute", seconds(60), false));
  phases.push_back(scenario.Run("regions parted, later", seconds(240), false));
  fleet.is_cut = [](int, int) { return false; };
  fleet.read_fault = fleet.write_fault = [](int) { return StoreFault::kNone; };
  phases.push_back(scenario.Run("return of a region", seconds(60), false));

  fleet.read_fault = fleet.write_fault = [](int) { return StoreFault::kDown; };
  phases.push_back(scenario.Run("table service down", seconds(300), false));
  return {{"daemons", daemons}, {"phases", phases}};
}

}  // namespace

nlohmann::json MeasureControlPlane(const MeasureOptions& options) {
  const std::vector<int> sizes =
      options.sizes.empty() ? std::vector<int>{8, 64, 350} : options.sizes;
  nlohmann::json fleets = nlohmann::json::array();
  for (const int size : sizes) fleets.push_back(MeasureFleet(size, options.seed));
  return {{"measurement", "control-plane"}, {"seed", options.seed}, {"fleets", fleets}};
}

}  // namespace fulmarpoint
