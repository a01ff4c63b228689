#pragma once

#include <nlohmann/json_fwd.hpp>

namespace fulmarpoint {

struct MeasureOptions;

/// Loads one service with a multiple of its capacity and compares `Admission` with an unbounded
/// FIFO queue: responses that reach callers before they time out, waiting times, shares of a large
/// and of small organisations, and the state held with 46,000 organisations. `sizes` are loads in
/// percent of the capacity.
nlohmann::json MeasureAdmission(const MeasureOptions& options);

}  // namespace fulmarpoint
