#pragma once

#include <nlohmann/json_fwd.hpp>

namespace fulmarpoint {

struct MeasureOptions;

/// Measures by how much the requests at endpoints exceed their slots under each `CreditFault`, with
/// load reports 1 s and 5 s old, and compares credits with fixed shares and with an adaptive limit.
nlohmann::json MeasureCreditFaults(const MeasureOptions& options);

/// Measures the credit messages and bytes per daemon with 640 endpoints. `sizes` are numbers of
/// daemons.
nlohmann::json MeasureCreditTraffic(const MeasureOptions& options);

}  // namespace fulmarpoint
