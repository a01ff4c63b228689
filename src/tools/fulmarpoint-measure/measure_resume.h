#pragma once

#include <nlohmann/json_fwd.hpp>

#include "measure.h"

namespace fulmarpoint {

/// Measures the latency and the extra tokens of resumed generations for both service classes and
/// two baselines, under the same faults.
nlohmann::json MeasureResume(const MeasureOptions& options);

}  // namespace fulmarpoint
