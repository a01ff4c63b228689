#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace fulmarpoint::ctl {

/// Formats an array of objects as a table with aligned columns and headings. A column is the name
/// of a field, with dots for nested ones. Missing fields are shown as "-". Thread-safe.
std::string FormatTable(const nlohmann::json& rows, const std::vector<std::string>& columns);

/// Formats an array as a comma-separated list, or as "-" if it is empty. Thread-safe.
std::string FormatList(const nlohmann::json& list);

/// Formats an object with one field on each line; names of nested fields contain dots. Thread-safe.
std::string FormatFields(const nlohmann::json& object);

}  // namespace fulmarpoint::ctl
