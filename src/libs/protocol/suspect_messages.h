#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/identifiers.h"
#include "protocol/parse_error.h"
#include "protocol/peer_messages.h"

namespace fulmarpoint {

/// Hash of a request without its identifiers. Identical requests, such as retries, have the same
/// one.
using Fingerprint = std::uint64_t;

/// Identifies one crash: hash of the endpoint and the incarnation that crashed.
using CrashId = std::uint64_t;

/// Returns the fingerprint of a request. `body` must not contain request identifiers. Thread-safe.
Fingerprint FingerprintOf(const OrganisationId& organisation, const ServiceName& service,
                          std::string_view body);

/// Returns the same identifier at every daemon. Thread-safe.
CrashId CrashIdOf(const EndpointId& endpoint, std::uint64_t incarnation);

/// The crashes of endpoints that were running requests with a fingerprint, as seen by one daemon.
struct SuspectUpdate {
  Fingerprint fingerprint = 0;
  /// Requests with this fingerprint are quarantined.
  bool quarantined = false;
  std::vector<CrashId> crashes;
  /// Crashes that are no longer attributed to the fingerprint, because an attempt completed.
  std::vector<CrashId> cleared;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(fingerprint);
    internal::SerializeFlag(archive, quarantined);
    internal::SerializeList(archive, crashes);
    internal::SerializeList(archive, cleared);
  }
};

/// A request with a suspected fingerprint started or ended at an endpoint.
struct SuspectPlacement {
  Fingerprint fingerprint = 0;
  /// `StableHash` of the endpoint's name.
  std::uint64_t endpoint = 0;
  bool running = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(fingerprint, endpoint);
    internal::SerializeFlag(archive, running);
  }
};

/// Gossip message about fingerprints that are suspected to crash endpoints. Merging is commutative
/// and idempotent.
struct SuspectGossip {
  std::vector<SuspectUpdate> updates;
  std::vector<SuspectPlacement> placements;
  /// Crashes that are confirmed by a refused connection or a new incarnation.
  std::vector<CrashId> confirmed;
  /// Suspected crashes that did not happen: the endpoint responded with the same incarnation.
  std::vector<CrashId> refuted;

  template <typename Archive>
  void serialize(Archive& archive) {
    internal::SerializeList(archive, updates);
    internal::SerializeList(archive, placements);
    internal::SerializeList(archive, confirmed);
    internal::SerializeList(archive, refuted);
  }
};

/// Maximum encoded size, so that a `SuspectGossip` fits a `GossipMessage` with its key.
inline constexpr std::size_t kMaxSuspectGossipBytes = 320;

/// Returns the body of a gossip message with topic `kCrashSuspect`. Thread-safe.
std::string EncodeSuspectGossip(const SuspectGossip& message);

/// Returns the message, or `kBadRequest`. Thread-safe.
Parsed<SuspectGossip> DecodeSuspectGossip(std::string_view body);

}  // namespace fulmarpoint
