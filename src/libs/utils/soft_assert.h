#pragma once

namespace fulmarpoint::internal {

/// Logs a violated condition. Thread-safe.
void ReportSoftAssert(const char* condition, const char* file, int line);

}  // namespace fulmarpoint::internal

/// Logs a violated condition with file and line and then runs `recovery`, for example
/// `return`, so that a defect in one request does not end the process.
#define SOFT_ASSERT(condition, recovery)                                       \
  if (!(condition)) {                                                          \
    ::fulmarpoint::internal::ReportSoftAssert(#condition, __FILE__, __LINE__); \
    recovery;                                                                  \
  }                                                                            \
  static_assert(true)
