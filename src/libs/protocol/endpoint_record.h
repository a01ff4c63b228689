#pragma once

#include <cstdint>
#include <string>

#include "protocol/identifiers.h"

namespace fulmarpoint {

/// Registration of an endpoint in the store.
struct EndpointRecord {
  EndpointId id;
  ServiceName service;
  /// "ip:port".
  std::string address;
  std::string failure_domain;
  VersionName version;
  /// Maximum number of concurrent requests.
  int slots = 1;
  bool draining = false;
  /// Start time of the process in milliseconds since the Unix epoch; 0 if unknown. A different
  /// value means a new incarnation.
  std::int64_t incarnation = 0;

  bool operator==(const EndpointRecord&) const = default;
};

}  // namespace fulmarpoint
