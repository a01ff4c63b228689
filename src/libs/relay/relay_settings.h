#pragma once

#include <cstddef>
#include <string>

#include "coordination/configuration_freshness.h"
#include "utils/time.h"

namespace fulmarpoint {

/// What a relaying daemon is told about itself and its limits.
struct RelaySettings {
  std::string name;
  std::string failure_domain;
  /// "ip:port" of the service for callers, of the lookup, of the readiness check, of the UDP socket
  /// for peers, and of the metrics; an empty address is not opened.
  std::string caller_address;
  std::string lookup_address;
  std::string ready_address;
  std::string peer_address;
  std::string metrics_address;
  /// Processor cores that the process may use.
  double cores = 1.0;
  /// Connections of callers and to endpoints together.
  std::size_t max_connections = 1024;
  /// Memory for request bodies that are being received or relayed, and as much for answers.
  std::size_t max_body_bytes = std::size_t{64} * 1024 * 1024;
  /// No request runs with a key this long after its removal.
  Duration key_revocation = std::chrono::seconds(5);
  /// Whether that holds also for a daemon that has lost the store.
  ExpiredConfigurationPolicy when_proof_expired = ExpiredConfigurationPolicy::kRefuse;
  /// Time from the stop signal to the forced end of the process.
  Duration stop_grace = std::chrono::seconds(8);
  /// Longest time that a lookup answer may be kept.
  Duration lookup_keep = std::chrono::seconds(1);
  /// Requests to endpoints beyond the first of each request, of the whole fleet: a share of the
  /// requests, and a number on top, in each window.
  double retry_share = 0.5;
  double retry_slack = 100.0;
  Duration retry_window = std::chrono::seconds(10);
  /// Share of a service's requests during a rollout that a version may get which proves bad.
  double exposure_share = 0.1;
  /// And this many requests on top.
  double exposure_slack = 50.0;
  /// Number of daemons from which one of each failure domain reads the store for the others.
  std::size_t shared_reading_from = 12;

  bool operator==(const RelaySettings&) const = default;
};

}  // namespace fulmarpoint
