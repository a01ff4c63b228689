#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/identifiers.h"
#include "utils/time.h"

namespace fulmarpoint {

/// A part of a prompt that requests share, in the order of the prompt.
struct PromptPart {
  std::uint64_t id = 0;
  std::int64_t tokens = 0;
};

/// What a caller says about its request, besides method, path and body.
struct CallerFields {
  /// Identifies this attempt of the caller. Never empty.
  std::string request_id;
  std::string api_key;
  /// How long the caller waits.
  std::optional<Duration> deadline;
  /// The last event that the caller holds of a stream that it resumes.
  std::optional<std::uint64_t> last_event;
  std::string model;
  std::int64_t prompt_tokens = 0;
  std::int64_t max_output_tokens = 0;
  std::vector<PromptPart> prompt;

  /// Returns the tokens that an engine keeps for the whole run.
  std::int64_t KvCacheTokens() const { return prompt_tokens + max_output_tokens; }
};

/// Where an engine finds a copy of a run's memory.
struct KvCacheBackupSource {
  /// "ip:port".
  std::string address;
  std::string name;
};

/// What the relay tells an endpoint about a request.
struct EndpointFields {
  std::string request_id;
  Duration deadline{};
  /// Only this endpoint may run the request.
  EndpointId endpoint;
  OrganisationId organisation;
  /// The endpoint continues the stream after this event.
  std::optional<std::uint64_t> last_event;
  std::optional<int> priority;
  /// "ip:port" of the engine that receives a copy of the run's memory.
  std::string backup_address;
  /// The copy of the run's memory to continue from.
  std::optional<KvCacheBackupSource> kv_cache_backup;
};

/// Load as an endpoint reports it with an answer.
struct EndpointLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;
};

/// What an endpoint says about its answer, besides status, headers and body.
struct EndpointResponseFields {
  std::string request_id;
  /// The endpoint states that it has not run the request.
  bool not_run = false;
  /// Another endpoint than the expected one has the address.
  bool misdirected = false;
  /// The answer bears the mark of an endpoint.
  bool is_from_endpoint = false;
  std::optional<EndpointLoad> load;
};

}  // namespace fulmarpoint
