#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "protocol/crash_messages.h"
#include "protocol/prompt_location_messages.h"
#include "protocol/relay_heartbeat.h"
#include "protocol/rollout_messages.h"

namespace fulmarpoint {

/// What daemons send each other over UDP.
using RelayDatagram =
    std::variant<RelayHeartbeat, PromptLocationUpdate, CrashMessage, BadVersionNotice>;

/// Thread-safe.
std::string EncodeDatagram(RelayDatagram datagram);
/// Returns nothing if `bytes` are no datagram of a daemon. Thread-safe.
std::optional<RelayDatagram> DecodeRelayDatagram(std::string_view bytes);

}  // namespace fulmarpoint
