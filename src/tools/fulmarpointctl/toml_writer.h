#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace fulmarpoint::ctl {

/// Returns catalogue entries, in the JSON form of the daemons, as a catalogue file in TOML. Nulls
/// are left out. Thread-safe.
std::string CatalogueToml(const nlohmann::json& entries);

}  // namespace fulmarpoint::ctl
