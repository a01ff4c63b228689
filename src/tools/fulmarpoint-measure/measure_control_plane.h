#pragma once

#include <nlohmann/json_fwd.hpp>

namespace fulmarpoint {

struct MeasureOptions;

/// Runs fleets of control planes in virtual time, `sizes` daemons each, through normal operation,
/// the loss of a failure domain, the return of a region and a table-service outage.
nlohmann::json MeasureControlPlane(const MeasureOptions& options);

/// Measures the state and processor time of one replica; `sizes` are numbers of organisations.
nlohmann::json MeasureCatalogueSize(const MeasureOptions& options);

}  // namespace fulmarpoint
