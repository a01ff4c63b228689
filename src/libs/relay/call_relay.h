#pragma once

#include <memory>

#include "relay/endpoint_connection_pool.h"
#include "relay/relayed_request.h"
#include "transport/task.h"

namespace fulmarpoint {

/// Relays one request with a short reply to an endpoint and answers the exchange. A non-idempotent
/// request is sent on a new connection only, because an endpoint may be closing an idle one, and is
/// sent to another endpoint only if the first one states that it did not run the request.
/// `context`, `pool` and `exchange` must outlive the task.
Task<void> RelayCall(RelayContext& context, EndpointConnectionPool& pool, HttpExchange& exchange,
                     RelayedRequest request);

}  // namespace fulmarpoint
