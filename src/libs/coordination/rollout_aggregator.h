#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "coordination/rollout_report_outbox.h"
#include "protocol/rollout_messages.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Merges the reports of a group of daemons for one rollout and passes the controller's directives
/// on, so that a controller's messages grow with the number of groups and not of daemons.
///
/// A daemon gets the latest directive at once, with its age, so that the validity that the
/// participant computes still counts from the controller. A lost or repeated message loses permits
/// or evidence and never multiplies them. Not thread-safe.
class RolloutAggregator {
 public:
  static constexpr Duration kReportInterval = std::chrono::seconds(1);

  struct ReportReceived {
    RolloutReport report;
  };
  struct DirectiveReceived {
    RolloutDirective directive;
  };
  struct Tick {};
  using Event = std::variant<ReportReceived, DirectiveReceived, Tick>;

  struct SendReport {
    RolloutReport report;
  };
  struct SendDirective {
    InstanceId to;
    RolloutDirective directive;
  };
  using Action = std::variant<SendReport, SendDirective>;

  RolloutAggregator(const InstanceId& self, const std::string& rollout);

  void Handle(const Event& event, TimePoint now, std::vector<Action>& actions);

 private:
  void OnReport(const RolloutReport& report, TimePoint now, std::vector<Action>& actions);
  void OnDirective(const RolloutDirective& directive);
  void OnTick(TimePoint now, std::vector<Action>& actions);

  std::string m_rollout;
  RolloutReportOutbox m_outbox;
  std::map<InstanceId, std::uint64_t> m_last_sequence;
  std::optional<RolloutDirective> m_directive;
  TimePoint m_directive_issued{};
  std::uint32_t m_permits = 0;
};

/// Adds the counts, requests and wanted permits of `from` to `into`. The result is bounded: strata
/// and endpoints beyond the limits of a report are dropped.
void MergeReport(const RolloutReport& from, RolloutReport& into);

}  // namespace fulmarpoint
