#include "protocol/identifiers.h"

#include <xxhash.h>

#include <cstdio>

namespace fulmarpoint {

std::string ToString(const RequestId& id) {
  char text[33];
  std::snprintf(text, sizeof text, "%016llx%016llx", static_cast<unsigned long long>(id.high),
                static_cast<unsigned long long>(id.low));
  return text;
}

std::string ToString(const InstanceId& id) {
  return id.name + "/" + std::to_string(id.incarnation);
}

std::uint64_t StableHash(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

}  // namespace fulmarpoint
