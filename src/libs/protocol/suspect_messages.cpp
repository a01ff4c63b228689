#include "protocol/suspect_messages.h"

#include <string>

#include "protocol/body_codec.h"

namespace fulmarpoint {

Fingerprint FingerprintOf(const OrganisationId& organisation, const ServiceName& service,
                          std::string_view body) {
  // The names are hashed one into the next, so that no two pairs of names look alike when joined.
  return StableHash(body, StableHash(service, StableHash(organisation)));
}

CrashId CrashIdOf(const EndpointId& endpoint, std::uint64_t incarnation) {
  return StableHash(endpoint, incarnation);
}

std::string EncodeSuspectGossip(const SuspectGossip& notice) {
  return internal::EncodeBody(notice);
}

Parsed<SuspectGossip> DecodeSuspectGossip(std::string_view body) {
  return internal::DecodeBody<SuspectGossip>(body, "suspect notice");
}

}  // namespace fulmarpoint
