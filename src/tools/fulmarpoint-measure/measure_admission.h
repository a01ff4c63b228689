#pragma once

#include <nlohmann/json_fwd.hpp>

namespace fulmarpoint {

struct MeasureOptions;

/// Loads one service with a multiple of its capacity and compares `Admission` with an unbounded
/// first-in-first-out queue: answers to callers that are still there, waits, shares of two
/// organisations, and the state held for 46,000 known organisations. `sizes` are loads in percent.
nlohmann::json MeasureAdmission(const MeasureOptions& options);

}  // namespace fulmarpoint
