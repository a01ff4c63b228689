#pragma once

#include <string>
#include <system_error>
#include <utility>
#include <variant>

namespace fulmarpoint {

/// Why an input was rejected. `key` is the field concerned, `allowed` says what is allowed there.
/// `line` is 1-based; 0 if it is unknown.
struct ParseError {
  std::error_code code;
  std::string key;
  int line = 0;
  std::string allowed;
};

/// Formats an error as "line N: key: what is allowed". Thread-safe.
std::string Describe(const ParseError& error);

/// A parsed value, or the error for which the input was rejected.
template <typename T>
class Parsed {
 public:
  Parsed(T value) : m_result(std::move(value)) {}           // NOLINT(google-explicit-constructor)
  Parsed(ParseError error) : m_result(std::move(error)) {}  // NOLINT(google-explicit-constructor)

  bool Ok() const { return std::holds_alternative<T>(m_result); }
  explicit operator bool() const { return Ok(); }
  /// Precondition: `Ok()`.
  const T& Value() const { return std::get<T>(m_result); }
  /// Precondition: `Ok()`.
  T& Value() { return std::get<T>(m_result); }
  /// Precondition: `!Ok()`.
  const ParseError& Error() const { return std::get<ParseError>(m_result); }

 private:
  std::variant<T, ParseError> m_result;
};

}  // namespace fulmarpoint
