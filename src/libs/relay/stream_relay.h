#pragma once

#include "relay/relayed_request.h"
#include "transport/task.h"

namespace fulmarpoint {

/// Relays one stream of events from a model engine and answers the exchange. Events are passed on
/// as they arrive; a run that breaks or falls silent is continued within the same answer at the
/// engine that keeps a copy of its memory, or at another one. `context` and `exchange` must exist
/// until the task completes.
Task<void> RelayStream(RelayContext& context, HttpExchange& exchange, RelayedRequest request);

}  // namespace fulmarpoint
