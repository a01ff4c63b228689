#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/identifiers.h"
#include "protocol/parse_error.h"
#include "protocol/peer_messages.h"

namespace fulmarpoint {

/// Identifies an endpoint in credit messages: `StableHash` of its identifier.
using EndpointHash = std::uint64_t;

inline constexpr std::uint32_t kNoGrantApplied = UINT32_MAX;

/// A daemon's demand for credits at one endpoint.
struct CreditDemand {
  EndpointHash endpoint = 0;
  /// The sender's running requests at the endpoint.
  std::uint16_t in_use = 0;
  /// Unexpired credits that the sender holds.
  std::uint16_t held = 0;
  /// Running and waiting requests. The owner satisfies this for all holders before it grants spare
  /// credits.
  std::uint16_t needed = 0;
  /// `needed` plus the spare credits that the sender wants to hold.
  std::uint16_t wanted = 0;
  /// `sent_at` of this request minus `sent_at` of the last grant that the sender applied for this
  /// endpoint, in microseconds; `kNoGrantApplied` if there was none in the last hour.
  std::uint32_t grant_age_us = kNoGrantApplied;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(endpoint, in_use, held, needed, wanted, grant_age_us);
  }
};

/// Requests credits from the owner of endpoints, in one message for all of its endpoints.
struct CreditRequest {
  InstanceId holder;
  /// Monotonic clock of the holder in microseconds; echoed in the grant. Increases with each
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

/// Reply to a request. Replaces the holder's credits at the endpoints that it lists.
struct CreditGrant {
  InstanceId owner;
  /// Copied from the request.
  std::int64_t sent_at = 0;
  std::vector<CreditAmount> amounts;

  template <typename Archive>
  void serialize(Archive& archive) {
    internal::SerializeId(archive, owner);
    archive(sent_at);
    internal::SerializeList(archive, amounts);
  }
};

/// Maximum number of endpoints in one message, which must fit into a datagram of 1,200 bytes.
inline constexpr std::size_t kMaxCreditEntries = 48;

/// Return the serialized message, without authentication. Thread-safe.
std::string EncodeCreditRequest(const CreditRequest& request);
std::string EncodeCreditGrant(const CreditGrant& grant);

/// Return the message, or `kBadRequest`. Thread-safe.
Parsed<CreditRequest> DecodeCreditRequest(std::string_view body);
Parsed<CreditGrant> DecodeCreditGrant(std::string_view body);

}  // namespace fulmarpoint
