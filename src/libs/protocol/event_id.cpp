#include "protocol/event_id.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <sstream>
#include <utility>

namespace fulmarpoint {

namespace {

// 128 bits of the HMAC are enough against forgery; each token has an id, so ids should be short.
constexpr std::size_t kMacBytes = 16;
// The strings in an id (endpoint, stream and version) are of limited length.
constexpr std::size_t kMaxIdBytes = std::size_t{8} * 1024;
// Domain separation: an HMAC made with the same key for another purpose is not a valid event id.
constexpr char kDomainSeparator[] = "event-id";

constexpr char kAlphabet[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

std::string EncodeBase64(std::string_view bytes) {
  std::string text;
  unsigned int bits = 0;
  int count = 0;
  for (const char c : bytes) {
    bits = (bits << 8) | static_cast<unsigned char>(c);
    for (count += 8; count >= 6; count -= 6) text.push_back(kAlphabet[(bits >> (count - 6)) & 63]);
  }
  if (count > 0) text.push_back(kAlphabet[(bits << (6 - count)) & 63]);
  return text;
}

std::optional<std::string> DecodeBase64(std::string_view text) {
  std::string bytes;
  unsigned int bits = 0;
  int count = 0;
  const std::string_view alphabet(kAlphabet);
  for (const char c : text) {
    const std::size_t value = alphabet.find(c);
    if (value == std::string_view::npos) return std::nullopt;
    bits = (bits << 6) | static_cast<unsigned int>(value);
    count += 6;
    if (count < 8) continue;
    count -= 8;
    bytes.push_back(static_cast<char>((bits >> count) & 255));
  }
  return bytes;
}

std::string ComputeMac(const std::string& key, std::string_view body,
                       const OrganisationId& organisation) {
  std::string text(kDomainSeparator);
  text.push_back('\0');
  text.append(organisation);
  text.push_back('\0');
  text.append(body);
  unsigned char mac[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(), mac, &size);
  return std::string(reinterpret_cast<const char*>(mac), kMacBytes);
}

std::optional<ResumePoint> DecodeBody(std::string_view body) {
  std::istringstream stream{std::string(body)};
  ResumePoint point;
  try {
    cereal::PortableBinaryInputArchive archive(stream);
    archive(point);
  } catch (const std::exception&) {
    return std::nullopt;
  }
  return point;
}

}  // namespace

EventIdCodec::EventIdCodec(std::string key, std::string previous_key)
    : m_key(std::move(key)), m_previous_key(std::move(previous_key)) {}

std::string EventIdCodec::Encode(const ResumePoint& point,
                                 const OrganisationId& organisation) const {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(point);
  }
  const std::string body = stream.str();
  return EncodeBase64(ComputeMac(m_key, body, organisation) + body);
}

std::optional<ResumePoint> EventIdCodec::Decode(std::string_view id,
                                                const OrganisationId& organisation) const {
  if (id.size() > kMaxIdBytes) return std::nullopt;
  const std::optional<std::string> bytes = DecodeBase64(id);
  if (!bytes || bytes->size() <= kMacBytes) return std::nullopt;
  const std::string_view body = std::string_view(*bytes).substr(kMacBytes);
  for (const std::string* key : {&m_key, &m_previous_key}) {
    if (key->empty()) continue;
    const std::string mac = ComputeMac(*key, body, organisation);
    if (CRYPTO_memcmp(mac.data(), bytes->data(), kMacBytes) == 0) return DecodeBody(body);
  }
  return std::nullopt;
}

}  // namespace fulmarpoint
