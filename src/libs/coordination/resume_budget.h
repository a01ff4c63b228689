#pragma once

#include <map>
#include <optional>
#include <string>

#include "protocol/identifiers.h"
#include "utils/random.h"
#include "utils/time.h"

namespace fulmarpoint {

struct ResumeBudgetConfig {
  /// Interval between two resumptions at one endpoint after the burst.
  Duration endpoint_interval = std::chrono::milliseconds(50);
  int endpoint_burst = 4;
  /// Interval between two resumptions of one service after the burst.
  Duration service_interval = std::chrono::milliseconds(5);
  int service_burst = 32;
  /// A resumption that would have to wait longer is rejected.
  Duration max_wait = std::chrono::milliseconds(1500);
};

/// Token buckets that distribute resumptions over endpoints and time, so that the streams of a lost
/// engine do not all arrive at the others at once. Not thread-safe.
class ResumeBudget {
 public:
  ResumeBudget(ResumeBudgetConfig config, Random random) : m_config(config), m_random(random) {}

  /// Returns how long a resumption at `endpoint` would have to wait. Used by the router.
  Duration Wait(const ServiceName& service, const EndpointId& endpoint, TimePoint now) const;
  /// Reserves one resumption and returns the time at which it may start, or `std::nullopt` if the
  /// wait would exceed `max_wait`.
  std::optional<TimePoint> Take(const ServiceName& service, const EndpointId& endpoint,
                                TimePoint now);
  /// Removes buckets that are full.
  void Expire(TimePoint now);

 private:
  /// Time at which each bucket is full again, by endpoint or service name.
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
