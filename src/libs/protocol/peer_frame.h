#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "protocol/catalogue_item.h"
#include "protocol/datagram_codec.h"
#include "protocol/parse_error.h"

namespace fulmarpoint {

/// Purpose of a request between daemons over framed TCP.
enum class PeerFrameKind : std::uint8_t { kCatalogueDelta, kCall, kEvidence, kCredits };

inline constexpr std::array<EnumName<PeerFrameKind>, 4> kPeerFrameKindNames = {{
    {PeerFrameKind::kCatalogueDelta, "catalogue_delta"},
    {PeerFrameKind::kCall, "call"},
    {PeerFrameKind::kEvidence, "evidence"},
    {PeerFrameKind::kCredits, "credits"},
}};

/// A request or reply between daemons.
struct PeerFrame {
  PeerFrameKind kind = PeerFrameKind::kCatalogueDelta;
  std::string body;
};

/// Returns HMAC-SHA256, kind and body. Thread-safe.
std::string EncodePeerFrame(const DatagramCodec& codec, const PeerFrame& frame);
/// Returns the frame, `kUnauthorized` if the HMAC does not match, or `kBadRequest`. Thread-safe.
Parsed<PeerFrame> DecodePeerFrame(const DatagramCodec& codec, std::string_view bytes);

/// Requests one page of the items that changed after a revision.
struct DeltaRequest {
  std::uint64_t from = 0;
  /// The page starts after this key.
  std::string cursor;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(from);
    internal::SerializeText(archive, cursor);
  }
};

/// One page of a delta. Pages with different `delta.to` belong to different deltas and must not be
/// combined.
struct DeltaPage {
  CatalogueDelta delta;
  bool is_last = true;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(delta);
    internal::SerializeFlag(archive, is_last);
  }
};

std::string Encode(const DeltaRequest& request);
std::string Encode(const DeltaPage& page);
Parsed<DeltaRequest> DecodeDeltaRequest(std::string_view body);
Parsed<DeltaPage> DecodeDeltaPage(std::string_view body);

}  // namespace fulmarpoint
