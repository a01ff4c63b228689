#pragma once

#include <nlohmann/json_fwd.hpp>

namespace fulmarpoint {

struct MeasureOptions;

/// Simulates rollouts of good and bad versions under virtual time, with the real participants and
/// controller and with two baselines: fixed steps with a fixed error threshold, and all at once.
nlohmann::json MeasureRollout(const MeasureOptions& options);

}  // namespace fulmarpoint
