#include "protocol/suspect_messages.h"

#include <string>

namespace fulmarpoint {

Fingerprint FingerprintOf(const OrganisationId& organisation, const ServiceName& service,
                          std::string_view body) {
  // The names are hashed one into the next, so that no two pairs of names look alike when joined.
  return StableHash(body, StableHash(service, StableHash(organisation)));
}

CrashId CrashIdOf(const EndpointId& endpoint, std::uint64_t incarnation) {
  return StableHash(endpoint, incarnation);
}

}  // namespace fulmarpoint
