#include "coordination/rollout_participant.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "utils/overloaded.h"

namespace fulmarpoint {

namespace {

constexpr double kPartsPerMillion = 1e6;
/// Every daemon tests the version on its own requests, so each gets only a part of the fleet's
/// false alarm rate. The controller evaluates all requests and detects what a single daemon cannot.
constexpr double kFalseAlarmRatePerDaemon = 0.001;
/// Keeps a burst of requests at a daemon from causing a burst for the new version later.
constexpr double kMaxAccumulatedShare = 1.0;
constexpr std::uint32_t kMaxPermitsWanted = 4;
constexpr std::size_t kMaxStrataPerReport = 64;
constexpr std::size_t kMaxEndpointsPerReport = 16;
/// Latencies up to this multiple of the old version's 95th percentile do not count as slow.
constexpr double kSlowFactor = 1.25;

bool IsSlow(std::uint32_t limit_us, std::uint32_t value_us) {
  return limit_us > 0 && value_us > kSlowFactor * limit_us;
}

std::uint32_t Microseconds(Duration duration) {
  constexpr Duration::rep kMaxMicroseconds = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(
      std::clamp<Duration::rep>(duration.count(), 0, kMaxMicroseconds));
}

/// Returns a number from 0 to 1 that is different at each daemon, so that the fleet as a whole
/// reaches its share from the first request on, even with few requests at each daemon.
double InitialAccumulatedShare(const InstanceId& self) {
  return static_cast<double>(StableHash(self.name) >> 1) /
         static_cast<double>(std::numeric_limits<std::int64_t>::max());
}

std::uint32_t ShortHash(std::string_view text) {
  return static_cast<std::uint32_t>(StableHash(text));
}

}  // namespace

RolloutParticipant::RolloutParticipant(InstanceId self, ServiceName service, RolloutRequest rollout,
                                       RecentLatencies latencies_before)
    : m_self(std::move(self)),
      m_service(std::move(service)),
      m_rollout(std::move(rollout)),
      m_comparison(VersionComparison::Settings{.false_alarm_rate = kFalseAlarmRatePerDaemon}),
      m_outbox(m_self, m_rollout.id),
      m_latencies_before(std::move(latencies_before)),
      m_accumulated_share(InitialAccumulatedShare(m_self)) {
  for (const RouteLatency& latency : m_latencies_before) m_local_latencies.Add(latency);
}

std::optional<RouteLatency> RolloutParticipant::LatencyOf(const VersionOutcome& outcome) {
  if (outcome.error || outcome.latency <= Duration::zero()) return std::nullopt;
  return RouteLatency{ShortHash(outcome.route), Microseconds(outcome.latency),
                      Microseconds(outcome.token_interval)};
}

void RolloutParticipant::Handle(const Event& event, TimePoint now, std::vector<Action>& actions) {
  std::visit(
      Overloaded{[&](const OutcomeSeen& seen) { OnOutcome(seen.outcome, now, actions); },
                 [&](const DirectiveReceived& received) { OnDirective(received.directive, now); },
                 [&](const GossipReceived& received) { OnBadVersion(received.notice, actions); },
                 [&](const Tick&) { OnTick(now, actions); }},
      event);
}

bool RolloutParticipant::ChooseNewVersion(int new_version_endpoints, TimePoint now) {
  m_new_version_endpoints = new_version_endpoints;
  ++m_outbox.Pending().requests;
  m_last_used_permit = false;
  const std::optional<RolloutDirective> directive = Directive(now);
  if (!directive || new_version_endpoints == 0) return false;
  switch (directive->phase) {
    case RolloutPhase::kCanary:
      if (m_permits == 0) {
        m_outbox.Pending().permits_wanted =
            std::min(kMaxPermitsWanted, m_outbox.Pending().permits_wanted + 1);
        return false;
      }
      --m_permits;
      m_last_used_permit = true;
      return true;
    case RolloutPhase::kRamp:
      m_accumulated_share = std::min(kMaxAccumulatedShare,
                                     m_accumulated_share + directive->share_ppm / kPartsPerMillion);
      if (m_accumulated_share < 1.0) return false;
      m_accumulated_share -= 1.0;
      return true;
    case RolloutPhase::kFull:
    case RolloutPhase::kDone:
      return true;
    case RolloutPhase::kRolledBack:
      return false;
  }
  return false;
}

void RolloutParticipant::UndoChoice() {
  if (m_last_used_permit) {
    ++m_permits;
  } else {
    m_accumulated_share = std::min(kMaxAccumulatedShare, m_accumulated_share + 1.0);
  }
  m_last_used_permit = false;
}

bool RolloutParticipant::MayUse(const EndpointId& endpoint) const {
  return !m_excluded_by_controller.contains(endpoint) &&
         !m_comparison.ExcludedEndpoints().contains(endpoint);
}

std::optional<RolloutDirective> RolloutParticipant::Directive(TimePoint now) const {
  if (m_known_bad || !m_directive || now >= m_directive_until) return std::nullopt;
  return m_directive;
}

void RolloutParticipant::OnOutcome(const VersionOutcome& outcome, TimePoint now,
                                   std::vector<Action>& actions) {
  if (outcome.new_version && !MayUse(outcome.endpoint)) return;
  StratumCounts stratum{ShortHash(outcome.route), ShortHash(outcome.failure_domain), {}, {}};
  const OutcomeCounts counts = Classify(outcome);
  (outcome.new_version ? stratum.new_version : stratum.old_version) = counts;
  EndpointCounts endpoint;
  if (outcome.new_version && counts.errors + counts.slow > 0) {
    endpoint = EndpointCounts{outcome.endpoint, counts};
  }
  AddToReport(stratum, endpoint);
  std::vector<EndpointCounts> endpoints;
  if (!endpoint.endpoint.empty()) endpoints.push_back(endpoint);
  m_comparison.Add({stratum}, endpoints, m_new_version_endpoints, now);
  if (m_known_bad || m_comparison.Result() != ComparisonResult::kBad) return;
  m_known_bad = true;
  actions.emplace_back(
      PublishGossip{{m_rollout.id, m_service, m_rollout.to, m_comparison.Reason(), m_self}});
}

OutcomeCounts RolloutParticipant::Classify(const VersionOutcome& outcome) {
  OutcomeCounts counts;
  counts.requests = 1;
  counts.errors = outcome.error ? 1 : 0;
  const std::optional<RouteLatency> measured = LatencyOf(outcome);
  if (!measured) return counts;
  if (const std::optional<RouteLatency> limit = LimitOf(measured->route)) {
    counts.with_latency_limit = 1;
    const bool slow = IsSlow(limit->latency_us, measured->latency_us) ||
                      IsSlow(limit->token_interval_us, measured->token_interval_us);
    counts.slow = slow ? 1 : 0;
  }
  if (outcome.new_version) return counts;
  m_local_latencies.Add(*measured);
  std::vector<RouteLatency>& samples = m_outbox.Pending().old_latencies;
  if (samples.size() < kMaxLatenciesPerReport) samples.push_back(*measured);
  return counts;
}

/// Prefers the fleet's limit, because it is available sooner than one from this daemon's requests.
std::optional<RouteLatency> RolloutParticipant::LimitOf(std::uint32_t route) const {
  const auto found = m_fleet_limits.find(route);
  if (found != m_fleet_limits.end()) return found->second;
  return m_local_latencies.Limit(route);
}

void RolloutParticipant::AddToReport(const StratumCounts& stratum, const EndpointCounts& endpoint) {
  const auto same = [&stratum](const StratumCounts& other) {
    return other.route == stratum.route && other.failure_domain == stratum.failure_domain;
  };
  auto found =
      std::find_if(m_outbox.Pending().strata.begin(), m_outbox.Pending().strata.end(), same);
  if (found != m_outbox.Pending().strata.end()) {
    found->old_version += stratum.old_version;
    found->new_version += stratum.new_version;
  } else if (m_outbox.Pending().strata.size() < kMaxStrataPerReport) {
    m_outbox.Pending().strata.push_back(stratum);
  }
  if (endpoint.endpoint.empty()) return;
  const auto same_endpoint = [&endpoint](const EndpointCounts& other) {
    return other.endpoint == endpoint.endpoint;
  };
  auto entry = std::find_if(m_outbox.Pending().endpoints.begin(),
                            m_outbox.Pending().endpoints.end(), same_endpoint);
  if (entry != m_outbox.Pending().endpoints.end()) {
    entry->new_version += endpoint.new_version;
  } else if (m_outbox.Pending().endpoints.size() < kMaxEndpointsPerReport) {
    m_outbox.Pending().endpoints.push_back(endpoint);
  }
}

void RolloutParticipant::OnDirective(const RolloutDirective& directive, TimePoint now) {
  const std::optional<TimePoint> issued = m_outbox.IssueTimeOf(directive);
  if (!issued) return;
  const TimePoint valid_until = *issued + kDirectiveValidity;
  if (m_directive && directive.controller_token < m_directive->controller_token) return;
  if (now >= valid_until) return;
  if (directive.phase == RolloutPhase::kRolledBack) m_known_bad = true;
  for (const RouteLatency& limit : directive.latency_limits) m_fleet_limits[limit.route] = limit;
  const bool was_valid = Directive(now).has_value();
  m_directive = directive;
  m_directive_until = valid_until;
  m_permits = (was_valid ? m_permits : 0) + directive.permits;
  m_excluded_by_controller = std::set<EndpointId>(directive.excluded_endpoints.begin(),
                                                  directive.excluded_endpoints.end());
}

void RolloutParticipant::OnBadVersion(const BadVersionNotice& notice,
                                      std::vector<Action>& actions) {
  if (notice.rollout != m_rollout.id || m_known_bad) return;
  m_known_bad = true;
  m_bad_notice = notice;
  actions.emplace_back(PublishGossip{notice});
}

void RolloutParticipant::OnTick(TimePoint now, std::vector<Action>& actions) {
  std::optional<RolloutReport> report = m_outbox.TakeDue(kReportInterval, now);
  if (!report) return;
  if (!m_directive) AddLatenciesBefore(*report);
  actions.emplace_back(SendReport{std::move(*report)});
}

/// The controller may not be elected yet, so every report has them until one is answered.
void RolloutParticipant::AddLatenciesBefore(RolloutReport& report) const {
  for (const RouteLatency& latency : m_latencies_before) {
    if (report.old_latencies.size() >= kMaxLatenciesPerReport) return;
    report.old_latencies.push_back(latency);
  }
}

}  // namespace fulmarpoint
