#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "protocol/crash_messages.h"
#include "protocol/pace_report.h"
#include "protocol/prompt_location_messages.h"
#include "protocol/relay_heartbeat.h"
#include "protocol/rollout_messages.h"
#include "protocol/usage_messages.h"

namespace fulmarpoint {

/// Messages between daemons over UDP.
using RelayDatagram = std::variant<RelayHeartbeat, PromptLocationUpdate, CrashMessage,
                                   BadVersionNotice, UsageCopy, PaceReport>;

/// Heartbeats are truncated to the size of a datagram. Thread-safe.
std::string EncodeDatagram(RelayDatagram datagram);
/// Returns nothing if `bytes` is not a valid datagram. Thread-safe.
std::optional<RelayDatagram> DecodeRelayDatagram(std::string_view bytes);

}  // namespace fulmarpoint
