#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/identifiers.h"
#include "protocol/parse_error.h"
#include "protocol/peer_messages.h"

namespace fulmarpoint {

/// Identifies requests that are the same but for their identifiers.
using Fingerprint = std::uint64_t;

/// Identifies one crash: the endpoint and the incarnation that ended.
using CrashId = std::uint64_t;

/// Returns the fingerprint of a request. `body` must not contain request identifiers. Thread-safe.
Fingerprint FingerprintOf(const OrganisationId& organisation, const ServiceName& service,
                          std::string_view body);

/// Returns the same identifier at every daemon. Thread-safe.
CrashId CrashIdOf(const EndpointId& endpoint, std::uint64_t incarnation);

/// What one daemon knows about the crashes in which a fingerprint was running.
struct SuspectUpdate {
  Fingerprint fingerprint = 0;
  bool blocked = false;
  std::vector<CrashId> crashes;
  /// Crashes from which a completed run has cleared the fingerprint.
  std::vector<CrashId> cleared;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(fingerprint);
    internal::SerializeFlag(archive, blocked);
    internal::SerializeList(archive, crashes);
    internal::SerializeList(archive, cleared);
  }
};

/// A suspect runs, or no longer runs, at an endpoint.
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

/// Gossip update about crash suspects. Updates are merged in any order, any number of times.
struct SuspectGossip {
  std::vector<SuspectUpdate> updates;
  std::vector<SuspectPlacement> placements;
  /// Crashes proved by a refused connection or a new incarnation.
  std::vector<CrashId> confirmed;
  /// Supposed crashes whose endpoint answered with the same incarnation.
  std::vector<CrashId> refuted;

  template <typename Archive>
  void serialize(Archive& archive) {
    internal::SerializeList(archive, updates);
    internal::SerializeList(archive, placements);
    internal::SerializeList(archive, confirmed);
    internal::SerializeList(archive, refuted);
  }
};

/// Largest encoded notice, so that it fits a `GossipMessage` with its key.
inline constexpr std::size_t kMaxSuspectGossipBytes = 320;

/// Returns the body of a gossip notice with topic `kCrashSuspect`. Thread-safe.
std::string EncodeSuspectGossip(const SuspectGossip& notice);

/// Returns the notice, or `kBadRequest`. Thread-safe.
Parsed<SuspectGossip> DecodeSuspectGossip(std::string_view body);

}  // namespace fulmarpoint
