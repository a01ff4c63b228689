#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "protocol/rollout_messages.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Collects the next report, numbers it when it is due, and records when it was sent, so that the
/// age of a directive counts from the sending of the report that it answers. Not thread-safe.
class RolloutReportOutbox {
 public:
  RolloutReportOutbox(const InstanceId& self, const std::string& rollout);

  /// Returns the report that is being collected.
  RolloutReport& Pending() { return m_pending; }
  /// Returns the collected report and begins the next one. Returns nothing before `interval` has
  /// passed since the previous one.
  std::optional<RolloutReport> TakeDue(Duration interval, TimePoint now);
  /// Returns when the report that `directive` answers was sent, minus the age of the directive.
  /// Returns nothing if it answers no report in flight. Each directive is accepted only once.
  std::optional<TimePoint> IssueTimeOf(const RolloutDirective& directive);

 private:
  RolloutReport m_pending;
  std::map<std::uint64_t, TimePoint> m_sent;
  std::optional<TimePoint> m_next;
};

}  // namespace fulmarpoint
