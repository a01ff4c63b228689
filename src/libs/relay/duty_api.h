#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>

#include "protocol/duty_messages.h"
#include "transport/http_client.h"
#include "utils/enum_names.h"

namespace fulmarpoint {

/// Result of a call to the platform's API for singleton duties.
enum class DutyCallResult {
  kAccepted,
  /// The API has seen a higher fencing token for the subject.
  kFenced,
  /// The API's rate limit was exceeded; nothing was done.
  kThrottled,
  kRefused,
  /// The call was not made: there was no connection, or the lease had ended.
  kNotSent,
  /// No reply: the call may have been executed, or may still be.
  kUnknown,
};

inline constexpr std::array<EnumName<DutyCallResult>, 6> kDutyCallResultNames = {{
    {DutyCallResult::kAccepted, "accepted"},
    {DutyCallResult::kFenced, "fenced"},
    {DutyCallResult::kThrottled, "throttled"},
    {DutyCallResult::kRefused, "refused"},
    {DutyCallResult::kNotSent, "not_sent"},
    {DutyCallResult::kUnknown, "unanswered"},
}};

/// Who makes a call.
struct DutyIdentity {
  std::string name;
  std::uint64_t fencing_token = 0;
};

/// Encodes and decodes calls to the platform's API. An adapter provides the functions; they have no
/// side effects and do not throw. The address of a request is left empty.
struct DutyApi {
  std::function<HttpClientRequest(const DutyIdentity&, const UsageReport&)> encode_usage_report;
  std::function<HttpClientRequest(const DutyIdentity&, const EngineOrder&)> encode_engine_order;
  std::function<DutyCallResult(int status)> decode_result;
};

}  // namespace fulmarpoint
