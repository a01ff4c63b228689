#pragma once

#include <nlohmann/json_fwd.hpp>

namespace fulmarpoint {

struct MeasureOptions;

/// Overshoot of endpoint slots when load doubles and when daemons join, die, pause or are
/// partitioned, with fresh and with old load reports, against fixed shares and an adaptive limit.
nlohmann::json MeasureCreditFaults(const MeasureOptions& options);

/// Messages and bytes of credits per daemon with 640 endpoints; `sizes` are numbers of daemons.
nlohmann::json MeasureCreditTraffic(const MeasureOptions& options);

}  // namespace fulmarpoint
