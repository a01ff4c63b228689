#pragma once

#include <string>

#include "protocol/result_code.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Reason for rejecting a request before anything was sent to an endpoint.
struct Rejection {
  ResultCode code = ResultCode::kBadRequest;
  std::string detail;
  Duration retry_after{};
};

}  // namespace fulmarpoint
