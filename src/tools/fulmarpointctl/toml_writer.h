#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace fulmarpoint::ctl {

/// Converts catalogue entries from the JSON of the admin API to a catalogue file in TOML. Nulls and
/// revisions are omitted. Thread-safe.
std::string CatalogueToml(const nlohmann::json& entries);

}  // namespace fulmarpoint::ctl
