#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "protocol/result_code.h"
#include "transport/http_message.h"
#include "transport/http_server.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Returns the problem document (RFC 9457) of a result code as JSON. A `retry_after` of zero is
/// omitted. Thread-safe.
std::string ProblemDocument(ResultCode code, const std::string& detail,
                            Duration retry_after = Duration::zero());

/// Returns an `application/problem+json` reply with the HTTP status of the result code and, unless
/// `retry_after` is zero, a Retry-After header in whole seconds. Thread-safe.
HttpReply ProblemReply(ResultCode code, const std::string& detail,
                       Duration retry_after = Duration::zero());

/// Returns an `application/json` reply with the given HTTP status. Thread-safe.
HttpReply JsonReply(int status, const nlohmann::json& body);

/// Returns the reply to a request that the HTTP server rejects without calling its handler.
/// Thread-safe.
HttpReply RejectionReply(HttpRejection rejection);

}  // namespace fulmarpoint
