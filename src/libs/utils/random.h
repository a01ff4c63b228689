#pragma once

#include <random>

namespace fulmarpoint {

/// Source of randomness of a decision module. Seeded by the caller, so that a run can be repeated.
using Random = std::mt19937_64;

}  // namespace fulmarpoint
