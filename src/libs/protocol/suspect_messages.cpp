#include "protocol/suspect_messages.h"

#include <string>

#include "protocol/body_codec.h"

namespace fulmarpoint {

Fingerprint FingerprintOf(const OrganisationId& organisation, const ServiceName& service,
                          std::string_view body) {
  // Hashes are chained, because concatenating the names would give different pairs of names the
  // same fingerprint.
  return StableHash(body, StableHash(service, StableHash(organisation)));
}

CrashId CrashIdOf(const EndpointId& endpoint, std::uint64_t incarnation) {
  return StableHash(endpoint, incarnation);
}

std::string EncodeSuspectGossip(const SuspectGossip& message) {
  return internal::EncodeBody(message);
}

Parsed<SuspectGossip> DecodeSuspectGossip(std::string_view body) {
  return internal::DecodeBody<SuspectGossip>(body, "suspect message");
}

}  // namespace fulmarpoint
