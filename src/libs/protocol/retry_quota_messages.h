#pragma once

#include <cstdint>
#include <string>

#include "protocol/bounded_serialization.h"

namespace fulmarpoint {

/// Asks a peer to lend a part of its unused retry quota for a service.
struct RetryQuotaRequest {
  std::string service;
  /// Number of retries.
  std::uint8_t wanted = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    internal::SerializeText(archive, service);
    archive(wanted);
  }
};

/// The lender counts the granted retries as its own.
struct RetryQuotaReply {
  std::uint8_t granted = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(granted);
  }
};

}  // namespace fulmarpoint
