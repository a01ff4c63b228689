#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "protocol/catalogue.h"
#include "protocol/result_code.h"
#include "protocol/resume_point.h"
#include "protocol/suspect_messages.h"
#include "server/running_requests.h"
#include "server/services.h"
#include "transport/http_server.h"
#include "transport/task.h"

namespace fulmarpoint {

/// A checked, authenticated and admitted POST /v1/completions.
struct GenerationRequest {
  RequestId id;
  OrganisationId organisation;
  /// Weight and concurrency limit of the organisation, for admission.
  int weight = 1;
  int max_concurrent = 64;
  std::shared_ptr<const CatalogueEntry> entry;
  std::string prompt;
  std::string adapter;
  std::uint64_t max_tokens = 0;
  std::uint64_t seed = 0;
  std::vector<std::string> prefix_tokens;
  /// Content of the verified Last-Event-ID.
  std::optional<ResumePoint> resume;
  Fingerprint fingerprint = 0;
  /// The request fails when this time has passed.
  TimePoint deadline;
  /// For `OnHandOff`; outlives the session.
  RunningRequests::Entry* running = nullptr;
};

/// Result of a request for counters, objectives and the request log. A zero duration was not
/// measured.
struct SessionResult {
  ResultCode code = ResultCode::kOk;
  bool caller_disconnected = false;
  /// Version, endpoint and failure domain of the last attempt.
  VersionName version;
  EndpointId endpoint;
  std::string failure_domain;
  /// From the request's arrival to its first token.
  Duration first_token{};
  /// Mean time between tokens.
  Duration token_interval{};
  /// Longest gap between two tokens during which the generation was resumed.
  Duration longest_resume{};
  /// From the arrival of a call to its answer.
  Duration call{};
};

/// Runs one generation and writes its events to the caller, until it is complete, has failed or the
/// caller has disconnected. Runs on the strand of the exchange. `services` and `exchange` must
/// outlive it.
Task<SessionResult> RunGeneration(Services& services, GenerationRequest request,
                                  HttpExchange& exchange);

}  // namespace fulmarpoint
