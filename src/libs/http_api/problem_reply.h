#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "protocol/result_code.h"
#include "transport/http_message.h"
#include "transport/http_server.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Returns the problem document of a result code. `retry_after` of zero is left out. Thread-safe.
std::string ProblemDocument(ResultCode code, const std::string& detail,
                            Duration retry_after = Duration::zero());

/// Returns an `application/problem+json` reply with the status of the code. Thread-safe.
HttpReply ProblemReply(ResultCode code, const std::string& detail,
                       Duration retry_after = Duration::zero());

/// Returns an `application/json` reply. Thread-safe.
HttpReply JsonReply(int status, const nlohmann::json& body);

/// Returns the reply to a request that the HTTP server rejects itself. Thread-safe.
HttpReply RejectionReply(HttpRejection rejection);

}  // namespace fulmarpoint
