#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace fulmarpoint {

/// Percent-encodes all bytes except letters, digits and `-_.~`. Thread-safe.
std::string PercentEncode(std::string_view text);

/// Decodes `%XX` escapes; returns nothing if an escape is malformed or the result contains a
/// control character. Thread-safe.
std::optional<std::string> PercentDecode(std::string_view text);

/// Returns the path of a request target, the part before `?`. Thread-safe.
std::string_view PathOf(std::string_view target);

/// Returns the decoded value of the first query parameter with that name, or nothing if there is
/// none or its value is malformed. Thread-safe.
std::optional<std::string> QueryParameter(std::string_view target, std::string_view name);

}  // namespace fulmarpoint
