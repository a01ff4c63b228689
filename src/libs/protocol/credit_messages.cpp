#include "protocol/credit_messages.h"

#include "protocol/body_codec.h"

namespace fulmarpoint {

std::string EncodeCreditRequest(const CreditRequest& request) {
  return internal::EncodeBody(request);
}

std::string EncodeCreditGrant(const CreditGrant& grant) { return internal::EncodeBody(grant); }

Parsed<CreditRequest> DecodeCreditRequest(std::string_view body) {
  return internal::DecodeBody<CreditRequest>(body, "credit request");
}

Parsed<CreditGrant> DecodeCreditGrant(std::string_view body) {
  return internal::DecodeBody<CreditGrant>(body, "credit grant");
}

}  // namespace fulmarpoint
