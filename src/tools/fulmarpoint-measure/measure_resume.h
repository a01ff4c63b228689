#pragma once

#include <nlohmann/json_fwd.hpp>

#include "measure.h"

namespace fulmarpoint {

/// Latency and extra tokens of resumed generations for both service classes and two baselines, on
/// the same faults.
nlohmann::json MeasureResume(const MeasureOptions& options);

}  // namespace fulmarpoint
