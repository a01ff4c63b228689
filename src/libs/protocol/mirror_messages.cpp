#include "protocol/mirror_messages.h"

#include <cereal/archives/portable_binary.hpp>
#include <exception>
#include <sstream>

namespace fulmarpoint {

namespace {

template <typename Message>
std::string EncodeMessage(Message message) {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(message);
  }
  return stream.str();
}

template <typename Message>
std::optional<Message> DecodeMessage(std::string_view bytes) {
  std::istringstream stream{std::string(bytes)};
  Message message;
  try {
    cereal::PortableBinaryInputArchive archive(stream);
    archive(message);
  } catch (const std::exception&) {
    return std::nullopt;
  }
  if (stream.peek() != std::istringstream::traits_type::eof()) return std::nullopt;
  return message;
}

}  // namespace

std::string Encode(const MirrorRequest& request) { return EncodeMessage(request); }

std::string Encode(const MirrorReply& reply) { return EncodeMessage(reply); }

std::optional<MirrorRequest> DecodeMirrorRequest(std::string_view bytes) {
  return DecodeMessage<MirrorRequest>(bytes);
}

std::optional<MirrorReply> DecodeMirrorReply(std::string_view bytes) {
  std::optional<MirrorReply> reply = DecodeMessage<MirrorReply>(bytes);
  if (reply && reply->status > StoreStatus::kUnknown) return std::nullopt;
  return reply;
}

}  // namespace fulmarpoint
