#pragma once

#include <cstdint>
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

/// One finished or failed request of a service that has a rollout.
struct VersionOutcome {
  bool new_version = false;
  /// Route name; for generations the adapter, or empty.
  std::string route;
  EndpointId endpoint;
  std::string failure_domain;
  /// True for a failure that the version can have caused. Cancelled requests are not reported.
  bool error = false;
  /// Time to first token or of the whole call; zero if there was none.
  Duration latency{};
  /// Mean time between tokens; zero for calls and for generations of one token.
  Duration token_interval{};
};

/// One daemon's part in the rollout of one service: chooses the version of each request within the
/// share that the controller allows, compares the versions on this daemon's own requests, and
/// reports to the controller.
///
/// A directive is used only for `kDirectiveValidity` after the report that it answers was sent;
/// after that every request gets the old version. So a daemon that was paused or cut off cannot
/// send requests to a version that was rolled back meanwhile. Not thread-safe.
class RolloutParticipant {
 public:
  static constexpr Duration kReportInterval = std::chrono::seconds(1);
  static constexpr Duration kDirectiveValidity = std::chrono::milliseconds(2500);

  struct OutcomeSeen {
    VersionOutcome outcome;
  };
  struct DirectiveReceived {
    RolloutDirective directive;
  };
  struct GossipReceived {
    BadVersionNotice notice;
  };
  /// Call at least every `kReportInterval`.
  struct Tick {};
  using Event = std::variant<OutcomeSeen, DirectiveReceived, GossipReceived, Tick>;

  struct SendReport {
    RolloutReport report;
  };
  /// To be gossiped at once.
  struct PublishGossip {
    BadVersionNotice notice;
  };
  using Action = std::variant<SendReport, PublishGossip>;

  RolloutParticipant(InstanceId self, ServiceName service, RolloutRequest rollout);

  void Handle(const Event& event, TimePoint now, std::vector<Action>& actions);

  /// Returns true if the next request is to run on the new version, and counts it. Call it only for
  /// a request that can be sent at once. `new_version_endpoints` is the number of usable endpoints
  /// that have the new version loaded.
  bool ChooseNewVersion(int new_version_endpoints, TimePoint now);
  /// Gives a choice of the new version back if no endpoint took the request.
  void UndoChoice();
  /// True if the new version may be used on `endpoint`.
  bool MayUse(const EndpointId& endpoint) const;
  /// True once the new version is known to be bad.
  bool KnownBad() const { return m_known_bad; }
  /// Own or received notice that the new version is bad.
  const std::optional<BadVersionNotice>& BadNotice() const { return m_bad_notice; }
  /// Directive in use, if it is still valid.
  std::optional<RolloutDirective> Directive(TimePoint now) const;
  const RolloutRequest& Rollout() const { return m_rollout; }

 private:
  void OnOutcome(const VersionOutcome& outcome, TimePoint now, std::vector<Action>& actions);
  void OnDirective(const RolloutDirective& directive, TimePoint now);
  void OnNotice(const BadVersionNotice& notice, std::vector<Action>& actions);
  void OnTick(TimePoint now, std::vector<Action>& actions);
  OutcomeCounts Classify(const VersionOutcome& outcome);
  std::optional<RouteLatency> LimitOf(std::uint32_t route) const;
  void Collect(const StratumCounts& stratum, const EndpointCounts& endpoint);

  InstanceId m_self;
  ServiceName m_service;
  RolloutRequest m_rollout;
  VersionComparison m_comparison;
  /// Of the old version, from this daemon's own requests, and what the controller knows of all.
  RouteLatencies m_own_latencies;
  std::map<std::uint32_t, RouteLatency> m_fleet_limits;
  RolloutReportOutbox m_outbox;
  std::optional<RolloutDirective> m_directive;
  std::set<EndpointId> m_excluded_by_controller;
  TimePoint m_directive_until{};
  std::uint32_t m_permits = 0;
  double m_share_saved = 0;
  int m_new_version_endpoints = 0;
  bool m_last_used_permit = false;
  bool m_known_bad = false;
  std::optional<BadVersionNotice> m_bad_notice;
};

}  // namespace fulmarpoint
