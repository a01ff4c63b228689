#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <vector>

namespace fulmarpoint {

/// Options of every measurement.
struct MeasureOptions {
  std::uint64_t seed = 1;
  /// Number of runs, each with its own seed derived from `seed`. 0 selects the default of the
  /// measurement.
  int runs = 0;
  /// Sizes to measure at, for example numbers of daemons. If empty, the measurement uses its
  /// defaults.
  std::vector<int> sizes;
};

/// Returns the CPU time that this process has used, in microseconds.
double ProcessCpuMicroseconds();

}  // namespace fulmarpoint
