#pragma once

#include <nlohmann/json_fwd.hpp>

namespace fulmarpoint {

struct MeasureOptions;

/// Measures memory, processor time and messages of the decision modules at growing sizes, with a
/// linear fit. scripts/capacity multiplies the slopes by the sizes of a deployment.
nlohmann::json MeasureRoleCosts(const MeasureOptions& options);

}  // namespace fulmarpoint
