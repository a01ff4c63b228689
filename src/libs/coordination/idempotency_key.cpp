#include "coordination/idempotency_key.h"

#include <charconv>
#include <chrono>
#include <cstdint>

namespace fulmarpoint {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

constexpr UnixMillis kClaimRetention = milliseconds(hours(7 * 24)).count();
/// Covers clock differences and the longest pause of a daemon between checking and claiming a key.
constexpr UnixMillis kClaimRetentionMargin = milliseconds(hours(2)).count();
constexpr std::string_view kIssuedKeyTag = "fpk.";
constexpr std::size_t kUuidSize = 36;
constexpr std::size_t kUuidVersionOffset = 14;

std::optional<std::uint64_t> ParseHex(std::string_view text) {
  std::uint64_t value = 0;
  const std::from_chars_result result =
      std::from_chars(text.data(), text.data() + text.size(), value, 16);
  if (text.empty() || result.ec != std::errc() || result.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

std::string ToHex(std::uint64_t value) {
  char digits[16];
  const std::to_chars_result result = std::to_chars(digits, digits + sizeof(digits), value, 16);
  return {digits, result.ptr};
}

/// Encodes the name as hexadecimal digits, because it may contain the separators.
std::string EncodeName(std::string_view name) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const char c : name) {
    text += kDigits[static_cast<unsigned char>(c) >> 4];
    text += kDigits[static_cast<unsigned char>(c) & 15];
  }
  return text;
}

std::optional<std::string> DecodeName(std::string_view text) {
  if (text.empty() || text.size() % 2 != 0) return std::nullopt;
  std::string name;
  for (std::size_t i = 0; i < text.size(); i += 2) {
    const std::optional<std::uint64_t> byte = ParseHex(text.substr(i, 2));
    if (!byte) return std::nullopt;
    name += static_cast<char>(*byte);
  }
  return name;
}

}  // namespace

std::optional<UnixMillis> UuidV7Time(std::string_view key) {
  if (key.size() != kUuidSize || key[kUuidVersionOffset] != '7') return std::nullopt;
  for (std::size_t i = 0; i < key.size(); ++i) {
    const bool dash_expected = i == 8 || i == 13 || i == 18 || i == 23;
    if (dash_expected != (key[i] == '-')) return std::nullopt;
    if (!dash_expected && !ParseHex(key.substr(i, 1))) return std::nullopt;
  }
  const std::string digits = std::string(key.substr(0, 8)) + std::string(key.substr(9, 4));
  const std::optional<std::uint64_t> millis = ParseHex(digits);
  if (!millis) return std::nullopt;
  return static_cast<UnixMillis>(*millis);
}

bool IsKeyTooOld(std::string_view key, UnixMillis now) {
  const std::optional<UnixMillis> time = UuidV7Time(key);
  return time && now - *time > kClaimRetention;
}

bool IsClaimDeletable(std::string_view key, UnixMillis now) {
  const std::optional<UnixMillis> time = UuidV7Time(key);
  return time && now - *time > kClaimRetention + kClaimRetentionMargin;
}

std::string FormatIssuedPrefix(const IssuedKey& key) {
  const auto issued = static_cast<std::uint64_t>(key.issued.time_since_epoch().count());
  return std::string(kIssuedKeyTag) + ToHex(key.owner.incarnation) + "." + ToHex(issued) + "." +
         EncodeName(key.owner.name);
}

bool HasIssuedForm(std::string_view key) { return key.starts_with(kIssuedKeyTag); }

std::optional<IssuedKey> ParseIssuedKey(std::string_view key) {
  if (!HasIssuedForm(key)) return std::nullopt;
  key.remove_prefix(kIssuedKeyTag.size());
  const std::size_t dash = key.find('-');
  if (dash == std::string_view::npos || dash + 1 == key.size()) return std::nullopt;
  const std::string_view prefix = key.substr(0, dash);
  const std::size_t first = prefix.find('.');
  if (first == std::string_view::npos) return std::nullopt;
  const std::size_t second = prefix.find('.', first + 1);
  if (second == std::string_view::npos) return std::nullopt;
  const std::optional<std::uint64_t> incarnation = ParseHex(prefix.substr(0, first));
  const std::optional<std::uint64_t> issued =
      ParseHex(prefix.substr(first + 1, second - first - 1));
  const std::optional<std::string> name = DecodeName(prefix.substr(second + 1));
  if (!incarnation || !issued || !name) return std::nullopt;
  if (*issued > static_cast<std::uint64_t>(Duration::max().count())) return std::nullopt;
  return IssuedKey{{*name, *incarnation}, TimePoint(Duration(static_cast<Duration::rep>(*issued)))};
}

}  // namespace fulmarpoint
