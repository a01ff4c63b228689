#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "protocol/rollout_messages.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Collects a report, numbers it when it is due, and remembers when it was sent, so that the age of
/// a directive counts from the report that it answers. Not thread-safe.
class RolloutReportOutbox {
 public:
  RolloutReportOutbox(const InstanceId& self, const std::string& rollout);

  RolloutReport& Pending() { return m_pending; }
  /// Returns the report that is due, or nothing, and begins the next one.
  std::optional<RolloutReport> TakeDue(Duration interval, TimePoint now);
  /// Returns when the report that `directive` answers was sent, less the age of the directive.
  /// Nothing if it answers no report in flight; each directive is accepted once.
  std::optional<TimePoint> IssueTimeOf(const RolloutDirective& directive);

 private:
  RolloutReport m_pending;
  std::map<std::uint64_t, TimePoint> m_sent;
  std::optional<TimePoint> m_next;
};

}  // namespace fulmarpoint
