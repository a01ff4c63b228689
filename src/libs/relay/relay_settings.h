#pragma once

#include <cstddef>
#include <string>

#include "coordination/configuration_freshness.h"
#include "utils/time.h"

namespace fulmarpoint {

/// The calls to the platform that only one daemon makes at a time.
struct DutySettings {
  /// "ip:port" of the platform's API; empty if there are no duties.
  std::string api_address;
  bool reports_usage = false;
  bool orders_engines = false;
  /// Calls per second that the API accepts from all daemons together.
  double calls_per_second = 50.0;
  Duration lease_time = std::chrono::seconds(3);
  /// Length of a window of the usage reports, and the time after its end at which its report is
  /// due.
  Duration usage_window = std::chrono::seconds(5);
  Duration usage_due = std::chrono::seconds(10);

  bool IsEnabled() const { return !api_address.empty() && (reports_usage || orders_engines); }
  bool operator==(const DutySettings&) const = default;
};

/// Name, addresses and limits of a relay daemon.
struct RelaySettings {
  std::string name;
  std::string failure_domain;
  /// "ip:port" of the service for callers, of the lookup, of the readiness check, of the TCP and
  /// UDP sockets for peers, and of the metrics. The servers with an empty address are not started.
  std::string caller_address;
  std::string lookup_address;
  std::string ready_address;
  std::string peer_address;
  std::string metrics_address;
  /// Processor cores that the process may use.
  double cores = 1.0;
  /// Limit on the connections from callers and to endpoints together.
  std::size_t max_connections = 1024;
  /// Memory for request bodies that are being received or relayed, and as much again for replies.
  std::size_t max_body_bytes = std::size_t{64} * 1024 * 1024;
  /// Time after a key's removal from which no request may run with it.
  Duration key_revocation_time = std::chrono::seconds(5);
  /// Whether that also holds for a daemon that cannot reach the store.
  ExpiredConfigurationPolicy when_freshness_expired = ExpiredConfigurationPolicy::kReject;
  /// Time from the stop signal to the forced end of the process.
  Duration stop_grace = std::chrono::seconds(8);
  /// Time to live of a lookup answer.
  Duration lookup_ttl = std::chrono::seconds(1);
  /// Limit on retries of the whole fleet in each window: a share of the requests, plus a fixed
  /// number.
  double retry_share = 0.5;
  double retry_slack = 100.0;
  Duration retry_window = std::chrono::seconds(10);
  /// Limit on the requests that a bad version may receive during a rollout: a share of the
  /// service's requests, plus a fixed number.
  double exposure_share = 0.1;
  double exposure_slack = 50.0;
  /// Fleet size from which only some daemons of each failure domain read the store and the others
  /// replicate its tables from them.
  std::size_t min_daemons_for_peer_replication = 12;
  DutySettings duties;
  /// Streams wait for engines in order of urgency where they compete for them, instead of being
  /// rejected after a fraction of their objective. Experimental: in a fleet in which daemons do not
  /// see each other's streams, the engines that are left after a loss receive too many.
  bool queues_streams = false;

  bool operator==(const RelaySettings&) const = default;
};

}  // namespace fulmarpoint
