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

/// Compares a new version with the old one by errors and latency, per route, while both run.
///
/// Each request of the new version adds its log-likelihood ratio of the hypotheses "bad" (H1) and
/// "as good as the old version" to two sums. The first is a CUSUM test: it restarts at zero, so it
/// detects a regression at any time, even after many good requests. Its alarm limit grows with the
/// number of requests, so that the probability of a false alarm in a whole rollout stays below
/// `false_alarm_rate`. The second is a sequential probability ratio test that accepts the version
/// as good. The old version's rate is taken from the same route and failure domain, or from its
/// last few requests if that rate is higher, so that a partial outage or the loss of a failure
/// domain is not attributed to the new version.
///
/// Not thread-safe.
class VersionComparison {
 public:
  struct Settings {
    /// Probability that a version as good as the old one is rated bad during a rollout.
    double false_alarm_rate = 0.01;
    /// Probability that a bad version is rated good at the end of a phase.
    double miss_rate = 0.05;
    /// Smallest error rate that makes a version bad.
    double bad_error_rate = 0.05;
    /// Smallest share of slow requests that makes a version bad. For comparison, about 10% of the
    /// old version's requests exceed one of its two 95th percentiles.
    double bad_slow_rate = 0.35;
    /// Maximum number of endpoints that are excluded from the comparison as faulty.
    int max_excluded_endpoints = 1;
  };

  explicit VersionComparison(const Settings& settings) : m_settings(settings) {}

  /// Adds the outcomes of one interval. `new_version_endpoints` is the number of endpoints that
  /// run the new version.
  void Add(const std::vector<StratumCounts>& strata, const std::vector<EndpointCounts>& endpoints,
           int new_version_endpoints, TimePoint now);

  ComparisonResult Result() const { return m_result; }
  /// Returns whether there is much evidence against the new version, but not enough for `kBad`.
  bool IsDoubtful() const;
  /// Returns which route and measure made the version bad; empty if it is not bad.
  const std::string& Reason() const { return m_reason; }
  /// Returns the endpoints that are excluded because bad outcomes were concentrated there.
  const std::set<EndpointId>& ExcludedEndpoints() const { return m_excluded; }
  /// Returns the number of requests of the new version that were compared: those that failed, and
  /// those whose latency was compared with a limit. Successful requests from before the limit is
  /// known do not count, because they would hide a slow version.
  std::uint64_t NewRequests() const { return m_new_requests; }
  /// Discards the evidence for `kGood`, for example after the share was raised. The evidence for
  /// `kBad` is kept.
  void RestartAcceptance();
  /// Estimates how many more requests of the new version are needed for `kGood` if all are good.
  std::uint64_t RequestsUntilAccepted() const;

 private:
  enum class Measure { kErrors, kSlow };
  /// Outcomes of the old version with exponential decay, and its rates over the last few requests.
  struct Baseline {
    double requests = 0;
    double errors = 0;
    double with_latency_limit = 0;
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
