#pragma once

#include <nlohmann/json_fwd.hpp>

namespace fulmarpoint {

struct MeasureOptions;

/// Counts the endpoints that a poison request crashes and the harmless requests that are rejected,
/// with and without crash suspicion. `sizes` are numbers of daemons.
nlohmann::json MeasureCrashSuspects(const MeasureOptions& options);

}  // namespace fulmarpoint
