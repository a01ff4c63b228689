#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "protocol/duty_messages.h"
#include "protocol/prompt_location_messages.h"
#include "protocol/retry_quota_messages.h"
#include "protocol/rollout_messages.h"
#include "protocol/table_replica_messages.h"

namespace fulmarpoint {

/// Requests between daemons of the relay over TCP.
using RelayPeerRequest = std::variant<TableReplicaRequest, RetryQuotaRequest, PromptLocationQuery,
                                      RolloutReport, DutyPoll>;

/// Thread-safe.
std::string Encode(const RelayPeerRequest& request);
std::string Encode(const TableReplicaReply& reply);
std::string Encode(const RetryQuotaReply& reply);
std::string Encode(const PromptLocationReply& answer);
std::string Encode(const RolloutDirective& directive);
std::string Encode(const DutyPollReply& reply);
/// Return nothing if `bytes` is not a valid message of the type. Thread-safe.
std::optional<RelayPeerRequest> DecodeRelayPeerRequest(std::string_view bytes);
std::optional<TableReplicaReply> DecodeTableReplicaReply(std::string_view bytes);
std::optional<RetryQuotaReply> DecodeRetryQuotaReply(std::string_view bytes);
std::optional<PromptLocationReply> DecodePromptLocationReply(std::string_view bytes);
std::optional<RolloutDirective> DecodeRolloutDirective(std::string_view bytes);
std::optional<DutyPollReply> DecodeDutyPollReply(std::string_view bytes);

}  // namespace fulmarpoint
