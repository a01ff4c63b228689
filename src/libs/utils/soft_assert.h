#pragma once

namespace fulmarpoint::internal {

/// Logs a violated condition. Thread-safe.
void ReportSoftAssert(const char* condition, const char* file, int line);

}  // namespace fulmarpoint::internal

/// If `condition` is false, logs it with file and line and runs `recovery`, for example `return`,
/// so that a defect in the handling of one request does not terminate the process.
#define SOFT_ASSERT(condition, recovery)                                       \
  if (!(condition)) {                                                          \
    ::fulmarpoint::internal::ReportSoftAssert(#condition, __FILE__, __LINE__); \
    recovery;                                                                  \
  }                                                                            \
  static_assert(true)
