#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace fulmarpoint {

/// Identifies one daemon process. A restarted process has a higher incarnation, so that it is not
/// mistaken for its predecessor on the same instance or address.
struct InstanceId {
  std::string name;
  std::uint64_t incarnation = 0;

  // clang-tidy 14 mistakes the zero in the generated comparison for a null pointer.
  auto operator<=>(const InstanceId&) const = default;  // NOLINT(modernize-use-nullptr)

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(name, incarnation);
  }
};

/// Name of an endpoint in the instance list of the platform.
using EndpointId = std::string;
using OrganisationId = std::string;
using ServiceName = std::string;
using VersionName = std::string;

/// Random 128-bit identifier of a request.
struct RequestId {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const RequestId&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(high, low);
  }
};

/// Returns 32 hexadecimal digits. Thread-safe.
std::string ToString(const RequestId& id);

/// Returns "name/incarnation". Thread-safe.
std::string ToString(const InstanceId& id);

/// Returns a 64-bit hash of `text` (XXH3) that is the same in every process. Thread-safe.
std::uint64_t StableHash(std::string_view text, std::uint64_t seed = 0);

}  // namespace fulmarpoint
