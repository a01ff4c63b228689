#pragma once

#include <nlohmann/json_fwd.hpp>

namespace fulmarpoint {

struct MeasureOptions;

/// Simulates stalled, slow and fast callers of one daemon with `CallerBuffers` and with unbounded
/// buffers. Measures the bytes buffered, the slots taken by stalled callers, the bytes that fast
/// callers receive, and the bytes that engines generate again. `sizes` are numbers of stalled
/// callers.
nlohmann::json MeasureReaderBuffers(const MeasureOptions& options);

}  // namespace fulmarpoint
