#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "protocol/bounded_serialization.h"
#include "protocol/identifiers.h"
#include "utils/enum_names.h"
#include "utils/time.h"

namespace fulmarpoint {

enum class RolloutPhase : std::uint8_t { kCanary, kRamp, kFull, kDone, kRolledBack };

inline constexpr std::array<EnumName<RolloutPhase>, 5> kRolloutPhaseNames = {{
    {RolloutPhase::kCanary, "canary"},
    {RolloutPhase::kRamp, "ramp"},
    {RolloutPhase::kFull, "full"},
    {RolloutPhase::kDone, "done"},
    {RolloutPhase::kRolledBack, "rolled_back"},
}};

/// Returns whether a rollout has ended in `phase`.
constexpr bool IsEnd(RolloutPhase phase) {
  return phase == RolloutPhase::kDone || phase == RolloutPhase::kRolledBack;
}

/// Outcomes of one version. `with_latency_limit` counts the requests to which a latency limit
/// applied, `slow` those of them that exceeded it.
struct OutcomeCounts {
  std::uint32_t requests = 0;
  std::uint32_t errors = 0;
  std::uint32_t with_latency_limit = 0;
  std::uint32_t slow = 0;

  OutcomeCounts& operator+=(const OutcomeCounts& other);

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(requests, errors, with_latency_limit, slow);
  }
};

/// Outcomes of the old and the new version on one route in one failure domain. Versions are
/// compared within a stratum, so that the loss of a failure domain is not attributed to the new
/// version.
struct StratumCounts {
  /// Hashes of the names.
  std::uint32_t route = 0;
  std::uint32_t failure_domain = 0;
  OutcomeCounts old_version;
  OutcomeCounts new_version;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(route, failure_domain, old_version, new_version);
  }
};

/// Outcomes of the new version on one endpoint.
struct EndpointCounts {
  EndpointId endpoint;
  OutcomeCounts new_version;

  template <typename Archive>
  void serialize(Archive& archive) {
    internal::SerializeText(archive, endpoint);
    archive(new_version);
  }
};

/// Latency and mean time between tokens on a route in microseconds: either of one request or as a
/// limit. Zero if there is none.
struct RouteLatency {
  /// Hash of the route's name.
  std::uint32_t route = 0;
  std::uint32_t latency_us = 0;
  std::uint32_t token_interval_us = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(route, latency_us, token_interval_us);
  }
};

/// Outcomes of both versions since the sender's previous report. The receiver ignores duplicate
/// sequence numbers, and lost reports are not sent again: outcomes may be lost, but are never
/// counted twice.
struct RolloutReport {
  std::string rollout;
  InstanceId sender;
  std::uint64_t sequence = 0;
  /// Canary requests that the sender wants to make; see `RolloutDirective::permits`.
  std::uint32_t permits_wanted = 0;
  /// Number of requests started since the previous report, of both versions.
  std::uint32_t requests = 0;
  std::vector<StratumCounts> strata;
  /// Only endpoints with an error or a slow request of the new version.
  std::vector<EndpointCounts> endpoints;
  /// A sample of the requests of the old version.
  std::vector<RouteLatency> old_latencies;

  template <typename Archive>
  void serialize(Archive& archive) {
    internal::SerializeText(archive, rollout);
    internal::SerializeText(archive, sender.name);
    archive(sender.incarnation, sequence, permits_wanted, requests);
    internal::SerializeList(archive, strata);
    internal::SerializeList(archive, endpoints);
    internal::SerializeList(archive, old_latencies);
  }
};

/// Reply to a report: which requests the daemon may send to the new version.
struct RolloutDirective {
  std::string rollout;
  /// Sequence number of the report.
  std::uint64_t sequence = 0;
  /// Fencing token of the controller's lease.
  std::uint64_t controller_token = 0;
  RolloutPhase phase = RolloutPhase::kCanary;
  /// Share of requests for the new version in parts per million; used in the ramp phase.
  std::uint32_t share_ppm = 0;
  /// Requests that the daemon may send to the new version in the canary phase.
  std::uint32_t permits = 0;
  /// Endpoints whose failures are attributed to the endpoint, not to the new version. They receive
  /// no requests for the new version.
  std::vector<EndpointId> excluded_endpoints;
  /// 95th percentiles of the old version in the whole fleet, for routes with enough requests.
  std::vector<RouteLatency> latency_limits;
  /// Time since the controller issued the directive, in microseconds.
  std::int64_t age_us = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    internal::SerializeText(archive, rollout);
    archive(sequence, controller_token, phase, share_ppm, permits, age_us);
    internal::SerializeTexts(archive, excluded_endpoints);
    internal::SerializeList(archive, latency_limits);
  }
};

/// Announces that the new version of a rollout is bad. It is never revoked.
struct BadVersionNotice {
  std::string rollout;
  ServiceName service;
  VersionName version;
  std::string reason;
  InstanceId origin;

  template <typename Archive>
  void serialize(Archive& archive) {
    internal::SerializeText(archive, rollout);
    internal::SerializeText(archive, service);
    internal::SerializeText(archive, version);
    internal::SerializeText(archive, reason);
    internal::SerializeText(archive, origin.name);
    archive(origin.incarnation);
  }
};

}  // namespace fulmarpoint
