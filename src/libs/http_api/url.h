#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace fulmarpoint {

/// Encodes all bytes but letters, digits and `-_.~`. Thread-safe.
std::string PercentEncode(std::string_view text);

/// Decodes `%XX`; returns nothing if an escape is malformed or a control character results.
/// Thread-safe.
std::optional<std::string> PercentDecode(std::string_view text);

/// Returns the part of a request target before `?`. Thread-safe.
std::string_view PathOf(std::string_view target);

/// Returns the decoded value of a query parameter, or nothing. Thread-safe.
std::optional<std::string> QueryParameter(std::string_view target, std::string_view name);

}  // namespace fulmarpoint
