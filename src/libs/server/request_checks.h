#pragma once

#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "protocol/catalogue.h"
#include "protocol/result_code.h"
#include "server/call_session.h"
#include "server/generation_session.h"
#include "server/rejection.h"
#include "server/services.h"
#include "transport/http_message.h"
#include "utils/time.h"

namespace fulmarpoint {

/// A value or a rejection.
template <typename T>
using Checked = std::variant<T, Rejection>;

/// Caller of a service: its entry and its organisation.
struct Caller {
  std::shared_ptr<const CatalogueEntry> entry;
  OrganisationId organisation;
  /// Admission weight and concurrency limit of the organisation at the service.
  int weight = 1;
  int max_concurrent = 64;
};

/// Checks the API key against the catalogue and finds the entry of `service`. A key that belongs to
/// no service gets the same answer whether the service exists or not.
Checked<Caller> CheckCaller(const Services& services, const HttpHeaders& headers,
                            const std::string& service);

/// Checks a POST /v1/completions: key, service, organisation, body and Last-Event-ID.
Checked<GenerationRequest> CheckGeneration(const Services& services, const HttpRequest& request);

/// Checks a call to /v1/services/SERVICE/PATH.
Checked<CallRequest> CheckCall(const Services& services, const HttpRequest& request);

/// Returns a random identifier. Thread-safe.
RequestId NewRequestId();

}  // namespace fulmarpoint
