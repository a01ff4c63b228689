#pragma once

#include <nlohmann/json_fwd.hpp>

namespace fulmarpoint {

struct MeasureOptions;

/// Runs stalled, slow and fast callers of one daemon with `CallerBuffers` and with unbounded
/// buffers: bytes held, slots taken by stalled callers, bytes that fast callers receive, and bytes
/// that engines produce again. `sizes` are numbers of stalled callers.
nlohmann::json MeasureReaderBuffers(const MeasureOptions& options);

}  // namespace fulmarpoint
