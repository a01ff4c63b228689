#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace fulmarpoint::ctl {

/// Formats what daemons know of the singleton duties. `statuses` is an array of the daemons'
/// replies to `GET /duties`, each with the field `daemon`, its address. Only the holder's reply has
/// the current orders; if it is missing, the text says so. Thread-safe.
std::string FormatDuties(const nlohmann::json& statuses);

}  // namespace fulmarpoint::ctl
