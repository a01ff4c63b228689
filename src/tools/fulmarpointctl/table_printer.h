#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace fulmarpoint::ctl {

/// Returns rows of `columns` under their headings, aligned. `rows` is an array of objects; a column
/// may name a nested field with a dot. Absent fields are printed as "-". Thread-safe.
std::string FormatTable(const nlohmann::json& rows, const std::vector<std::string>& columns);

/// Returns the items of an array, separated by commas, or "-". Thread-safe.
std::string FormatList(const nlohmann::json& list);

/// Returns the fields of an object, one a line, nested ones with dots. Thread-safe.
std::string FormatFields(const nlohmann::json& object);

}  // namespace fulmarpoint::ctl
