#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "protocol/resume_point.h"

namespace fulmarpoint {

/// Encodes resume points as event ids: URL-safe Base64 of a truncated HMAC-SHA256 and the point.
/// The HMAC also covers the organisation, so that other organisations can't use the id.
/// Thread-safe.
class EventIdCodec {
 public:
  /// Signs with `key`. Ids signed with `previous_key` are accepted too, unless it is empty.
  EventIdCodec(std::string key, std::string previous_key);

  std::string Encode(const ResumePoint& point, const OrganisationId& organisation) const;
  /// Returns nothing if the id is malformed or its HMAC does not match.
  std::optional<ResumePoint> Decode(std::string_view id, const OrganisationId& organisation) const;

 private:
  std::string m_key;
  std::string m_previous_key;
};

}  // namespace fulmarpoint
