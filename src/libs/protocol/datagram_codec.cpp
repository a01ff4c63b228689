#include "protocol/datagram_codec.h"

#include <openssl/crypto.h>
#include <openssl/hmac.h>

#include <cereal/archives/portable_binary.hpp>
#include <sstream>

#include "protocol/result_code.h"

namespace fulmarpoint {

namespace {

constexpr std::size_t kCodeBytes = 32;

ParseError Rejected(ResultCode code, std::string key, std::string allowed) {
  return ParseError{make_error_code(code), std::move(key), 0, std::move(allowed)};
}

bool HasValidNames(const PeerDatagram& datagram) {
  if (datagram.kind > DatagramKind::kPage) return false;
  if (datagram.from.state > MemberState::kLeft || datagram.from.id.name.empty()) return false;
  for (const MemberUpdate& update : datagram.updates) {
    if (update.state > MemberState::kLeft || update.id.name.empty()) return false;
  }
  for (const GossipMessage& notice : datagram.notices) {
    if (notice.topic > GossipTopic::kOther) return false;
  }
  return true;
}

}  // namespace

std::string DatagramCodec::Sign(std::string_view body) const {
  std::string code(kCodeBytes, '\0');
  unsigned int size = 0;
  HMAC(EVP_sha256(), m_key.data(), static_cast<int>(m_key.size()),
       reinterpret_cast<const unsigned char*>(body.data()), body.size(),
       reinterpret_cast<unsigned char*>(code.data()), &size);
  return code;
}

bool DatagramCodec::Verify(std::string_view body, std::string_view code) const {
  if (code.size() != kCodeBytes) return false;
  return CRYPTO_memcmp(Sign(body).data(), code.data(), kCodeBytes) == 0;
}

Parsed<std::string> DatagramCodec::Encode(const PeerDatagram& datagram) const {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(datagram);
  }
  const std::string body = stream.str();
  if (body.size() + kCodeBytes > kMaxDatagramBytes) {
    return Rejected(ResultCode::kTooLarge, "datagram", "at most 1200 bytes");
  }
  return Sign(body) + body;
}

Parsed<PeerDatagram> DatagramCodec::Decode(std::string_view bytes) const {
  if (bytes.size() <= kCodeBytes || bytes.size() > kMaxDatagramBytes) {
    return Rejected(ResultCode::kBadRequest, "datagram", "33 to 1200 bytes");
  }
  const std::string_view body = bytes.substr(kCodeBytes);
  if (!Verify(body, bytes.substr(0, kCodeBytes))) {
    return Rejected(ResultCode::kUnauthorized, "datagram", "a code made with the shared key");
  }
  std::istringstream stream{std::string(body)};
  PeerDatagram datagram;
  try {
    cereal::PortableBinaryInputArchive archive(stream);
    archive(datagram);
  } catch (const std::exception&) {
    return Rejected(ResultCode::kBadRequest, "datagram", "a complete message");
  }
  if (!HasValidNames(datagram) || stream.peek() != std::istringstream::traits_type::eof()) {
    return Rejected(ResultCode::kBadRequest, "datagram", "valid names and no trailing bytes");
  }
  return datagram;
}

}  // namespace fulmarpoint
