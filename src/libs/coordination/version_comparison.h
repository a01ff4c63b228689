#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "protocol/rollout_messages.h"
#include "utils/time.h"

namespace fulmarpoint {

enum class ComparisonResult { kUndecided, kGood, kBad };

/// Compares a new version with the old one on errors and on latency, per route, while both run.
///
/// A request of the new version adds its log-likelihood ratio "as bad as H1" against "as good as
/// the old version" to two sums. A cumulative sum that restarts at zero detects a regression at
/// any time, also after much good evidence; its alarm limit grows with the number of requests, so
/// that the probability of a false alarm in a whole rollout stays below `false_alarm_rate`. A plain
/// sum accepts the version as good. The old version's rate is taken from the same route and failure
/// domain, and from the last few requests if that is higher, so that a general brown-out or the
/// loss of a failure domain is not charged to the new version.
///
/// Not thread-safe.
class VersionComparison {
 public:
  struct Settings {
    /// Probability that a version as good as the old one is found bad during a rollout.
    double false_alarm_rate = 0.01;
    /// Probability that a bad version is accepted as good at the end of a phase.
    double miss_rate = 0.05;
    /// Smallest error rate that makes a version bad.
    double bad_error_rate = 0.05;
    /// Smallest share of slow requests that makes a version bad; about 10% of the old version's
    /// requests exceed one of its two 95th percentiles.
    double bad_slow_rate = 0.35;
    /// Endpoints whose bad outcomes may be left out as a fault of the endpoint.
    int max_excluded_endpoints = 1;
  };

  explicit VersionComparison(const Settings& settings) : m_settings(settings) {}

  /// Adds the outcomes of one interval. `new_version_endpoints` is the number of endpoints that
  /// run the new version.
  void Add(const std::vector<StratumCounts>& strata, const std::vector<EndpointCounts>& endpoints,
           int new_version_endpoints, TimePoint now);

  ComparisonResult Result() const { return m_result; }
  /// Returns whether the evidence against the new version is well on its way to an alarm.
  bool IsDoubtful() const;
  /// Says which route and measure made the version bad; empty otherwise.
  const std::string& Reason() const { return m_reason; }
  /// Endpoints whose outcomes are left out because only they were bad.
  const std::set<EndpointId>& ExcludedEndpoints() const { return m_excluded; }
  /// Requests of the new version that were compared.
  std::uint64_t NewRequests() const { return m_new_requests; }
  /// Requires new evidence for `kGood`, for example after the share was raised. Alarms keep their
  /// state.
  void RestartAcceptance();
  /// Estimates how many more requests of the new version are needed for `kGood` if all are good.
  std::uint64_t RequestsUntilAccepted() const;

 private:
  enum class Measure { kErrors, kSlow };
  /// Outcomes of the old version, decayed over time, and its rates over the last few requests.
  struct Baseline {
    double requests = 0;
    double errors = 0;
    double timed = 0;
    double slow = 0;
    double recent_error_rate = 0;
    double recent_slow_rate = 0;
  };
  struct Sums {
    double alarm = 0;
    double acceptance = 0;
    std::uint64_t requests = 0;
    std::uint64_t bad = 0;
  };
  using StratumKey = std::pair<std::uint32_t, std::uint32_t>;

  void Decay(TimePoint now);
  void AddBaseline(const StratumCounts& stratum);
  double BaselineRate(const StratumCounts& stratum, Measure measure) const;
  void AddNewVersionOutcomes(const StratumCounts& stratum, Measure measure);
  void AddEndpointOutcomes(const std::vector<EndpointCounts>& endpoints);
  double AlarmLimit(const Sums& sums) const;
  void Evaluate(int new_version_endpoints);
  bool ExcludeConcentratedEndpoint(Measure measure, int new_version_endpoints);
  bool Accepted() const;

  Settings m_settings;
  ComparisonResult m_result = ComparisonResult::kUndecided;
  std::string m_reason;
  std::map<StratumKey, Baseline> m_stratum_baselines;
  std::map<std::uint32_t, Baseline> m_route_baselines;
  std::map<std::pair<std::uint32_t, Measure>, Sums> m_sums;
  std::map<EndpointId, OutcomeCounts> m_endpoints;
  std::set<EndpointId> m_excluded;
  std::uint64_t m_new_requests = 0;
  std::optional<TimePoint> m_decayed_at;
};

}  // namespace fulmarpoint
