#pragma once

#include <cstdint>
#include <functional>
#include <variant>

#include "coordination/endpoint_ramp.h"
#include "utils/random.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Limits no requests.
class NoRamp {
 public:
  void OnStarted(TimePoint) {}
  void OnSent(TimePoint) {}
  void OnReply(double, TimePoint) {}
  void OnFailed(TimePoint) {}
  bool MayTake(int, const RampConditions&, TimePoint) const { return true; }
};

/// Raises the limit evenly within two seconds of a start or failure, whatever the replies.
class FixedRamp {
 public:
  void OnStarted(TimePoint now) { m_started_at = now; }
  void OnSent(TimePoint) {}
  void OnReply(double, TimePoint) {}
  void OnFailed(TimePoint now) { m_started_at = now; }
  bool MayTake(int in_progress, const RampConditions& conditions, TimePoint now) const;

 private:
  TimePoint m_started_at{};
};

/// Doubles the limit with each good reply, halves it with each slow one.
class DoublingRamp {
 public:
  void OnStarted(TimePoint now);
  void OnSent(TimePoint) {}
  void OnReply(double ratio, TimePoint now);
  void OnFailed(TimePoint now) { OnStarted(now); }
  bool MayTake(int in_progress, const RampConditions& conditions, TimePoint now) const;

 private:
  int m_limit = 64;
  TimePoint m_good_since{};
};

/// Divides the limit by the ratio of the latency to the usual one and adds its square root. Never
/// ends.
class GradientRamp {
 public:
  void OnStarted(TimePoint) { m_limit = 1.0; }
  void OnSent(TimePoint) {}
  void OnReply(double ratio, TimePoint now);
  void OnFailed(TimePoint) { m_limit = 1.0; }
  bool MayTake(int in_progress, const RampConditions& conditions, TimePoint now) const;

 private:
  double m_limit = 64.0;
};

using RampPolicy = std::variant<NoRamp, FixedRamp, DoublingRamp, GradientRamp, EndpointRamp>;

/// Condition of a simulated engine at a point in time.
struct EngineCondition {
  bool is_up = true;
  /// Work takes this many times as long as usual.
  double pace = 1.0;
  /// All replies are errors, sent at once.
  bool replies_errors = false;
};

struct RampFleetOptions {
  RampPolicy policy;
  int daemons = 10;
  int engines = 8;
  double requests_per_second = 70.0;
  Duration length = std::chrono::seconds(12);
  /// Prompts after a start that find nothing in the engine's cache, and their prefill time relative
  /// to the usual one.
  int cold_prompts = 0;
  double cold_factor = 4.0;
  /// Condition of an engine at a time since the start of the run.
  std::function<EngineCondition(int engine, Duration at)> condition;
  /// An engine that was down returns as a new process; otherwise only its network was down.
  bool restarts = true;
  std::uint64_t seed = 1;
};

/// What the callers of a run got.
struct RampFleetResult {
  int requests = 0;
  int on_time = 0;
  int late = 0;
  int failed = 0;
  /// Most requests that engine 0 was sent after its latest start before its first reply.
  int unproven = 0;
  /// Requests that engine 0 answered on time.
  int first_engine_on_time = 0;
  /// Time from the latest start of engine 0 until the last request that was kept from it; zero if
  /// none was.
  Duration last_limited_after{};
};

/// Simulates callers, daemons that place requests by stale load data, and engines with a prefill
/// queue and slots, in virtual time. The same options give the same result.
RampFleetResult RunRampFleet(const RampFleetOptions& options);

}  // namespace fulmarpoint
