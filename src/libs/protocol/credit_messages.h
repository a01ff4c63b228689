#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/identifiers.h"
#include "protocol/parse_error.h"
#include "protocol/peer_messages.h"

namespace fulmarpoint {

/// Names an endpoint in credit messages: `StableHash` of its identifier.
using EndpointHash = std::uint64_t;

inline constexpr std::uint32_t kNoGrantApplied = UINT32_MAX;

struct CreditDemand {
  EndpointHash endpoint = 0;
  /// Requests of the sender that run at the endpoint.
  std::uint16_t in_use = 0;
  /// Credits that the sender holds and that have not expired.
  std::uint16_t held = 0;
  /// Running and waiting requests. Satisfied for all holders before any spare credit is granted.
  std::uint16_t needed = 0;
  /// `needed` and the spare credits that the sender would like to keep ready.
  std::uint16_t wanted = 0;
  /// `sent_at` of the request minus that of the last grant applied for this endpoint, in
  /// microseconds; `kNoGrantApplied` if there was none in the last hour.
  std::uint32_t grant_age_us = kNoGrantApplied;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(endpoint, in_use, held, needed, wanted, grant_age_us);
  }
};

/// A daemon asks the owner of endpoints for credits, in one message for all of them.
struct CreditRequest {
  InstanceId holder;
  /// Monotonic clock of the holder in microseconds, repeated in the grant. Increases with each
  /// request.
  std::int64_t sent_at = 0;
  std::vector<CreditDemand> demands;

  template <typename Archive>
  void serialize(Archive& archive) {
    internal::SerializeId(archive, holder);
    archive(sent_at);
    internal::SerializeList(archive, demands);
  }
};

struct CreditAmount {
  EndpointHash endpoint = 0;
  std::uint16_t granted = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(endpoint, granted);
  }
};

/// Answer to a request. Replaces what the holder held for the endpoints named.
struct CreditGrant {
  InstanceId owner;
  std::int64_t sent_at = 0;
  std::vector<CreditAmount> amounts;

  template <typename Archive>
  void serialize(Archive& archive) {
    internal::SerializeId(archive, owner);
    archive(sent_at);
    internal::SerializeList(archive, amounts);
  }
};

/// Endpoints in one message, so that it fits a datagram of 1,200 bytes.
inline constexpr std::size_t kMaxCreditEntries = 48;

/// Return message bodies without authentication. Thread-safe.
std::string EncodeCreditRequest(const CreditRequest& request);
std::string EncodeCreditGrant(const CreditGrant& grant);

/// Return the message, or `kBadRequest`. Thread-safe.
Parsed<CreditRequest> DecodeCreditRequest(std::string_view body);
Parsed<CreditGrant> DecodeCreditGrant(std::string_view body);

}  // namespace fulmarpoint
