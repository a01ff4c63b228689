#pragma once

#include <nlohmann/json_fwd.hpp>

namespace fulmarpoint {

struct MeasureOptions;

/// Counts the endpoints that a crashing request takes down and the innocent requests that are
/// refused, over `runs` seeds and `sizes` daemons, with and without suspicion.
nlohmann::json MeasureCrashSuspects(const MeasureOptions& options);

}  // namespace fulmarpoint
