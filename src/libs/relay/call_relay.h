#pragma once

#include <memory>

#include "relay/endpoint_connection_pool.h"
#include "relay/relayed_request.h"
#include "transport/task.h"

namespace fulmarpoint {

/// Relays one request with a short answer to an application engine and answers the exchange. A
/// request that may not be repeated is sent once, on a connection that the endpoint cannot be
/// closing; only an endpoint's word that it has not run leads to another one. `context`, `pool` and
/// `exchange` must exist until the task completes.
Task<void> RelayCall(RelayContext& context, EndpointPool& pool, HttpExchange& exchange,
                     RelayedRequest request);

}  // namespace fulmarpoint
