#pragma once

#include <random>

namespace fulmarpoint {

/// Pseudo-random number generator. Seeded by the caller, so that simulations are reproducible.
using Random = std::mt19937_64;

}  // namespace fulmarpoint
