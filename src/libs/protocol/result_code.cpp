#include "protocol/result_code.h"

namespace fulmarpoint {

namespace {

constexpr std::array<ResultCodeInfo, 32> kTable = {{
    {ResultCode::kOk, "ok", Execution::kRun, 200, "The request ran and its answer is complete."},
    {ResultCode::kBadRequest, "bad_request", Execution::kNotRun, 400,
     "The request is malformed; the detail names the field and what is allowed."},
    {ResultCode::kUnauthorized, "unauthorized", Execution::kNotRun, 401,
     "The API key is missing or unknown."},
    {ResultCode::kForbidden, "forbidden", Execution::kNotRun, 403,
     "The key does not give access to this service or operation."},
    {ResultCode::kUnknownService, "unknown_service", Execution::kNotRun, 404,
     "No catalogue entry has this service."},
    {ResultCode::kTooLarge, "too_large", Execution::kNotRun, 413,
     "The URL, header or body exceeds its limit."},
    {ResultCode::kRequestTimeout, "request_timeout", Execution::kNotRun, 408,
     "The request was not received completely in time."},
    {ResultCode::kKeyRequired, "key_required", Execution::kNotRun, 400,
     "The route is not idempotent and the request has no Idempotency-Key."},
    {ResultCode::kKeyReused, "key_reused", Execution::kNotRun, 422,
     "The Idempotency-Key was used before with another request."},
    {ResultCode::kKeyExpired, "key_expired", Execution::kMayHaveRun, 409,
     "The Idempotency-Key is older than its retention; an earlier use may have run."},
    {ResultCode::kBadEventId, "bad_event_id", Execution::kNotRun, 400,
     "The Last-Event-ID is malformed, forged or does not match the request."},
    {ResultCode::kOverloaded, "overloaded", Execution::kNotRun, 503,
     "The predicted wait exceeds the patience of the class."},
    {ResultCode::kOrganisationLimit, "organisation_limit", Execution::kNotRun, 429,
     "The organisation has reached its limit for this service."},
    {ResultCode::kNoEndpoint, "no_endpoint", Execution::kNotRun, 503,
     "No endpoint of the service can take the request."},
    {ResultCode::kDraining, "draining", Execution::kNotRun, 503,
     "This daemon is stopping; use another daemon of the lookup."},
    {ResultCode::kStale, "stale", Execution::kNotRun, 503,
     "This daemon cannot prove that its catalogue is current; use another daemon."},
    {ResultCode::kStoreUnavailable, "store_unavailable", Execution::kNotRun, 503,
     "The table service did not accept the claim; nothing was sent to an endpoint."},
    {ResultCode::kMemoryLimit, "memory_limit", Execution::kNotRun, 503,
     "The memory reserved for requests is in use."},
    {ResultCode::kDeadlineExceeded, "deadline_exceeded", Execution::kNotRun, 504,
     "The deadline passed before the request was sent to an endpoint."},
    {ResultCode::kRefusedUnchecked, "refused_unchecked", Execution::kMayHaveRun, 503,
     "This send was refused; an earlier one with the same Idempotency-Key may have run."},
    {ResultCode::kRefusedCrashing, "refused_crashing", Execution::kNotRun, 503,
     "Earlier sends of this request crashed their endpoints; this one was not sent to any."},
    {ResultCode::kEndpointFailed, "endpoint_failed", Execution::kMayHaveRun, 502,
     "The endpoint failed before it sent a complete answer."},
    {ResultCode::kOutcomeUnknown, "outcome_unknown", Execution::kMayHaveRun, 502,
     "The request was sent and its answer was lost; it is not sent again."},
    {ResultCode::kOwnerUnreachable, "owner_unreachable", Execution::kMayHaveRun, 502,
     "The daemon that owns the Idempotency-Key cannot be reached."},
    {ResultCode::kCrashesEndpoints, "crashes_endpoints", Execution::kRun, 422,
     "The request crashed the endpoints that ran it and is refused."},
    {ResultCode::kCannotContinue, "cannot_continue", Execution::kRun, 502,
     "The generation cannot be continued from the delivered tokens."},
    {ResultCode::kVersionGone, "version_gone", Execution::kRun, 502,
     "No endpoint of the version that began the generation is left."},
    {ResultCode::kConflict, "conflict", Execution::kNotRun, 409,
     "Another change was accepted first; the detail shows the difference."},
    {ResultCode::kInvalidCatalogue, "invalid_catalogue", Execution::kNotRun, 422,
     "The catalogue is invalid; the detail names key, line and what is allowed."},
    {ResultCode::kNoMajority, "no_majority", Execution::kNotRun, 503,
     "This daemon does not reach a majority of the daemons, so it accepts no change."},
    {ResultCode::kNotFound, "not_found", Execution::kNotRun, 404, "There is no such item."},
    {ResultCode::kInternal, "internal", Execution::kMayHaveRun, 500,
     "A defect in this daemon; the log names the broken condition."},
}};

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "fulmarpoint"; }
  std::string message(int value) const override {
    return std::string(InfoOf(static_cast<ResultCode>(value)).meaning);
  }
};

}  // namespace

const std::array<ResultCodeInfo, 32>& ResultCodes() { return kTable; }

const ResultCodeInfo& InfoOf(ResultCode code) {
  for (const ResultCodeInfo& row : kTable) {
    if (row.code == code) return row;
  }
  return kTable.back();
}

const std::error_category& ResultCategory() {
  static const Category category;
  return category;
}

std::error_code make_error_code(ResultCode code) {
  return {static_cast<int>(code), ResultCategory()};
}

}  // namespace fulmarpoint
