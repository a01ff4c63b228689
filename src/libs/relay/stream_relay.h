#pragma once

#include "relay/relayed_request.h"
#include "transport/task.h"

namespace fulmarpoint {

/// Relays one event stream from an engine and answers the exchange. Events are forwarded as they
/// arrive. If the attempt breaks or stalls, the stream is resumed within the same reply at the
/// engine that holds its KV cache backup, or at another one. `context` and `exchange` must outlive
/// the task.
Task<void> RelayStream(RelayContext& context, HttpExchange& exchange, RelayedRequest request);

}  // namespace fulmarpoint
