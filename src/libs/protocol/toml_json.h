#pragma once

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "protocol/parse_error.h"

namespace fulmarpoint {

/// A TOML document as JSON, with the line of each path, such as `service[0].limits.max_concurrent`.
struct TomlDocument {
  std::string json;
  std::map<std::string, int> lines;
};

/// Parses TOML. Dates are rejected because no setting uses them. Thread-safe.
Parsed<TomlDocument> ParseToml(std::string_view text);

}  // namespace fulmarpoint
