#include "coordination/version_comparison.h"

#include <algorithm>
#include <cmath>

namespace fulmarpoint {

namespace {

constexpr Duration kBaselineWindow = std::chrono::seconds(60);
/// Number of requests of the old version over which the recent rates are averaged. Because it
/// counts requests and not seconds, the start of a partial outage shows within the same few
/// requests at any load.
constexpr double kRecentRateRequests = 12;
/// The recent rate replaces the baseline rate if it is at least `kMinRecentRate` and at least
/// `kMinRecentRatio` times the baseline rate.
constexpr double kMinRecentRate = 0.1;
constexpr double kMinRecentRatio = 2;
constexpr double kMinBaselineRequests = 20;
constexpr double kMinErrorRate = 0.005;
constexpr double kMinSlowRate = 0.05;
/// With a higher rate of bad outcomes of the old version, a comparison says nothing about the new
/// one.
constexpr double kMaxComparableRate = 0.5;
/// A version is bad if its rate of bad outcomes is this many times that of the old version.
constexpr double kBadRatio = 3.0;
constexpr double kMaxBadRate = 0.95;
constexpr double kMinAlarmRequests = 50;
/// Part of the alarm limit above which a version is doubtful.
constexpr double kDoubtfulPartOfAlarmLimit = 0.6;
/// An endpoint is faulty itself if it has at least this many times the mean number of bad outcomes
/// of the others.
constexpr double kConcentrationRatio = 5;
constexpr std::uint64_t kMinConcentratedBadOutcomes = 3;
/// Routes without enough evidence do not delay acceptance if their share of the requests is at most
/// this.
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
    m_new_requests += stratum.new_version.errors + stratum.new_version.with_latency_limit;
    AddNewVersionOutcomes(stratum, Measure::kErrors);
    AddNewVersionOutcomes(stratum, Measure::kSlow);
  }
  AddEndpointOutcomes(endpoints);
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

bool VersionComparison::IsDoubtful() const {
  return std::any_of(m_sums.begin(), m_sums.end(), [this](const auto& entry) {
    return entry.second.alarm > kDoubtfulPartOfAlarmLimit * AlarmLimit(entry.second);
  });
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
  const auto decay = [factor](Baseline& baseline) {
    baseline.requests *= factor;
    baseline.errors *= factor;
    baseline.with_latency_limit *= factor;
    baseline.slow *= factor;
  };
  for (auto& [key, baseline] : m_stratum_baselines) decay(baseline);
  for (auto& [key, baseline] : m_route_baselines) decay(baseline);
}

void VersionComparison::AddBaseline(const StratumCounts& stratum) {
  const OutcomeCounts& old = stratum.old_version;
  const auto update_recent_rate = [](double& recent, double bad, double all) {
    if (all == 0) return;
    const double keep = std::pow(1.0 - 1.0 / kRecentRateRequests, all);
    recent = keep * recent + (1.0 - keep) * bad / all;
  };
  for (Baseline* baseline : {&m_stratum_baselines[{stratum.route, stratum.failure_domain}],
                             &m_route_baselines[stratum.route]}) {
    baseline->requests += old.requests;
    baseline->errors += old.errors;
    baseline->with_latency_limit += old.with_latency_limit;
    baseline->slow += old.slow;
    update_recent_rate(baseline->recent_error_rate, old.errors, old.requests);
    update_recent_rate(baseline->recent_slow_rate, old.slow, old.with_latency_limit);
  }
}

double VersionComparison::BaselineRate(const StratumCounts& stratum, Measure measure) const {
  const bool errors = measure == Measure::kErrors;
  const Baseline& own = m_stratum_baselines.at({stratum.route, stratum.failure_domain});
  const Baseline& route = m_route_baselines.at(stratum.route);
  const Baseline& used =
      (errors ? own.requests : own.with_latency_limit) >= kMinBaselineRequests ? own : route;
  const double rate = errors ? (used.errors + 0.5) / (used.requests + 10.0)
                             : (used.slow + 0.5) / (used.with_latency_limit + 10.0);
  double result = std::max(rate, errors ? kMinErrorRate : kMinSlowRate);
  const double threshold = std::max(kMinRecentRate, kMinRecentRatio * result);
  for (const Baseline* baseline : {&own, &route}) {
    const double recent = errors ? baseline->recent_error_rate : baseline->recent_slow_rate;
    if (recent >= threshold) result = std::max(result, recent);
  }
  return result;
}

void VersionComparison::AddNewVersionOutcomes(const StratumCounts& stratum, Measure measure) {
  const bool errors = measure == Measure::kErrors;
  const OutcomeCounts& outcome = stratum.new_version;
  const double all = errors ? outcome.requests : outcome.with_latency_limit;
  const double bad = errors ? outcome.errors : outcome.slow;
  if (all == 0) return;
  const double good_rate = BaselineRate(stratum, measure);
  if (good_rate > kMaxComparableRate) return;
  const double min_bad_rate = errors ? m_settings.bad_error_rate : m_settings.bad_slow_rate;
  const double bad_rate = std::min(kMaxBadRate, std::max(min_bad_rate, kBadRatio * good_rate));
  const double ratio = LogLikelihoodRatio(bad, all, good_rate, bad_rate);
  Sums& sums = m_sums[{stratum.route, measure}];
  sums.alarm = std::max(0.0, sums.alarm + ratio);
  sums.acceptance += ratio;
  sums.requests += static_cast<std::uint64_t>(all);
  sums.bad += static_cast<std::uint64_t>(bad);
}

void VersionComparison::AddEndpointOutcomes(const std::vector<EndpointCounts>& endpoints) {
  for (const EndpointCounts& counts : endpoints) {
    const bool known = m_endpoints.contains(counts.endpoint);
    if (!known && m_endpoints.size() >= kMaxEndpointsTracked) continue;
    m_endpoints[counts.endpoint] += counts.new_version;
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
    if (ExcludeConcentratedEndpoint(key.second, new_version_endpoints)) return;
    m_result = ComparisonResult::kBad;
    m_reason = std::string(key.second == Measure::kErrors ? "errors" : "slow") + " on route " +
               std::to_string(key.first) + ": " + std::to_string(sums.bad) + " of " +
               std::to_string(sums.requests) + " requests";
    return;
  }
  if (Accepted()) m_result = ComparisonResult::kGood;
}

bool VersionComparison::ExcludeConcentratedEndpoint(Measure measure, int new_version_endpoints) {
  const int others = new_version_endpoints - static_cast<int>(m_excluded.size()) - 1;
  const bool may_exclude =
      static_cast<int>(m_excluded.size()) < m_settings.max_excluded_endpoints && others >= 1;
  if (!may_exclude || m_endpoints.empty()) return false;
  const auto bad = [measure](const OutcomeCounts& counts) {
    return measure == Measure::kErrors ? counts.errors : counts.slow;
  };
  std::uint64_t total = 0;
  auto worst = m_endpoints.begin();
  for (auto item = m_endpoints.begin(); item != m_endpoints.end(); ++item) {
    total += bad(item->second);
    if (bad(item->second) > bad(worst->second)) worst = item;
  }
  const std::uint64_t worst_bad = bad(worst->second);
  const double mean_of_others = static_cast<double>(total - worst_bad) / others;
  if (worst_bad < kMinConcentratedBadOutcomes) return false;
  if (static_cast<double>(worst_bad) < kConcentrationRatio * mean_of_others) return false;
  m_excluded.insert(worst->first);
  m_endpoints.erase(worst);
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
