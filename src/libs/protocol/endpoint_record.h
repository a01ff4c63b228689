#pragma once

#include <cstdint>
#include <string>

#include "protocol/identifiers.h"

namespace fulmarpoint {

/// How an endpoint describes itself in the store.
struct EndpointRecord {
  EndpointId id;
  ServiceName service;
  /// "ip:port".
  std::string address;
  std::string failure_domain;
  VersionName version;
  /// Requests that it runs at the same time.
  int slots = 1;
  bool draining = false;
  /// Start of the process in milliseconds since the Unix epoch; 0 if not given. A different value
  /// is a new incarnation.
  std::int64_t incarnation = 0;

  bool operator==(const EndpointRecord&) const = default;
};

}  // namespace fulmarpoint
