#include "server/api_key.h"

#include <openssl/sha.h>

namespace fulmarpoint {

namespace {

constexpr std::string_view kScheme = "Bearer ";
constexpr char kDigits[] = "0123456789abcdef";

}  // namespace

std::string Sha256Hex(std::string_view text) {
  unsigned char hash[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), hash);
  std::string hex;
  for (const unsigned char byte : hash) {
    hex.push_back(kDigits[byte >> 4]);
    hex.push_back(kDigits[byte & 15]);
  }
  return hex;
}

std::optional<std::string> KeyHashOf(const HttpHeaders& headers) {
  const std::optional<std::string_view> value = FindHeader(headers, "Authorization");
  if (!value || value->size() <= kScheme.size() || value->substr(0, kScheme.size()) != kScheme) {
    return std::nullopt;
  }
  return Sha256Hex(value->substr(kScheme.size()));
}

}  // namespace fulmarpoint
