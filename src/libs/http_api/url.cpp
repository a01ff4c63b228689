#include "http_api/url.h"

namespace fulmarpoint {

namespace {

constexpr char kHexDigits[] = "0123456789ABCDEF";

bool IsUnreserved(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
         c == '_' || c == '.' || c == '~';
}

int HexDigitValue(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

}  // namespace

std::string PercentEncode(std::string_view text) {
  std::string encoded;
  for (const char c : text) {
    if (IsUnreserved(c)) {
      encoded.push_back(c);
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    encoded.push_back('%');
    encoded.push_back(kHexDigits[byte >> 4]);
    encoded.push_back(kHexDigits[byte & 15]);
  }
  return encoded;
}

std::optional<std::string> PercentDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    char c = text[i];
    if (c == '%') {
      if (i + 2 >= text.size()) return std::nullopt;
      const int high = HexDigitValue(text[i + 1]);
      const int low = HexDigitValue(text[i + 2]);
      if (high < 0 || low < 0) return std::nullopt;
      c = static_cast<char>(high * 16 + low);
      i += 2;
    }
    if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f) return std::nullopt;
    decoded.push_back(c);
  }
  return decoded;
}

std::string_view PathOf(std::string_view target) { return target.substr(0, target.find('?')); }

std::optional<std::string> QueryParameter(std::string_view target, std::string_view name) {
  const std::size_t question_mark = target.find('?');
  if (question_mark == std::string_view::npos) return std::nullopt;
  std::string_view rest = target.substr(question_mark + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(pair.size() < rest.size() ? pair.size() + 1 : pair.size());
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) != name) continue;
    return equals == std::string_view::npos ? std::string()
                                            : PercentDecode(pair.substr(equals + 1));
  }
  return std::nullopt;
}

}  // namespace fulmarpoint
