#include "coordination/rollout_report_outbox.h"

#include <algorithm>
#include <iterator>

namespace fulmarpoint {

namespace {

constexpr std::size_t kMaxReportsInFlight = 8;

}  // namespace

RolloutReportOutbox::RolloutReportOutbox(const InstanceId& self, const std::string& rollout) {
  m_pending.rollout = rollout;
  m_pending.sender = self;
}

std::optional<RolloutReport> RolloutReportOutbox::TakeDue(Duration interval, TimePoint now) {
  if (m_next && now < *m_next) return std::nullopt;
  m_next = now + interval;
  ++m_pending.sequence;
  m_sent[m_pending.sequence] = now;
  if (m_sent.size() > kMaxReportsInFlight) m_sent.erase(m_sent.begin());
  RolloutReport report = m_pending;
  m_pending.strata.clear();
  m_pending.endpoints.clear();
  m_pending.old_latencies.clear();
  m_pending.requests = 0;
  m_pending.permits_wanted = 0;
  return report;
}

std::optional<TimePoint> RolloutReportOutbox::IssueTimeOf(const RolloutDirective& directive) {
  auto sent = m_sent.find(directive.sequence);
  if (directive.rollout != m_pending.rollout || sent == m_sent.end()) return std::nullopt;
  const TimePoint issued = sent->second - Duration(std::max<std::int64_t>(0, directive.age_us));
  m_sent.erase(m_sent.begin(), std::next(sent));
  return issued;
}

}  // namespace fulmarpoint
