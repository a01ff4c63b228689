#include "protocol/relay_peer_request.h"

#include <cereal/types/variant.hpp>

#include "protocol/body_codec.h"

namespace fulmarpoint {

std::string Encode(const RelayPeerRequest& request) { return internal::EncodeBody(request); }

std::string Encode(const TableReplicaReply& reply) { return internal::EncodeBody(reply); }

std::string Encode(const RetryQuotaReply& reply) { return internal::EncodeBody(reply); }

std::string Encode(const PromptLocationReply& answer) { return internal::EncodeBody(answer); }

std::string Encode(const RolloutDirective& directive) { return internal::EncodeBody(directive); }

std::string Encode(const DutyPollReply& reply) { return internal::EncodeBody(reply); }

std::optional<RelayPeerRequest> DecodeRelayPeerRequest(std::string_view bytes) {
  return internal::TryDecodeBody<RelayPeerRequest>(bytes);
}

std::optional<TableReplicaReply> DecodeTableReplicaReply(std::string_view bytes) {
  std::optional<TableReplicaReply> reply = internal::TryDecodeBody<TableReplicaReply>(bytes);
  if (reply && reply->status > StoreStatus::kUnknown) return std::nullopt;
  return reply;
}

std::optional<RetryQuotaReply> DecodeRetryQuotaReply(std::string_view bytes) {
  return internal::TryDecodeBody<RetryQuotaReply>(bytes);
}

std::optional<PromptLocationReply> DecodePromptLocationReply(std::string_view bytes) {
  return internal::TryDecodeBody<PromptLocationReply>(bytes);
}

std::optional<RolloutDirective> DecodeRolloutDirective(std::string_view bytes) {
  std::optional<RolloutDirective> directive = internal::TryDecodeBody<RolloutDirective>(bytes);
  if (directive && directive->phase > RolloutPhase::kRolledBack) return std::nullopt;
  return directive;
}

std::optional<DutyPollReply> DecodeDutyPollReply(std::string_view bytes) {
  return internal::TryDecodeBody<DutyPollReply>(bytes);
}

}  // namespace fulmarpoint
