#pragma once

#include <cstdint>
#include <string>

#include "protocol/bounded_serialization.h"

namespace fulmarpoint {

/// Asks a peer for some of the repeats that it may still make of a service's requests.
struct RetryQuotaRequest {
  std::string service;
  std::uint8_t wanted = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    internal::SerializeText(archive, service);
    archive(wanted);
  }
};

/// The lender counts the granted repeats as its own.
struct RetryQuotaReply {
  std::uint8_t granted = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(granted);
  }
};

}  // namespace fulmarpoint
