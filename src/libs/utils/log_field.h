#pragma once

#include <concepts>
#include <string>
#include <string_view>

namespace fulmarpoint {

/// A name and a value in a log line. A string value is truncated after 256 bytes, so that data from
/// callers cannot fill the log.
class LogField {
 public:
  LogField(std::string_view name, std::string_view value);
  LogField(std::string_view name, const char* value) : LogField(name, std::string_view(value)) {}
  LogField(std::string_view name, const std::string& value)
      : LogField(name, std::string_view(value)) {}
  /// Booleans are written as 1 and 0.
  template <std::integral Number>
  LogField(std::string_view name, Number value) : m_name(name), m_value(std::to_string(value)) {}

  /// Appends `name=value`. A value that is empty or contains spaces, quotes, equals signs,
  /// backslashes or control characters is quoted, with `\` before quotes and backslashes and `?` in
  /// place of control characters.
  void AppendTo(std::string& line) const;

 private:
  std::string m_name;
  std::string m_value;
};

}  // namespace fulmarpoint
