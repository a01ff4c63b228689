#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/bounded_serialization.h"
#include "protocol/identifiers.h"
#include "utils/enum_names.h"

namespace fulmarpoint {

namespace internal {

template <typename Archive>
void SerializeId(Archive& archive, InstanceId& id) {
  SerializeText(archive, id.name);
  archive(id.incarnation);
}

}  // namespace internal

/// State of a member in order of precedence: at the same epoch the later one wins.
enum class MemberState : std::uint8_t { kAlive, kSuspect, kFailed, kLeft };

inline constexpr std::array<EnumName<MemberState>, 4> kMemberStateNames = {{
    {MemberState::kAlive, "alive"},
    {MemberState::kSuspect, "suspect"},
    {MemberState::kFailed, "failed"},
    {MemberState::kLeft, "left"},
}};

/// What one daemon says about another or about itself. The address and the places are omitted
/// when only the state changed (`has_location` is false).
struct MemberUpdate {
  InstanceId id;
  /// Raised only by the process itself, to refute a suspicion.
  std::uint32_t epoch = 0;
  MemberState state = MemberState::kAlive;
  bool leaving = false;
  bool has_location = true;
  /// "ip:port" of the peer service (UDP and TCP).
  std::string address;
  std::uint16_t http_port = 0;
  std::string failure_domain;
  std::string region;

  template <typename Archive>
  void serialize(Archive& archive) {
    internal::SerializeId(archive, id);
    archive(epoch, state);
    internal::SerializeFlag(archive, leaving);
    internal::SerializeFlag(archive, has_location);
    if (!has_location) return;
    internal::SerializeText(archive, address);
    archive(http_port);
    internal::SerializeText(archive, failure_domain);
    internal::SerializeText(archive, region);
  }
};

enum class GossipTopic : std::uint8_t { kVersionBad, kCrashSuspect, kOther };

/// Information of another module that is spread to every daemon. Of two notices with the same
/// topic and key the one with the higher version is kept.
struct GossipMessage {
  GossipTopic topic = GossipTopic::kOther;
  std::string key;
  std::uint64_t version = 0;
  std::string body;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(topic, version);
    internal::SerializeText(archive, key);
    internal::SerializeText(archive, body);
  }
};

inline constexpr std::uint32_t kNoConfirmation = UINT32_MAX;

/// The catalogue revision in effect at the sender.
struct CatalogueHead {
  std::uint64_t revision = 0;
  /// Age of the sender's proof that the revision is current; `kNoConfirmation` if it has none.
  std::uint32_t confirmation_age_ms = kNoConfirmation;
  /// The sender refuses new work.
  bool fenced = true;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(revision, confirmation_age_ms);
    internal::SerializeFlag(archive, fenced);
  }
};

enum class DatagramKind : std::uint8_t {
  kPing,
  kAck,
  kPingRequest,
  kIndirectAck,
  kPageRequest,
  kPage,
};

/// A message between daemons over UDP.
struct PeerDatagram {
  DatagramKind kind = DatagramKind::kPing;
  /// Chosen by the requester and repeated in the answer.
  std::uint64_t nonce = 0;
  /// The sender as it describes itself.
  MemberUpdate from;
  /// The process that is asked; an empty name addresses whichever process has the address.
  InstanceId to;
  CatalogueHead head;
  /// `kPingRequest`: the process to ping and its address.
  InstanceId subject;
  std::string subject_address;
  /// `kPageRequest`, `kPage`: name of the member to continue after, and, once all members have been
  /// sent, the number of notices to skip.
  std::string cursor;
  std::uint32_t gossip_cursor = 0;
  std::vector<MemberUpdate> updates;
  std::vector<GossipMessage> notices;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(kind, nonce, from);
    internal::SerializeId(archive, to);
    archive(head);
    if (kind == DatagramKind::kPingRequest) {
      internal::SerializeId(archive, subject);
      internal::SerializeText(archive, subject_address);
    }
    if (kind == DatagramKind::kPageRequest || kind == DatagramKind::kPage) {
      internal::SerializeText(archive, cursor);
      archive(gossip_cursor);
    }
    internal::SerializeList(archive, updates);
    internal::SerializeList(archive, notices);
  }
};

/// Returns the number of bytes that an item adds to a datagram. Thread-safe.
std::size_t EncodedSize(const MemberUpdate& update);
std::size_t EncodedSize(const GossipMessage& notice);

}  // namespace fulmarpoint
