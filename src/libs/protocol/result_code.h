#pragma once

#include <array>
#include <string>
#include <string_view>
#include <system_error>

#include "utils/enum_names.h"

namespace fulmarpoint {

/// Whether a request with a result code was executed at an endpoint.
enum class Execution { kNotRun, kRun, kMayHaveRun };

inline constexpr std::array<EnumName<Execution>, 3> kExecutionNames = {{
    {Execution::kNotRun, "not_run"},
    {Execution::kRun, "run"},
    {Execution::kMayHaveRun, "may_have_run"},
}};

/// Results of requests and operations. The numbers are part of the public interface and are never
/// reused; docs/result-codes.md lists them.
enum class ResultCode {
  kOk = 0,
  kBadRequest = 100,
  kUnauthorized = 101,
  kForbidden = 102,
  kUnknownService = 103,
  kTooLarge = 104,
  kRequestTimeout = 105,
  kKeyRequired = 106,
  kKeyReused = 107,
  kKeyExpired = 108,
  kBadEventId = 109,
  kOverloaded = 200,
  kOrganisationLimit = 201,
  kNoEndpoint = 202,
  kDraining = 203,
  kStale = 204,
  kStoreUnavailable = 205,
  kMemoryLimit = 206,
  kDeadlineExceeded = 207,
  kRefusedUnchecked = 208,
  kRefusedCrashing = 209,
  kEndpointFailed = 300,
  kOutcomeUnknown = 301,
  kOwnerUnreachable = 302,
  kCrashesEndpoints = 303,
  kCannotContinue = 304,
  kVersionGone = 305,
  kConflict = 400,
  kInvalidCatalogue = 401,
  kNoMajority = 402,
  kNotFound = 403,
  kInternal = 500,
};

/// Row of the table of result codes.
struct ResultCodeInfo {
  ResultCode code;
  std::string_view name;
  Execution execution;
  int http_status;
  std::string_view meaning;
};

/// Returns all result codes in ascending order of their numbers. Thread-safe.
const std::array<ResultCodeInfo, 32>& ResultCodes();

/// Returns the row of `code`. Thread-safe.
const ResultCodeInfo& InfoOf(ResultCode code);

/// Returns the category whose `message()` is the meaning of a code. Thread-safe.
const std::error_category& ResultCategory();

std::error_code make_error_code(ResultCode code);

}  // namespace fulmarpoint

template <>
struct std::is_error_code_enum<fulmarpoint::ResultCode> : std::true_type {};
