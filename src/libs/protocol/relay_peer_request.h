#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "protocol/mirror_messages.h"
#include "protocol/prompt_messages.h"
#include "protocol/repeat_loan_messages.h"
#include "protocol/rollout_messages.h"

namespace fulmarpoint {

/// Requests between daemons of the relay over TCP.
using RelayPeerRequest = std::variant<MirrorRequest, RepeatLoanRequest, PromptQuery, RolloutReport>;

/// Thread-safe.
std::string Encode(const RelayPeerRequest& request);
std::string Encode(const MirrorReply& reply);
std::string Encode(const RepeatLoanReply& reply);
std::string Encode(const PromptAnswer& answer);
std::string Encode(const RolloutDirective& directive);
/// Return nothing if `bytes` is not a valid message of the type. Thread-safe.
std::optional<RelayPeerRequest> DecodeRelayPeerRequest(std::string_view bytes);
std::optional<MirrorReply> DecodeMirrorReply(std::string_view bytes);
std::optional<RepeatLoanReply> DecodeRepeatLoanReply(std::string_view bytes);
std::optional<PromptAnswer> DecodePromptAnswer(std::string_view bytes);
std::optional<RolloutDirective> DecodeRolloutDirective(std::string_view bytes);

}  // namespace fulmarpoint
