#pragma once

#include <map>
#include <optional>
#include <string>

#include "protocol/identifiers.h"
#include "utils/random.h"
#include "utils/time.h"

namespace fulmarpoint {

struct ResumeBudgetConfig {
  /// Time between two resumptions at one endpoint, beyond the burst.
  Duration endpoint_interval = std::chrono::milliseconds(50);
  int endpoint_burst = 4;
  /// Time between two resumptions of one service, beyond the burst.
  Duration service_interval = std::chrono::milliseconds(5);
  int service_burst = 32;
  /// A resumption that would have to wait longer is not accepted.
  Duration max_wait = std::chrono::milliseconds(1500);
};

/// Token buckets that spread resumptions over endpoints and time, so that the streams of a lost
/// engine do not arrive at the others all at once. Not thread-safe.
class ResumeBudget {
 public:
  ResumeBudget(ResumeBudgetConfig config, Random random) : m_config(config), m_random(random) {}

  /// Returns how long a resumption at `endpoint` would have to wait. For the router.
  Duration Wait(const ServiceName& service, const EndpointId& endpoint, TimePoint now) const;
  /// Takes one resumption and returns its time, or nothing if the wait exceeds the limit.
  std::optional<TimePoint> Take(const ServiceName& service, const EndpointId& endpoint,
                                TimePoint now);
  /// Forgets buckets that are full.
  void Expire(TimePoint now);

 private:
  /// Time at which a bucket is full again.
  using Buckets = std::map<std::string, TimePoint>;

  static TimePoint ReadyAt(const Buckets& buckets, const std::string& name, Duration interval,
                           int burst, TimePoint now);
  static void Reserve(Buckets& buckets, const std::string& name, Duration interval, TimePoint now);

  ResumeBudgetConfig m_config;
  Random m_random;
  Buckets m_endpoints;
  Buckets m_services;
};

}  // namespace fulmarpoint
