#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "protocol/identifiers.h"
#include "utils/time.h"

namespace fulmarpoint {

/// An endpoint that may be probed.
struct ReachabilityCandidate {
  EndpointId id;
  std::string service;
  std::string failure_domain;
};

/// Decides whether this daemon is isolated: partitioned from all endpoints, although callers may
/// still reach it. The evidence is new connections only, because kept ones can outlive the path by
/// which new ones would come. Not thread-safe.
class EndpointReachability {
 public:
  struct Options {
    /// Different endpoints that must fail without a success in between before others are probed. A
    /// single lost endpoint causes no probe.
    std::size_t failures_before_probes = 2;
    /// Different endpoints that must fail without a success in between, of two failure domains if
    /// there are two, before the daemon is isolated. All known ones if there are fewer.
    std::size_t failures_before_isolation = 3;
    /// Different endpoints that must accept connections within `failure_window` before the
    /// isolation ends, so that a lossy path does not end it each time. Others may be down.
    std::size_t successes_before_recovery = 2;
    /// Failures count together if they are not farther apart.
    Duration failure_window = std::chrono::seconds(2);
    /// Endpoints probed at once when the daemon may be isolated.
    std::size_t probes_per_suspicion = 3;
    /// Least time between probes.
    Duration probe_interval = std::chrono::milliseconds(250);
    /// A probe without a result is given up after this time.
    Duration probe_timeout = std::chrono::seconds(2);
  };

  EndpointReachability() = default;
  explicit EndpointReachability(Options options) : m_options(options) {}

  /// A new connection to the endpoint was accepted.
  void OnConnected(const EndpointId& endpoint, TimePoint now);
  /// A new connection was refused or not accepted in time.
  void OnConnectFailed(const ReachabilityCandidate& endpoint, TimePoint now);

  /// A new connection ended without a result, for a reason that has nothing to do with the path.
  void OnInconclusive(const EndpointId& endpoint) { m_pending_probes.erase(endpoint); }

  /// Returns the endpoints to connect to now, whose results are to be reported like those of other
  /// connections. `known` are the endpoints that are expected to accept connections.
  std::vector<EndpointId> TakeProbes(const std::vector<ReachabilityCandidate>& known,
                                     TimePoint now);
  /// Returns when to call `TakeProbes()` again if nothing else happens; nothing if no probe will be
  /// due.
  std::optional<TimePoint> NextProbe() const;

  bool IsIsolated() const { return m_isolated_since.has_value(); }
  /// Returns whether it is open if endpoints or the path to them have failed.
  bool MayBeIsolated() const;
  /// Returns when the failures began that led to the isolation; nothing if not isolated.
  const std::optional<TimePoint>& IsolatedSince() const { return m_isolated_since; }
  /// Returns the number of different endpoints that have failed since the last success.
  std::size_t FailedEndpoints() const { return m_failures.size(); }

 private:
  struct Failure {
    std::string service;
    std::string failure_domain;
    TimePoint at{};
  };

  void ForgetOldFailures(TimePoint now);
  void CheckIsolation(const std::vector<ReachabilityCandidate>& known);
  std::vector<EndpointId> ChooseSuspicionProbes(
      const std::vector<ReachabilityCandidate>& known) const;
  const ReachabilityCandidate& NextRecoveryProbe(const std::vector<ReachabilityCandidate>& known);

  Options m_options;
  /// Latest failure of each endpoint that has failed since the last success.
  std::map<EndpointId, Failure> m_failures;
  TimePoint m_first_failure{};
  /// Probes that have neither failed nor succeeded, and when they count as without a result.
  std::map<EndpointId, TimePoint> m_pending_probes;
  std::optional<TimePoint> m_last_probe;
  std::optional<TimePoint> m_isolated_since;
  /// Endpoints that have accepted connections, and when; while isolated.
  std::map<EndpointId, TimePoint> m_recovered;
  /// Number of known endpoints; 0 if unknown.
  std::size_t m_known_count = 0;
  /// The endpoint probed last while isolated.
  EndpointId m_rotation;
};

}  // namespace fulmarpoint
