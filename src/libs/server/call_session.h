#pragma once

#include <memory>
#include <string>

#include "protocol/catalogue.h"
#include "protocol/suspect_messages.h"
#include "server/call_coordinator.h"
#include "server/generation_session.h"
#include "server/services.h"
#include "transport/http_message.h"
#include "transport/http_server.h"
#include "transport/task.h"

namespace fulmarpoint {

/// A checked, authenticated and admitted call to an application service.
struct CallRequest {
  RequestId id;
  OrganisationId organisation;
  /// Weight and concurrency limit of the organisation, for admission.
  int weight = 1;
  int max_concurrent = 64;
  std::shared_ptr<const CatalogueEntry> entry;
  std::string method;
  /// Path and query below the service, starting with `/`.
  std::string target;
  /// Headers to forward, without those of the connection, the API key and the Idempotency-Key.
  HttpHeaders headers;
  std::string body;
  /// Empty for a call on a route that the catalogue lists as idempotent.
  std::string idempotency_key;
  bool idempotent_route = false;
  Fingerprint fingerprint = 0;
  TimePoint deadline;
};

/// Returns whether it is certain that no call with the request's Idempotency-Key has run, so that a
/// rejection may state `not_run`. Reads the claim of a caller-chosen key from the table service.
Task<bool> IsKeyUnused(Services& services, const CallRequest& request);

/// Runs one call and answers the caller. Runs on the strand of the exchange.
Task<SessionResult> RunCall(Services& services, CallRequest request, HttpExchange& exchange);

/// Runs a call that another daemon has forwarded because this daemon issued its key.
Task<CallReply> RunForwardedCall(Services& services, CallRequest request);

}  // namespace fulmarpoint
