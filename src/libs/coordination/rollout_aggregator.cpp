#include "coordination/rollout_aggregator.h"

#include <algorithm>
#include <utility>

#include "utils/overloaded.h"

namespace fulmarpoint {

namespace {

constexpr std::size_t kMaxSenders = 256;
constexpr std::size_t kMaxStrata = 128;
constexpr std::size_t kMaxEndpoints = 32;
constexpr std::size_t kMaxLatencies = 128;

void MergeStratum(const StratumCounts& from, std::vector<StratumCounts>& into) {
  const auto same = [&from](const StratumCounts& other) {
    return other.route == from.route && other.failure_domain == from.failure_domain;
  };
  auto found = std::find_if(into.begin(), into.end(), same);
  if (found == into.end()) {
    if (into.size() < kMaxStrata) into.push_back(from);
    return;
  }
  found->old_version += from.old_version;
  found->new_version += from.new_version;
}

void MergeEndpoint(const EndpointCounts& from, std::vector<EndpointCounts>& into) {
  const auto same = [&from](const EndpointCounts& other) {
    return other.endpoint == from.endpoint;
  };
  auto found = std::find_if(into.begin(), into.end(), same);
  if (found == into.end()) {
    if (into.size() < kMaxEndpoints) into.push_back(from);
    return;
  }
  found->new_version += from.new_version;
}

}  // namespace

void MergeReport(const RolloutReport& from, RolloutReport& into) {
  into.requests += from.requests;
  into.permits_wanted += from.permits_wanted;
  for (const StratumCounts& stratum : from.strata) MergeStratum(stratum, into.strata);
  for (const EndpointCounts& endpoint : from.endpoints) MergeEndpoint(endpoint, into.endpoints);
  for (const RouteLatency& sample : from.old_latencies) {
    if (into.old_latencies.size() < kMaxLatencies) into.old_latencies.push_back(sample);
  }
}

RolloutAggregator::RolloutAggregator(const InstanceId& self, const std::string& rollout)
    : m_rollout(rollout), m_outbox(self, rollout) {}

void RolloutAggregator::Handle(const Event& event, TimePoint now, std::vector<Action>& actions) {
  std::visit(
      Overloaded{[&](const ReportReceived& received) { OnReport(received.report, now, actions); },
                 [&](const DirectiveReceived& received) { OnDirective(received.directive); },
                 [&](const Tick&) { OnTick(now, actions); }},
      event);
}

void RolloutAggregator::OnReport(const RolloutReport& report, TimePoint now,
                                 std::vector<Action>& actions) {
  if (report.rollout != m_rollout) return;
  const bool known = m_last_sequence.contains(report.sender);
  if (!known && m_last_sequence.size() >= kMaxSenders) return;
  std::uint64_t& last = m_last_sequence[report.sender];
  if (report.sequence <= last) return;
  last = report.sequence;
  MergeReport(report, m_outbox.Pending());
  if (!m_directive) return;
  RolloutDirective directive = *m_directive;
  directive.sequence = report.sequence;
  directive.age_us = (now - m_directive_issued).count();
  directive.permits = std::min(m_permits, report.permits_wanted);
  m_permits -= directive.permits;
  actions.emplace_back(SendDirective{report.sender, directive});
}

void RolloutAggregator::OnDirective(const RolloutDirective& directive) {
  const std::optional<TimePoint> issued = m_outbox.IssueTimeOf(directive);
  if (!issued) return;
  if (m_directive && directive.controller_token < m_directive->controller_token) return;
  const bool same_controller =
      m_directive && directive.controller_token == m_directive->controller_token;
  m_permits = (same_controller ? m_permits : 0) + directive.permits;
  m_directive = directive;
  m_directive_issued = *issued;
}

void RolloutAggregator::OnTick(TimePoint now, std::vector<Action>& actions) {
  std::optional<RolloutReport> report = m_outbox.TakeDue(kReportInterval, now);
  if (report) actions.emplace_back(SendReport{std::move(*report)});
}

}  // namespace fulmarpoint
