#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "protocol/prompt_location_messages.h"
#include "protocol/retry_quota_messages.h"
#include "protocol/rollout_messages.h"
#include "protocol/table_replica_messages.h"

namespace fulmarpoint {

/// What one relaying daemon may ask of another over TCP.
using RelayPeerRequest =
    std::variant<TableReplicaRequest, RetryQuotaRequest, PromptLocationQuery, RolloutReport>;

/// Thread-safe.
std::string Encode(const RelayPeerRequest& request);
std::string Encode(const TableReplicaReply& reply);
std::string Encode(const RetryQuotaReply& reply);
std::string Encode(const PromptLocationReply& answer);
std::string Encode(const RolloutDirective& directive);
/// Return nothing if `bytes` are no such message. Thread-safe.
std::optional<RelayPeerRequest> DecodeRelayPeerRequest(std::string_view bytes);
std::optional<TableReplicaReply> DecodeTableReplicaReply(std::string_view bytes);
std::optional<RetryQuotaReply> DecodeRetryQuotaReply(std::string_view bytes);
std::optional<PromptLocationReply> DecodePromptLocationReply(std::string_view bytes);
std::optional<RolloutDirective> DecodeRolloutDirective(std::string_view bytes);

}  // namespace fulmarpoint
