#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "protocol/identifiers.h"

namespace fulmarpoint {

/// State of a generation after a delivered token. It is the content of a signed event id, so that
/// any daemon can continue the generation without local state.
struct ResumePoint {
  RequestId request;
  EndpointId endpoint;
  std::string stream;
  std::uint32_t attempt = 0;
  VersionName version;
  std::uint64_t seed = 0;
  /// Position of the next token, equal to the number of delivered tokens.
  std::uint64_t position = 0;
  /// Chained hash of the delivered tokens; see `ChainTokenHash`.
  std::uint64_t token_hash = 0;
  /// Hash of the request's model, adapter, prompt and length; see `GenerationRequestHash`.
  std::uint64_t request_hash = 0;

  bool operator==(const ResumePoint&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(request, endpoint, stream, attempt, version, seed, position, token_hash, request_hash);
  }
};

/// Returns the chained hash of a token sequence including `token`; `previous` is 0 for the first
/// token. Thread-safe.
inline std::uint64_t ChainTokenHash(std::uint64_t previous, std::string_view token) {
  return StableHash(token, previous + 1);
}

}  // namespace fulmarpoint
