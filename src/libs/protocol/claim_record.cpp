#include "protocol/claim_record.h"

#include <openssl/evp.h>

#include <nlohmann/json.hpp>
#include <optional>

#include "protocol/result_code.h"

namespace fulmarpoint {

using Json = nlohmann::json;

namespace {

std::string EncodeBase64(std::string_view bytes) {
  std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                   reinterpret_cast<const unsigned char*>(bytes.data()),
                                   static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(size));
  return text;
}

std::optional<std::string> DecodeBase64(const std::string& text) {
  if (text.size() % 4 != 0) return std::nullopt;
  std::string bytes(text.size() / 4 * 3, '\0');
  const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                                   reinterpret_cast<const unsigned char*>(text.data()),
                                   static_cast<int>(text.size()));
  if (size < 0) return std::nullopt;
  // EVP_DecodeBlock decodes padding as zero bytes.
  if (text.ends_with("==")) {
    bytes.resize(bytes.size() - 2);
  } else if (text.ends_with('=')) {
    bytes.resize(bytes.size() - 1);
  }
  return bytes;
}

ParseError InvalidClaim(const std::string& key) {
  return ParseError{ResultCode::kInternal, key, 0, "must be a claim record"};
}

}  // namespace

std::string ToJson(const ClaimRecord& record) {
  Json json = {{"claim_token", record.claim_token},
               {"owner", record.owner.name},
               {"incarnation", record.owner.incarnation},
               {"request_hash", record.request_hash},
               {"state", NameOf(kClaimStateNames, record.state)},
               {"created", record.created}};
  if (record.state == ClaimState::kDone) {
    json["status"] = record.answer.status;
    json["content_type"] = record.answer.content_type;
    if (record.object.empty()) {
      json["body"] = EncodeBase64(record.answer.body);
    } else {
      json["object"] = record.object;
    }
  }
  // The content type comes from the endpoint and may contain invalid UTF-8.
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Parsed<ClaimRecord> ParseClaimRecord(std::string_view text) {
  try {
    const Json json = Json::parse(text);
    ClaimRecord record;
    record.claim_token = json.at("claim_token").get<std::string>();
    record.owner.name = json.at("owner").get<std::string>();
    record.owner.incarnation = json.at("incarnation").get<std::uint64_t>();
    record.request_hash = json.at("request_hash").get<std::uint64_t>();
    record.created = json.at("created").get<UnixMillis>();
    const std::optional<ClaimState> state =
        ValueOf(kClaimStateNames, json.at("state").get<std::string>());
    if (!state) return InvalidClaim("state");
    record.state = *state;
    if (record.state != ClaimState::kDone) return record;
    record.answer.status = json.at("status").get<int>();
    record.answer.content_type = json.at("content_type").get<std::string>();
    if (json.contains("object")) {
      record.object = json.at("object").get<std::string>();
      return record;
    }
    const std::optional<std::string> body = DecodeBase64(json.at("body").get<std::string>());
    if (!body) return InvalidClaim("body");
    record.answer.body = *body;
    return record;
  } catch (const Json::exception& error) {
    return InvalidClaim(error.what());
  }
}

}  // namespace fulmarpoint
