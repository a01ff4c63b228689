#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/parse_error.h"
#include "utils/enum_names.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Reads the fields of one JSON object and records the first error. `Finish()` also rejects keys
/// that were not read, so that a misspelled key is an error. Fields without a `required` parameter
/// are optional: their value is left unchanged if the key is absent. Not thread-safe.
class FieldReader {
 public:
  /// `path` is the path of the object for errors; `lines` maps paths to lines and may be null.
  /// `object` and `lines` must outlive the reader.
  FieldReader(const nlohmann::json& object, std::string path,
              const std::map<std::string, int>* lines);

  bool Has(const std::string& key) const;
  /// Reads a string of `min_size` to 1024 bytes; leaves `value` unchanged if the key is absent and
  /// not `required`.
  void String(const std::string& key, bool required, std::string& value, std::size_t min_size = 1);
  void Bool(const std::string& key, bool& value);
  void Integer(const std::string& key, bool required, std::int64_t min, std::int64_t max,
               std::int64_t& value);
  void Int(const std::string& key, int min, int max, int& value);
  void Size(const std::string& key, std::int64_t min, std::int64_t max, std::size_t& value);
  /// Reads an integer number of milliseconds.
  void Milliseconds(const std::string& key, std::int64_t min, std::int64_t max, Duration& value);
  void Strings(const std::string& key, std::vector<std::string>& value);
  /// Returns the child object of `key`, or null if it is absent.
  const nlohmann::json* Object(const std::string& key);
  /// Returns the child array of `key`, or null if it is absent.
  const nlohmann::json* Array(const std::string& key);

  /// Reads an enumerator by its name in `table`.
  template <typename Enum, std::size_t N>
  void Name(const std::string& key, const std::array<EnumName<Enum>, N>& table, Enum& value) {
    std::string text;
    String(key, false, text);
    if (text.empty()) return;
    const std::optional<Enum> parsed = ValueOf(table, text);
    if (parsed) {
      value = *parsed;
      return;
    }
    std::string allowed = "must be one of";
    for (const EnumName<Enum>& row : table) allowed += " \"" + std::string(row.name) + "\"";
    Fail(key, allowed);
  }

  /// Records an error for `key` unless an error was recorded before.
  void Fail(const std::string& key, const std::string& allowed);
  /// Records the error of a child reader, if any, unless an error was recorded before.
  void Adopt(const std::optional<ParseError>& error);
  /// Returns the path of the child `key`.
  std::string PathOf(const std::string& key) const;
  const std::map<std::string, int>* Lines() const { return m_lines; }
  /// Returns the first error without checking for unknown keys.
  const std::optional<ParseError>& FirstError() const { return m_error; }
  /// Same as `FirstError()`.
  const std::optional<ParseError>& Error() const { return m_error; }
  /// Records an error if there are unknown keys, then returns the first error.
  const std::optional<ParseError>& Finish();

 private:
  const nlohmann::json* Find(const std::string& key, bool required);

  const nlohmann::json& m_object;
  std::string m_path;
  const std::map<std::string, int>* m_lines;
  std::set<std::string> m_read;
  std::optional<ParseError> m_error;
};

}  // namespace fulmarpoint
