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

/// Merges the reports of a group of daemons for one rollout and forwards the controller's
/// directives to them, so that the controller's messages grow with the number of groups, not of
/// daemons.
///
/// A report is answered at once with the latest directive and its age, so that the validity that
/// the participant computes still counts from the controller. Lost or repeated messages may lose
/// permits or reported outcomes, but never multiply them. Not thread-safe.
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

/// Adds the counts, latency samples, requests and wanted permits of `from` to `into`. Strata,
/// endpoints and samples beyond fixed limits are dropped, so that the size is bounded. Thread-safe.
void MergeReport(const RolloutReport& from, RolloutReport& into);

}  // namespace fulmarpoint
