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

/// Complete answer of an application engine.
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
  /// Claimed; the outcome is not recorded.
  kClaimed,
  /// The call ran and `answer` is its answer.
  kDone,
  /// The call was sent and its answer was lost.
  kUnknown,
};

inline constexpr std::array<EnumName<ClaimState>, 3> kClaimStateNames = {{
    {ClaimState::kClaimed, "claimed"},
    {ClaimState::kDone, "done"},
    {ClaimState::kUnknown, "unknown"},
}};

/// Value of a row of the table `claims`, whose key is `org/service/key`.
struct ClaimRecord {
  /// Random; tells the writer of a row from others after a lost response.
  std::string claim_token;
  InstanceId owner;
  std::uint64_t request_hash = 0;
  ClaimState state = ClaimState::kClaimed;
  CallResponse answer;
  /// Key of the object that holds the body of the answer; empty if the row holds it.
  std::string object;
  UnixMillis created = 0;

  bool operator==(const ClaimRecord&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(claim_token, owner, request_hash, state, answer, object, created);
  }
};

/// Returns the stored JSON form. The body is written as base64. Thread-safe.
std::string ToJson(const ClaimRecord& record);

/// Parses the stored JSON form. Thread-safe.
Parsed<ClaimRecord> ParseClaimRecord(std::string_view text);

}  // namespace fulmarpoint
