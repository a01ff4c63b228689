#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <vector>

namespace fulmarpoint {

/// Options of every measurement.
struct MeasureOptions {
  std::uint64_t seed = 1;
  /// Number of repetitions, each with a seed of its own derived from `seed`.
  int runs = 0;
  /// Sizes to measure at, for example numbers of daemons.
  std::vector<int> sizes;
};

/// Processor time used by this process so far, in microseconds.
double ProcessCpuMicroseconds();

}  // namespace fulmarpoint
