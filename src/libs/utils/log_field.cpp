#include "utils/log_field.h"

#include <algorithm>

namespace fulmarpoint {

namespace {

constexpr std::size_t kMaxValueBytes = 256;
constexpr std::string_view kTruncationMark = "...";

bool IsControl(char c) {
  const auto code = static_cast<unsigned char>(c);
  return code < 0x20 || code == 0x7f;
}

bool NeedsQuotes(char c) { return c == ' ' || c == '"' || c == '=' || c == '\\' || IsControl(c); }

}  // namespace

LogField::LogField(std::string_view name, std::string_view value)
    : m_name(name), m_value(value.substr(0, kMaxValueBytes)) {
  if (value.size() > kMaxValueBytes) m_value.append(kTruncationMark);
}

void LogField::AppendTo(std::string& line) const {
  line.append(m_name).append("=");
  const bool is_plain =
      !m_value.empty() && std::none_of(m_value.begin(), m_value.end(), &NeedsQuotes);
  if (is_plain) {
    line.append(m_value);
    return;
  }
  line.push_back('"');
  for (const char c : m_value) {
    if (c == '"' || c == '\\') line.push_back('\\');
    line.push_back(IsControl(c) ? '?' : c);
  }
  line.push_back('"');
}

}  // namespace fulmarpoint
