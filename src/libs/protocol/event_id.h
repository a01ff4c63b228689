#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "protocol/resume_point.h"

namespace fulmarpoint {

/// Encodes resume points as event ids: URL-safe Base64 of an HMAC-SHA256 and the point. The HMAC
/// covers the organisation, so that an id can't be used by another one. Thread-safe.
class EventIdCodec {
 public:
  /// `previous_key` is accepted beside `key` unless it is empty.
  EventIdCodec(std::string key, std::string previous_key);

  std::string Encode(const ResumePoint& point, const OrganisationId& organisation) const;
  /// Returns nothing for an id that is malformed or forged.
  std::optional<ResumePoint> Decode(std::string_view id, const OrganisationId& organisation) const;

 private:
  std::string m_key;
  std::string m_previous_key;
};

}  // namespace fulmarpoint
