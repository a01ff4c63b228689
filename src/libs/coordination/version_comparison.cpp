#include "coordination/version_comparison.h"

#include <algorithm>
#include <cmath>

namespace fulmarpoint {

namespace {

constexpr Duration kBaselineWindow = std::chrono::seconds(60);
/// Requests of the old version in one interval that make its rate in that interval meaningful.
constexpr std::uint32_t kMinIntervalRequests = 5;
constexpr double kMinBaselineRequests = 20;
constexpr double kMinErrorRate = 0.005;
constexpr double kMinSlowRate = 0.05;
constexpr double kMaxRate = 0.6;
/// A version is bad if it is this many times as bad as the old one.
constexpr double kBadRatio = 3.0;
constexpr double kMaxBadRate = 0.95;
constexpr double kMinAlarmRequests = 50;
/// Share of the bad outcomes that one endpoint must have for the fault to be the endpoint's.
constexpr double kConcentration = 0.9;
/// Rarely used routes do not hold up acceptance while they have at most this share of the requests.
constexpr double kMaxPendingShare = 0.1;
constexpr std::size_t kMaxEndpointsTracked = 1024;

double LogLikelihoodRatio(double bad, double all, double good_rate, double bad_rate) {
  return bad * std::log(bad_rate / good_rate) +
         (all - bad) * std::log((1.0 - bad_rate) / (1.0 - good_rate));
}

}  // namespace

void VersionComparison::Add(const std::vector<StratumCounts>& strata,
                            const std::vector<EndpointCounts>& endpoints, int new_version_endpoints,
                            TimePoint now) {
  Decay(now);
  for (const StratumCounts& stratum : strata) AddBaseline(stratum);
  if (m_result == ComparisonResult::kBad) return;
  for (const StratumCounts& stratum : strata) {
    if (stratum.new_version.requests == 0) continue;
    m_new_requests += stratum.new_version.requests;
    AddNew(stratum, Measure::kErrors);
    AddNew(stratum, Measure::kSlow);
  }
  AddEndpoints(endpoints);
  Evaluate(new_version_endpoints);
}

void VersionComparison::RestartAcceptance() {
  for (auto& [key, sums] : m_sums) {
    sums.acceptance = 0;
    sums.requests = 0;
    sums.bad = 0;
  }
  if (m_result == ComparisonResult::kGood) m_result = ComparisonResult::kUndecided;
}

std::uint64_t VersionComparison::RequestsUntilAccepted() const {
  const double target = -std::log(m_settings.miss_rate / (1.0 - m_settings.false_alarm_rate));
  const double per_request = -std::log((1.0 - m_settings.bad_error_rate) / (1.0 - kMinErrorRate));
  double missing = m_sums.empty() ? target : 0;
  for (const auto& [key, sums] : m_sums) {
    if (key.second == Measure::kErrors) missing = std::max(missing, target + sums.acceptance);
  }
  return static_cast<std::uint64_t>(std::ceil(std::max(0.0, missing) / per_request));
}

void VersionComparison::Decay(TimePoint now) {
  if (!m_decayed_at) m_decayed_at = now;
  const Duration elapsed = now - *m_decayed_at;
  if (elapsed < std::chrono::seconds(1)) return;
  m_decayed_at = now;
  const double factor = std::exp(-static_cast<double>(elapsed.count()) / kBaselineWindow.count());
  const auto shrink = [factor](Baseline& baseline) {
    baseline.requests *= factor;
    baseline.errors *= factor;
    baseline.timed *= factor;
    baseline.slow *= factor;
  };
  for (auto& [key, baseline] : m_strata) shrink(baseline);
  for (auto& [key, baseline] : m_routes) shrink(baseline);
}

void VersionComparison::AddBaseline(const StratumCounts& stratum) {
  const auto add = [&stratum](Baseline& baseline) {
    baseline.requests += stratum.old_version.requests;
    baseline.errors += stratum.old_version.errors;
    baseline.timed += stratum.old_version.timed;
    baseline.slow += stratum.old_version.slow;
  };
  add(m_strata[{stratum.route, stratum.failure_domain}]);
  add(m_routes[stratum.route]);
}

double VersionComparison::OldRate(const StratumCounts& stratum, Measure measure) const {
  const bool errors = measure == Measure::kErrors;
  const auto rate = [errors](const Baseline& baseline) {
    const double all = errors ? baseline.requests : baseline.timed;
    const double bad = errors ? baseline.errors : baseline.slow;
    return (bad + 0.5) / (all + 10.0);
  };
  const Baseline& own = m_strata.at({stratum.route, stratum.failure_domain});
  const double samples = errors ? own.requests : own.timed;
  double result = rate(samples >= kMinBaselineRequests ? own : m_routes.at(stratum.route));
  const OutcomeCounts& interval = stratum.old_version;
  if (interval.requests >= kMinIntervalRequests) {
    const double bad = errors ? interval.errors : interval.slow;
    result = std::max(result, bad / interval.requests);
  }
  return std::clamp(result, errors ? kMinErrorRate : kMinSlowRate, kMaxRate);
}

void VersionComparison::AddNew(const StratumCounts& stratum, Measure measure) {
  const bool errors = measure == Measure::kErrors;
  const OutcomeCounts& outcome = stratum.new_version;
  const double all = errors ? outcome.requests : outcome.timed;
  const double bad = errors ? outcome.errors : outcome.slow;
  if (all == 0) return;
  const double good_rate = OldRate(stratum, measure);
  const double floor = errors ? m_settings.bad_error_rate : m_settings.bad_slow_rate;
  const double bad_rate = std::min(kMaxBadRate, std::max(floor, kBadRatio * good_rate));
  const double ratio = LogLikelihoodRatio(bad, all, good_rate, bad_rate);
  Sums& sums = m_sums[{stratum.route, measure}];
  sums.alarm = std::max(0.0, sums.alarm + ratio);
  sums.acceptance += ratio;
  sums.requests += static_cast<std::uint64_t>(all);
  sums.bad += static_cast<std::uint64_t>(bad);
}

void VersionComparison::AddEndpoints(const std::vector<EndpointCounts>& endpoints) {
  for (const EndpointCounts& counts : endpoints) {
    const bool known = m_bad_by_endpoint.contains(counts.endpoint);
    if (!known && m_bad_by_endpoint.size() >= kMaxEndpointsTracked) continue;
    m_bad_by_endpoint[counts.endpoint] += counts.new_version.errors + counts.new_version.slow;
  }
}

double VersionComparison::AlarmLimit(const Sums& sums) const {
  const double requests = std::max(kMinAlarmRequests, static_cast<double>(sums.requests));
  const double streams = static_cast<double>(m_sums.size());
  return std::log(requests * streams / m_settings.false_alarm_rate);
}

void VersionComparison::Evaluate(int new_version_endpoints) {
  for (auto& [key, sums] : m_sums) {
    if (sums.alarm < AlarmLimit(sums)) continue;
    if (ExcludeConcentratedEndpoint(new_version_endpoints)) return;
    m_result = ComparisonResult::kBad;
    m_reason = std::string(key.second == Measure::kErrors ? "errors" : "slow") + " on route " +
               std::to_string(key.first) + ": " + std::to_string(sums.bad) + " of " +
               std::to_string(sums.requests) + " requests";
    return;
  }
  if (Accepted()) m_result = ComparisonResult::kGood;
}

bool VersionComparison::ExcludeConcentratedEndpoint(int new_version_endpoints) {
  const int excluded = static_cast<int>(m_excluded.size());
  const bool may_exclude =
      excluded < m_settings.max_excluded_endpoints && new_version_endpoints - excluded >= 2;
  if (!may_exclude || m_bad_by_endpoint.empty()) return false;
  std::uint64_t total = 0;
  auto worst = m_bad_by_endpoint.begin();
  for (auto item = m_bad_by_endpoint.begin(); item != m_bad_by_endpoint.end(); ++item) {
    total += item->second;
    if (item->second > worst->second) worst = item;
  }
  if (static_cast<double>(worst->second) < kConcentration * static_cast<double>(total)) {
    return false;
  }
  m_excluded.insert(worst->first);
  m_bad_by_endpoint.erase(worst);
  for (auto& [key, sums] : m_sums) sums = Sums{};
  return true;
}

bool VersionComparison::Accepted() const {
  const double limit = std::log(m_settings.miss_rate / (1.0 - m_settings.false_alarm_rate));
  std::uint64_t all = 0;
  std::uint64_t pending = 0;
  for (const auto& [key, sums] : m_sums) {
    all += sums.requests;
    if (sums.acceptance <= limit) continue;
    if (sums.alarm > AlarmLimit(sums) / 2) return false;
    pending += sums.requests;
  }
  return all > 0 && static_cast<double>(pending) <= kMaxPendingShare * static_cast<double>(all);
}

}  // namespace fulmarpoint
