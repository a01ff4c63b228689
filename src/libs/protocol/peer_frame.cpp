#include "protocol/peer_frame.h"

#include "protocol/body_codec.h"

namespace fulmarpoint {

namespace {

constexpr std::size_t kMacBytes = 32;

}  // namespace

std::string EncodePeerFrame(const DatagramCodec& codec, const PeerFrame& frame) {
  const std::string body = static_cast<char>(frame.kind) + frame.body;
  return codec.Sign(body) + body;
}

Parsed<PeerFrame> DecodePeerFrame(const DatagramCodec& codec, std::string_view bytes) {
  if (bytes.size() <= kMacBytes) {
    return ParseError{make_error_code(ResultCode::kBadRequest), "frame", 0, "more than 32 bytes"};
  }
  const std::string_view body = bytes.substr(kMacBytes);
  if (!codec.Verify(body, bytes.substr(0, kMacBytes))) {
    return ParseError{make_error_code(ResultCode::kUnauthorized), "frame", 0,
                      "an authentication code made with the shared key"};
  }
  const PeerFrameKind kind = static_cast<PeerFrameKind>(body.front());
  if (kind > PeerFrameKind::kCredits) {
    return ParseError{make_error_code(ResultCode::kBadRequest), "frame", 0, "a known kind"};
  }
  return PeerFrame{kind, std::string(body.substr(1))};
}

std::string Encode(const DeltaRequest& request) { return internal::EncodeBody(request); }

std::string Encode(const DeltaPage& page) { return internal::EncodeBody(page); }

Parsed<DeltaRequest> DecodeDeltaRequest(std::string_view body) {
  return internal::DecodeBody<DeltaRequest>(body, "delta request");
}

Parsed<DeltaPage> DecodeDeltaPage(std::string_view body) {
  return internal::DecodeBody<DeltaPage>(body, "delta page");
}

}  // namespace fulmarpoint
