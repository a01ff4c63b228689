#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "coordination/rollout_report_outbox.h"
#include "coordination/route_latencies.h"
#include "coordination/version_comparison.h"
#include "protocol/catalogue.h"
#include "protocol/rollout_messages.h"
#include "utils/time.h"

namespace fulmarpoint {

/// A finished or failed request of a service that has a rollout.
struct VersionOutcome {
  bool new_version = false;
  /// Route name; for generations the name of the adapter, or empty.
  std::string route;
  EndpointId endpoint;
  std::string failure_domain;
  /// Whether the request failed for a reason that the version may have caused. Cancelled requests
  /// are not reported.
  bool error = false;
  /// Time to first token, or duration of the whole call; zero if there was none.
  Duration latency{};
  /// Mean time between tokens; zero for calls and for generations of one token.
  Duration token_interval{};
};

/// The latest latencies of a service, oldest first.
using RecentLatencies = std::deque<RouteLatency>;

/// A daemon's part in the rollout of one service. Chooses the version for each request within the
/// share that the controller allows, compares the versions on this daemon's own requests, and
/// reports to the controller.
///
/// A directive expires `kDirectiveValidity` after the report that it answers was sent; then every
/// request gets the old version. A daemon that was paused or partitioned therefore cannot send
/// requests to a version that has been rolled back in the meantime. Not thread-safe.
class RolloutParticipant {
 public:
  static constexpr Duration kReportInterval = std::chrono::seconds(1);
  static constexpr Duration kDirectiveValidity = std::chrono::milliseconds(2500);
  /// Number of latencies of the old version that one report can carry.
  static constexpr std::size_t kMaxLatenciesPerReport = 16;

  struct OutcomeSeen {
    VersionOutcome outcome;
  };
  struct DirectiveReceived {
    RolloutDirective directive;
  };
  struct GossipReceived {
    BadVersionNotice notice;
  };
  /// Send at least every `kReportInterval`.
  struct Tick {};
  using Event = std::variant<OutcomeSeen, DirectiveReceived, GossipReceived, Tick>;

  struct SendReport {
    RolloutReport report;
  };
  /// Send to all daemons by gossip, without delay.
  struct PublishGossip {
    BadVersionNotice notice;
  };
  using Action = std::variant<SendReport, PublishGossip>;

  /// `latencies_before` are the latest latencies of the old version from before the rollout, oldest
  /// first. With them the fleet has latency limits from the first reports on.
  RolloutParticipant(InstanceId self, ServiceName service, RolloutRequest rollout,
                     RecentLatencies latencies_before = {});

  /// Returns the latency of a successful request; nothing if it failed or was not measured.
  static std::optional<RouteLatency> LatencyOf(const VersionOutcome& outcome);

  void Handle(const Event& event, TimePoint now, std::vector<Action>& actions);

  /// Returns whether the next request is to run on the new version, and counts it. Call this only
  /// for a request that can be sent at once. `new_version_endpoints` is the number of usable
  /// endpoints that have the new version loaded.
  bool ChooseNewVersion(int new_version_endpoints, TimePoint now);
  /// Undoes the latest choice of the new version. Call this if no endpoint accepted the request.
  void UndoChoice();
  /// Returns whether the new version may be used on `endpoint`.
  bool MayUse(const EndpointId& endpoint) const;
  /// Returns whether the new version is known to be bad. This is final.
  bool KnownBad() const { return m_known_bad; }
  /// Returns the received notice that the new version is bad; nothing if there is none.
  const std::optional<BadVersionNotice>& BadNotice() const { return m_bad_notice; }
  /// Returns the directive in effect; nothing if it has expired or the version is known to be bad.
  std::optional<RolloutDirective> Directive(TimePoint now) const;
  const RolloutRequest& Rollout() const { return m_rollout; }

 private:
  void OnOutcome(const VersionOutcome& outcome, TimePoint now, std::vector<Action>& actions);
  void OnDirective(const RolloutDirective& directive, TimePoint now);
  void OnBadVersion(const BadVersionNotice& notice, std::vector<Action>& actions);
  void OnTick(TimePoint now, std::vector<Action>& actions);
  void AddLatenciesBefore(RolloutReport& report) const;
  OutcomeCounts Classify(const VersionOutcome& outcome);
  std::optional<RouteLatency> LimitOf(std::uint32_t route) const;
  void AddToReport(const StratumCounts& stratum, const EndpointCounts& endpoint);

  InstanceId m_self;
  ServiceName m_service;
  RolloutRequest m_rollout;
  VersionComparison m_comparison;
  /// Latencies of the old version, from this daemon's own requests.
  RouteLatencies m_local_latencies;
  /// Latency limits of the old version from the controller, by route, from the whole fleet.
  std::map<std::uint32_t, RouteLatency> m_fleet_limits;
  RolloutReportOutbox m_outbox;
  /// Latencies of the old version from before the rollout.
  RecentLatencies m_latencies_before;
  std::optional<RolloutDirective> m_directive;
  std::set<EndpointId> m_excluded_by_controller;
  TimePoint m_directive_until{};
  std::uint32_t m_permits = 0;
  /// Sum of the shares of the requests so far; a request for the new version subtracts 1.
  double m_accumulated_share = 0;
  int m_new_version_endpoints = 0;
  bool m_last_used_permit = false;
  bool m_known_bad = false;
  std::optional<BadVersionNotice> m_bad_notice;
};

}  // namespace fulmarpoint
