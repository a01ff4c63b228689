#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "protocol/identifiers.h"
#include "protocol/parse_error.h"
#include "utils/enum_names.h"
#include "utils/time.h"

namespace fulmarpoint {

inline constexpr char kClaimTable[] = "claims";

/// Complete response of an application engine.
struct CallResponse {
  int status = 200;
  std::string content_type;
  std::string body;

  bool operator==(const CallResponse&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(status, content_type, body);
  }
};

enum class ClaimState {
  /// Claimed; no outcome is recorded yet.
  kClaimed,
  /// The call completed; `answer` holds its response.
  kDone,
  /// The call was sent and its response was lost.
  kUnknown,
};

inline constexpr std::array<EnumName<ClaimState>, 3> kClaimStateNames = {{
    {ClaimState::kClaimed, "claimed"},
    {ClaimState::kDone, "done"},
    {ClaimState::kUnknown, "unknown"},
}};

/// Value of a row of the table `claims`: an idempotency key that is in use, and the outcome of its
/// call. The row's key is `org/service/key`.
struct ClaimRecord {
  /// Random. After a lost response it shows whether the row was written by this writer.
  std::string claim_token;
  InstanceId owner;
  std::uint64_t request_hash = 0;
  ClaimState state = ClaimState::kClaimed;
  CallResponse answer;
  /// Key of the object that holds the response body; empty if the row holds the body.
  std::string object;
  UnixMillis created = 0;

  bool operator==(const ClaimRecord&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(claim_token, owner, request_hash, state, answer, object, created);
  }
};

/// Returns the stored JSON form. The body is encoded in Base64. Thread-safe.
std::string ToJson(const ClaimRecord& record);

/// Parses the stored JSON form. Thread-safe.
Parsed<ClaimRecord> ParseClaimRecord(std::string_view text);

}  // namespace fulmarpoint
