#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/generation.h"
#include "coordination/interval_estimator.h"
#include "coordination/resume_budget.h"
#include "utils/enum_names.h"
#include "verification/event_queue.h"
#include "verification/simulated_engine.h"

namespace fulmarpoint {

enum class ResumePolicy {
  kResource,
  kLatency,
  /// Baseline: after a stall, another engine generates the whole response again.
  kRestart,
  /// Baseline: after a stall of 10 s, another engine continues from the delivered tokens.
  kFixedTimeout,
};

inline constexpr std::array<EnumName<ResumePolicy>, 4> kResumePolicyNames = {{
    {ResumePolicy::kResource, "class_resource"},
    {ResumePolicy::kLatency, "class_latency"},
    {ResumePolicy::kRestart, "baseline_restart"},
    {ResumePolicy::kFixedTimeout, "baseline_10s_timeout"},
}};

enum class EngineFault { kCrash, kEnginePause, kStalledConnections, kSlow };

inline constexpr std::array<EnumName<EngineFault>, 4> kEngineFaultNames = {{
    {EngineFault::kCrash, "crash"},
    {EngineFault::kEnginePause, "pause"},
    {EngineFault::kStalledConnections, "silent_connections"},
    {EngineFault::kSlow, "slow"},
}};

struct ResumeTotals {
  std::map<EngineFault, std::vector<double>> latencies_ms;
  std::uint64_t interrupted = 0;
  std::uint64_t completed = 0;
  std::uint64_t failed = 0;
  std::uint64_t delivered = 0;
  std::uint64_t generated = 0;
  std::uint64_t prefilled = 0;
};

/// Simulates one daemon with 120 generations of 600 tokens on eight engines, some of which crash,
/// pause, slow down or stall their connections. The faults depend on the seed alone, not on the
/// policy. Not thread-safe.
class ResumeSimulation {
 public:
  ResumeSimulation(ResumePolicy policy, std::uint64_t seed);

  /// Runs to the end and adds the results to `totals`.
  void Run(ResumeTotals& totals);

 private:
  struct Connection {
    std::size_t engine = 0;
    std::uint32_t attempt = 0;
    bool open = true;
    bool stalled = false;
    TimePoint last_delivery;
  };

  struct Stream {
    std::string prompt;
    std::unique_ptr<Generation> generation;
    std::map<std::uint32_t, Connection> connections;
    std::size_t engine = 0;
    std::uint64_t position = 0;
    bool ended = false;
    /// Time of the last token before the fault; set while the stream is interrupted.
    std::optional<TimePoint> last_token_before_fault;
    TimePoint fault_time;
    EngineFault fault = EngineFault::kCrash;
    TimePoint last_token;
    // Used by the baselines only.
    std::uint32_t attempt = 0;
    std::string stream_id;
    IntervalEstimator intervals{std::chrono::milliseconds(27)};
    std::uint64_t timer_serial = 0;
  };

  void ScheduleFaults(std::uint64_t seed);
  void InjectFault(EngineFault fault, std::size_t engine);
  void HandleEvent(std::size_t stream, const Generation::Event& event);
  void Execute(std::size_t stream, const Generation::Action& action);
  void SelectEngine(std::size_t stream, const generation::SelectEndpoint& action);
  std::size_t ChooseEngine(const std::vector<EndpointId>& excluded);
  bool Connect(std::size_t stream, std::size_t engine, std::uint32_t attempt,
               std::uint32_t connection, const std::function<void()>& refused);
  SimulatedEngine::Sink MakeSink(std::size_t stream, std::uint32_t connection);
  void OnMessage(std::size_t stream, std::uint32_t connection,
                 const SimulatedEngine::Message& message);
  void Deliver(std::size_t stream);
  // The baselines, for comparison, are policies that do not use `Generation`.
  void StartBaseline(std::size_t stream);
  void OnBaselineMessage(std::size_t stream, std::uint32_t attempt,
                         const SimulatedEngine::Message& message);
  void RestartBaselineTimer(std::size_t stream);
  bool IsBaseline() const { return m_policy >= ResumePolicy::kRestart; }

  ResumePolicy m_policy;
  EventQueue m_queue;
  ResumeBudget m_budget;
  std::vector<std::unique_ptr<SimulatedEngine>> m_engines;
  /// A failed engine is avoided during a cool-down; after it, one stream at a time probes the
  /// engine.
  struct Health {
    bool failed = false;
    TimePoint cooldown_until;
  };
  void MarkFailed(std::size_t engine);

  std::vector<Health> m_health;
  std::vector<Stream> m_streams;
  ResumeTotals* m_totals = nullptr;
};

}  // namespace fulmarpoint
