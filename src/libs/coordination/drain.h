#pragma once

#include <array>
#include <cstddef>
#include <variant>
#include <vector>

#include "utils/enum_names.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Phase of a planned shutdown.
enum class DrainPhase { kServing, kLeaving, kFinishing, kHandingOff, kDone };

inline constexpr std::array<EnumName<DrainPhase>, 5> kDrainPhaseNames = {{
    {DrainPhase::kServing, "serving"},
    {DrainPhase::kLeaving, "leaving"},
    {DrainPhase::kFinishing, "finishing"},
    {DrainPhase::kHandingOff, "handing_off"},
    {DrainPhase::kDone, "done"},
}};

struct DrainOptions {
  /// How long callers keep a lookup answer.
  Duration lookup_lifetime = std::chrono::seconds(10);
  Duration margin = std::chrono::seconds(2);
  /// Time after which streams that still run are handed off.
  Duration limit = std::chrono::seconds(60);
};

/// Planned shutdown of this daemon (P8). It leaves the lookups at once, serves until no caller can
/// hold an answer that names it, refuses new work, waits for the running requests, hands streams
/// off after the limit, and exits only when no request is left. Not thread-safe.
class Drain {
 public:
  struct StopRequested {};
  struct TimerFired {};
  /// The number of running requests changed.
  struct RequestsLeft {
    std::size_t count = 0;
  };
  using Event = std::variant<StopRequested, TimerFired, RequestsLeft>;

  /// Announce to peers that this daemon is leaving, and name it in no lookup answer.
  struct LeaveLookups {};
  struct RejectNewWork {};
  struct HandOffStreams {};
  struct Exit {};
  struct SetTimer {
    TimePoint at;
  };
  using Action = std::variant<LeaveLookups, RejectNewWork, HandOffStreams, Exit, SetTimer>;

  explicit Drain(DrainOptions options) : m_options(options) {}

  void Handle(const Event& event, TimePoint now, std::vector<Action>& actions);

  DrainPhase Phase() const { return m_phase; }

 private:
  void On(const StopRequested& event, TimePoint now, std::vector<Action>& actions);
  void On(const TimerFired& event, TimePoint now, std::vector<Action>& actions);
  void On(const RequestsLeft& event, TimePoint now, std::vector<Action>& actions);
  void ExitIfIdle(std::vector<Action>& actions);

  DrainOptions m_options;
  DrainPhase m_phase = DrainPhase::kServing;
  TimePoint m_next;
  std::size_t m_requests = 0;
};

}  // namespace fulmarpoint
