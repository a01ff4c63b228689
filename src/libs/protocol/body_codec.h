#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <exception>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

#include "protocol/parse_error.h"
#include "protocol/result_code.h"

namespace fulmarpoint::internal {

/// Returns the serialized message, without header or authentication. Thread-safe.
template <typename Message>
std::string EncodeBody(const Message& message) {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(message);
  }
  return stream.str();
}

/// Returns the message, or `kBadRequest` if the body is truncated or has trailing bytes. `name`
/// names the message in the error. Thread-safe.
template <typename Message>
Parsed<Message> DecodeBody(std::string_view body, const char* name) {
  std::istringstream stream{std::string(body)};
  Message message;
  try {
    cereal::PortableBinaryInputArchive archive(stream);
    archive(message);
  } catch (const std::exception&) {
    return ParseError{make_error_code(ResultCode::kBadRequest), name, 0, "a complete message"};
  }
  if (stream.peek() != std::istringstream::traits_type::eof()) {
    return ParseError{make_error_code(ResultCode::kBadRequest), name, 0, "no trailing bytes"};
  }
  return message;
}

/// Like `DecodeBody`, but returns nothing on any error. Thread-safe.
template <typename Message>
std::optional<Message> TryDecodeBody(std::string_view body) {
  Parsed<Message> parsed = DecodeBody<Message>(body, "");
  if (!parsed) return std::nullopt;
  return std::move(parsed.Value());
}

}  // namespace fulmarpoint::internal
